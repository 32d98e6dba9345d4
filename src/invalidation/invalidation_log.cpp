// SPDX-License-Identifier: MIT
#include "invalidation/invalidation_log.h"

#include <algorithm>

namespace edge_proxy::invalidation {

void InvalidationLog::record(const InvalidationCommand& command) { invalidations_.push_back(command); }

bool InvalidationLog::can_serve(const std::string& key, const std::vector<std::string>& tags,
                                UnixMs created_at) const {
  return std::none_of(invalidations_.begin(), invalidations_.end(), [&](const InvalidationCommand& p) {
    return p.issued_at > created_at && names(p.selector, key, tags);
  });
}

void InvalidationLog::forget_before(UnixMs oldest_servable) {
  // Issued times may come out of order between numbers; only purges older than the bound are dropped.
  std::erase_if(invalidations_, [&](const InvalidationCommand& p) { return p.issued_at < oldest_servable; });
}

}  // namespace edge_proxy::invalidation
