// SPDX-License-Identifier: MIT
/// @file
/// Anti-entropy: exchanges the whole member table with another member, periodically with a random one, and
/// with one whose view differs from this one's for too long.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>

#include "membership/context.h"
#include "membership/messenger.h"
#include "membership/probe_order.h"

namespace edge_proxy::membership {

class StateSync {
 public:
  StateSync(Context& context, Messenger& messenger, ProbeOrder& probe_order);

  /// Sets the first periodic sync at a random time within an interval.
  void start();
  void run_timers();
  /// Answers a full sync on its stream.
  void reply(const Message& request, std::uint64_t stream);
  /// Compares the sender's view with this one, and repairs a difference that has lasted.
  void compare_digest(const Message& message);
  /// Forgets a difference from a member that is no longer reachable.
  void on_unreachable(const std::string& name) { differs_since_.erase(name); }
  /// Restarts the time of all differences after the event loop stalled.
  void on_stall();

  /// How many members sent a differing view last, and since when the first of them has.
  [[nodiscard]] std::pair<std::size_t, Time> members_with_other_view() const;
  [[nodiscard]] Time next_due() const { return next_full_sync_; }
  /// Number of members whose view differs.
  [[nodiscard]] std::size_t size() const { return differs_since_.size(); }

 private:
  void full_sync_with(const std::string& name);

  Context& context_;
  Messenger& messenger_;
  ProbeOrder& probe_order_;
  std::map<std::string, Time> differs_since_;
  Time next_full_sync_;
  Time last_full_sync_{0};
};

}  // namespace edge_proxy::membership
