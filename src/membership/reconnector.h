// SPDX-License-Identifier: MIT
/// @file
/// Looks for members that are registered and not reachable, and for members behind the seeds, so that
/// partitions heal by themselves.
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

  /// Contacts one unreachable member and one unknown seed if it is time to.
  void run_timers();
  [[nodiscard]] Time next_due() const { return next_reconnect_; }

 private:
  void update_targets();
  void ping_unreachable_member();
  void contact_seed();

  Context& context_;
  Messenger& messenger_;
  std::vector<std::string> unreachable_members_;  // names
  std::vector<std::string> unknown_seeds_;        // addresses that no registered member has
  std::uint64_t targets_revision_ = 0;            // the view's revision at which both were found
  Time next_reconnect_;
};

}  // namespace edge_proxy::membership
