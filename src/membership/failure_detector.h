// SPDX-License-Identifier: MIT
/// @file
/// SWIM's failure detector. It pings one member at each interval, asks other members to ping a member that
/// does not answer, and reports the members that none of them reaches. A bad local health score (Lifeguard)
/// slows it down.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "membership/context.h"
#include "membership/local_health.h"
#include "membership/messenger.h"
#include "membership/probe_order.h"
#include "membership/quota_adapter.h"

namespace edge_proxy::membership {

class FailureDetector {
 public:
  FailureDetector(Context& context, Messenger& messenger, ProbeOrder& probe_order, LocalHealth& health,
                  QuotaAdapter& quota);

  /// Schedules the first probe at a random time within one interval, so that members do not probe in
  /// lockstep.
  void start();
  void on_ping(const Message& ping);
  void on_ack(const Message& ack);
  void on_nack(const Message& nack);

  /// Asks other members to ping targets that have not answered in time. Removes the probes that have ended;
  /// `on_unreachable(name)` is called for each target that nobody reached.
  template <typename OnUnreachable>
  void check_probes(OnUnreachable&& on_unreachable);
  /// Probes the next member if a probe is due.
  void probe_if_due();

  /// Drops the pending probes without reporting their targets.
  void clear() { probes_.clear(); }
  /// Drops the pending probes after the event loop stalled, since their answers may be waiting unread, and
  /// postpones the next probe by one interval.
  void on_stall();

  [[nodiscard]] Time next_due() const;
  /// Number of pending probes.
  [[nodiscard]] std::size_t size() const { return probes_.size(); }

 private:
  enum class Phase : std::uint8_t { direct, indirect };
  struct Probe {
    std::string target;
    Phase phase = Phase::direct;
    Time sent_at{0};
    Time direct_deadline{0};
    Time expires_at{0};
    int expected_nacks = 0;               // asked members that have not answered yet
    bool acked_indirectly = false;        // an asked member relayed an ack
    std::uint64_t announced_version = 0;  // see QuotaAdapter::add_announcements()
  };

  void send_probe(const std::string& target);
  void send_ping_requests(std::uint64_t sequence, Probe& probe);
  [[nodiscard]] bool is_unreachable(const Probe& ended);
  void on_indirect_ack(Member& member);
  void set_reachability(Member& member, Reachability reachability);

  Context& context_;
  Messenger& messenger_;
  ProbeOrder& probe_order_;
  LocalHealth& health_;
  QuotaAdapter& quota_;
  std::map<std::uint64_t, Probe> probes_;  // by the sequence of the ping
  Time next_probe_;
};

template <typename OnUnreachable>
void FailureDetector::check_probes(OnUnreachable&& on_unreachable) {
  for (auto it = probes_.begin(); it != probes_.end();) {
    Probe& probe = it->second;
    if (probe.phase == Phase::direct && probe.direct_deadline <= context_.now) {
      send_ping_requests(it->first, probe);
    }
    if (probe.expires_at > context_.now) {
      ++it;
      continue;
    }
    const Probe ended = std::move(probe);
    it = probes_.erase(it);
    if (is_unreachable(ended)) on_unreachable(ended.target);
  }
}

}  // namespace edge_proxy::membership
