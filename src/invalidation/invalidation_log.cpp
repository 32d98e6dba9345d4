// SPDX-License-Identifier: MIT
#include "invalidation/invalidation_log.h"

#include <algorithm>

namespace edge_proxy::invalidation {

void InvalidationLog::record(const InvalidationCommand& command) { invalidations_.push_back(command); }

bool InvalidationLog::can_serve(const std::string& key, const std::vector<std::string>& tags,
                                UnixMs created_at) const {
  const auto invalidates = [&](const InvalidationCommand& command) {
    return command.issued_at > created_at && selects(command.selector, key, tags);
  };
  return std::none_of(invalidations_.begin(), invalidations_.end(), invalidates);
}

void InvalidationLog::prune_before(UnixMs oldest_servable) {
  // Issue times need not increase with the sequence numbers, so every command is checked.
  const auto is_obsolete = [&](const InvalidationCommand& command) {
    return command.issued_at < oldest_servable;
  };
  std::erase_if(invalidations_, is_obsolete);
}

}  // namespace edge_proxy::invalidation
