// SPDX-License-Identifier: MIT
/// @file
/// Anti-entropy: exchanges the whole member table with another member, periodically with a random one, and
/// with a member whose view has differed from this one's for too long.
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

  /// Schedules the first periodic sync at a random time within one interval.
  void start();
  void run_timers();
  /// Replies to a full sync on its stream.
  void reply(const Message& request, std::uint64_t stream);
  /// Compares the digest of the sender's view with this one's, and starts a full sync if they have differed
  /// for long enough.
  void compare_digest(const Message& message);
  /// Drops the recorded difference of a member that is no longer reachable.
  void on_unreachable(const std::string& name) { differs_since_.erase(name); }
  /// Restarts the measurement of all differences after the event loop stalled.
  void on_stall();

  /// The number of members whose last message had another digest, and the time since when the first of them
  /// has differed.
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
