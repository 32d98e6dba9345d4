// SPDX-License-Identifier: MIT
/// @file
/// Membership of edge proxies: (state, now, input) -> effects. SWIM with Lifeguard's extensions, as described
/// in docs/membership.md. No I/O, no clock; random numbers are derived from the given seed.
///
/// State is the coordinator: it dispatches inputs, merges updates into the view and notifies the parts. Each
/// part has its own state and its own header.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "admission/quota_leases.h"
#include "membership/context.h"
#include "membership/events.h"
#include "membership/failure_detector.h"
#include "membership/gossip.h"
#include "membership/local_health.h"
#include "membership/messenger.h"
#include "membership/ping_relay.h"
#include "membership/probe_order.h"
#include "membership/quota_adapter.h"
#include "membership/reconnector.h"
#include "membership/refutation.h"
#include "membership/settings.h"
#include "membership/state_sync.h"
#include "membership/suspicion_timers.h"
#include "membership/types.h"
#include "membership/view.h"

namespace edge_proxy::membership {

class State {
 public:
  State(Settings settings, const Identity& identity, std::uint64_t seed, Time now);
  // The parts refer to each other.
  State(const State&) = delete;
  State& operator=(const State&) = delete;
  State(State&&) = delete;
  State& operator=(State&&) = delete;
  ~State() = default;

  std::vector<Effect> handle(Time now, const Input& input);
  /// When the next TimerExpired is due; a newer value replaces earlier ones. Time::max() after a shutdown.
  [[nodiscard]] Time next_due() const;

  [[nodiscard]] const View& view() const { return context_.view; }
  [[nodiscard]] const MemberUpdate& self() const { return context_.self(); }
  [[nodiscard]] const Settings& settings() const { return context_.settings; }
  [[nodiscard]] const Counters& counters() const { return context_.counters; }
  [[nodiscard]] const admission::QuotaLeases& quota() const { return quota_.leases(); }
  /// Lifeguard's health score, from 0 (healthy) to Settings::max_health_score.
  [[nodiscard]] int local_health() const { return health_.score(); }
  /// The number of members whose last message had another digest, and the time since when the first of them
  /// has differed.
  [[nodiscard]] std::pair<std::size_t, Time> members_with_other_view() const {
    return state_sync_.members_with_other_view();
  }
  /// The state to be stored for the next process: the member table, and the unfenced holders of quota leases.
  [[nodiscard]] std::vector<MemberUpdate> persistent_state() const { return quota_.persistent_state(); }
  /// Number of entries of all tables. It is bounded by the number of members and does not grow with uptime.
  [[nodiscard]] std::size_t entries() const;

 private:
  void on_input(const MessageReceived& input);
  void on_input(const MessageRejected& input);
  void on_input(const TimerExpired&) {}
  void on_input(const ShutdownRequested&);
  void on_input(const ForgetMember& input);
  void on_input(const SendUserMessage& input);

  void restore_members(const std::vector<MemberUpdate>& stored);
  bool accepts(const Message& message);
  void dispatch(const Message& message, const Member& sender);
  void on_user_message(const Message& message, const Member& sender);

  void on_loop_stall(Time gap);
  void run_timers();
  void suspect(const std::string& name);
  void declare_dead(const std::string& name);

  void merge(const MemberUpdate& update, const std::string& cause);
  void on_confirmation(const MemberUpdate& update, Member& suspect);
  void on_change(const View::Merged& merged, Member& member);
  void log_change(const View::Merged& merged, const MemberUpdate& update, const std::string& cause);

  Context context_;
  Messenger messenger_;
  LocalHealth health_;
  ProbeOrder probe_order_;
  SuspicionTimers suspicions_;
  QuotaAdapter quota_;
  PingRelay ping_relay_;
  FailureDetector failure_detector_;
  Gossip gossip_;
  StateSync state_sync_;
  Reconnector reconnector_;
  Refutation refutation_;
  Time decode_error_logged_at_;
};

}  // namespace edge_proxy::membership
