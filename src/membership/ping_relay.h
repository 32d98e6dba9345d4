// SPDX-License-Identifier: MIT
/// @file
/// Pings that this member sends at the request of another member (SWIM's indirect probes).
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "membership/context.h"
#include "membership/messenger.h"

namespace edge_proxy::membership {

class PingRelay {
 public:
  PingRelay(Context& context, Messenger& messenger) : context_(context), messenger_(messenger) {}

  /// Pings the target of the request.
  void on_ping_req(const Message& request);
  /// Relays an ack to the requester. False if the ack does not answer a relayed ping.
  bool on_ack(const Message& ack);
  /// Sends nacks for targets that have not answered so far, and drops expired requests.
  void run_timers();
  void clear() { pings_.clear(); }

  /// Time::max() if nothing is pending.
  [[nodiscard]] Time next_due() const;
  [[nodiscard]] std::size_t size() const { return pings_.size(); }

 private:
  struct RelayedPing {
    std::string target;
    std::string requester;
    std::uint64_t requester_sequence = 0;
    Time nack_at{0};
    Time expires_at{0};
    bool nack_sent = false;
  };

  void send_nack(RelayedPing& ping);

  Context& context_;
  Messenger& messenger_;
  std::map<std::uint64_t, RelayedPing> pings_;  // by the sequence of the ping to the target
};

}  // namespace edge_proxy::membership
