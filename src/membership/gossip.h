// SPDX-License-Identifier: MIT
/// @file
/// Periodic dissemination: sends gossip messages while updates are pending, and pings suspects so that they
/// can refute.
#pragma once

#include "membership/context.h"
#include "membership/messenger.h"
#include "membership/probe_order.h"
#include "membership/suspicion_timers.h"

namespace edge_proxy::membership {

class Gossip {
 public:
  Gossip(Context& context, Messenger& messenger, ProbeOrder& probe_order, const SuspicionTimers& suspicions)
      : context_(context),
        messenger_(messenger),
        probe_order_(probe_order),
        suspicions_(suspicions),
        next_gossip_(context.now) {}

  /// Sends pending updates and pings suspects if a gossip interval has passed.
  void run_timers();
  /// Sends the update that this member has left to random members, before the process stops.
  void announce_shutdown(const MemberUpdate& update);

  /// Time::max() if nothing is pending.
  [[nodiscard]] Time next_due() const { return has_work() ? next_gossip_ : Time::max(); }

 private:
  [[nodiscard]] bool has_work() const { return !messenger_.broadcasts().empty() || !suspicions_.empty(); }
  void send_updates();
  void ping_suspects();

  Context& context_;
  Messenger& messenger_;
  ProbeOrder& probe_order_;
  const SuspicionTimers& suspicions_;
  Time next_gossip_;
};

}  // namespace edge_proxy::membership
