// SPDX-License-Identifier: MIT
#include "purge/ledger.h"

#include <algorithm>

namespace dahliahall::purge {

void Ledger::applied(const PurgeCommand& command) { purges_.push_back(command); }

bool Ledger::may_serve(const std::string& key, const std::vector<std::string>& tags, UnixMs born) const {
  return std::none_of(purges_.begin(), purges_.end(),
                      [&](const PurgeCommand& p) { return p.issued > born && names(p.selector, key, tags); });
}

void Ledger::forget_before(UnixMs oldest_servable) {
  // Issued times may come out of order between numbers; only purges older than the bound are dropped.
  std::erase_if(purges_, [&](const PurgeCommand& p) { return p.issued < oldest_servable; });
}

}  // namespace dahliahall::purge
