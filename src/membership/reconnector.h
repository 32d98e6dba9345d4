// SPDX-License-Identifier: MIT
/// @file
/// Contacts registered members that are unreachable, and seeds at which no member is known, so that
/// partitions heal without intervention.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "membership/context.h"
#include "membership/messenger.h"

namespace edge_proxy::membership {

class Reconnector {
 public:
  Reconnector(Context& context, Messenger& messenger)
      : context_(context), messenger_(messenger), next_reconnect_(context.now) {}

  /// Contacts one unreachable member and one unknown seed if the reconnect interval has passed.
  void run_timers();
  [[nodiscard]] Time next_due() const { return next_reconnect_; }

 private:
  void update_targets();
  void ping_unreachable_member();
  void contact_seed();

  Context& context_;
  Messenger& messenger_;
  std::vector<std::string> unreachable_members_;  // names
  std::vector<std::string> unknown_seeds_;        // seed addresses that no registered member has
  std::uint64_t targets_revision_ = 0;            // revision of the view for which both lists were built
  Time next_reconnect_;
};

}  // namespace edge_proxy::membership
