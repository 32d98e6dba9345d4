// SPDX-License-Identifier: MIT
/// @file
/// Embeds the consensus reducer into the reducer of the proxy: forwards its effects, sends its messages by
/// the membership protocol, gives admin calls access to it and provides the policy epoch of each decision.
/// Without the section `policy` of the configuration it has no state, and the startup settings apply.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "consensus/raft_log.h"
#include "consensus/reducer.h"
#include "proxy/admin/metric.h"
#include "proxy/cluster/decision_epochs.h"
#include "proxy/cluster/membership_adapter.h"
#include "proxy/cluster/policy_terms.h"
#include "proxy/context.h"

namespace edge_proxy::proxy {

/// Owns the state of the consensus reducer.
class PolicyController {
 public:
  PolicyController(Context& context, MembershipAdapter& membership, const config::Config& config);

  [[nodiscard]] bool is_enabled() const { return settings_.has_value(); }
  /// Joins the consensus protocol. Request numbers are higher than those of earlier processes, which had
  /// lower incarnations.
  void start(const membership::Identity& identity);
  /// Inputs before start() are ignored.
  void handle(const consensus::Input& input);
  /// Inputs from the Raft log that arrive before start() are handled by start().
  void handle(const ConsensusOutput& output);
  /// Handles a message that a member has sent by the membership protocol.
  void on_user_message(const membership::UserMessageReceived& received);
  void run_timers();
  /// Returns the time at which run_timers() must be called next; none before start().
  [[nodiscard]] std::optional<Time> next_due() const;
  /// Passes the registered members to the consensus reducer if they have changed.
  void update_members();

  /// Returns the epoch under which new requests are accepted; none: they are rejected.
  [[nodiscard]] std::optional<consensus::Epoch> epoch() const;
  [[nodiscard]] bool can_decide() const { return !is_enabled() || epoch().has_value(); }
  /// Whether a request that was accepted under that epoch may start an attempt.
  [[nodiscard]] bool can_attempt(consensus::Epoch accepted_under) const;
  /// Returns the terms in force if they have changed. They must be applied before any decision.
  [[nodiscard]] std::optional<PolicyTerms> take_changed_terms() {
    return std::exchange(changed_terms_, std::nullopt);
  }
  /// Counts a request that was rejected because the proxy held no lease.
  void count_rejected() { ++rejected_; }
  [[nodiscard]] bool is_tracing() const { return is_tracing_; }

  // ---- Admin calls, answered by take_replies() ----
  /// `body`: JSON with `key`, `base` (the epoch that the change is based on) and `policy`.
  void propose(ConnectionId connection, const std::string& body);
  void abort(ConnectionId connection);
  void change_voter(ConnectionId connection, const std::string& name, bool add);
  /// Returns the replies since the last call; their field `call` is the connection.
  [[nodiscard]] std::vector<consensus::AdminReply> take_replies() { return std::exchange(replies_, {}); }

  /// Returns JSON; none if no policy is configured, and before start().
  [[nodiscard]] std::optional<std::string> report() const;
  /// Returns the metrics `policy.*`; empty if there is no report.
  [[nodiscard]] std::vector<Metric> metrics() const;

 private:
  void forward(consensus::SendMessage& effect);
  void forward(consensus::AppendEntry& effect) { add_effect(std::move(effect)); }
  void forward(consensus::CheckTerm& effect) { add_effect(std::move(effect)); }
  void forward(consensus::PersistLearned& effect) { add_effect(std::move(effect)); }
  void forward(consensus::EpochChanged& effect);
  void forward(consensus::AdminReply& effect) { reply(effect.call, effect.status, effect.body + "\n"); }
  void forward(consensus::LogLine& effect) { context_.log(std::move(effect.line)); }

  template <typename E>
  void add_effect(E effect) {
    context_.effects.emplace_back(ConsensusEffect{std::move(effect)});
  }
  void reply(ConnectionId connection, int status, std::string body) {
    replies_.push_back({.call = connection, .status = status, .body = std::move(body)});
  }
  void reply_not_configured(ConnectionId connection);
  void apply_terms(const consensus::EpochChanged& change);
  void log_undecodable_message(const std::string& from, bool lease_settings_differ);
  [[nodiscard]] Time lease_expires_at() const { return state_ ? state_->lease().expires_at() : Time{0}; }

  Context& context_;
  MembershipAdapter& membership_;
  std::optional<consensus::Settings> settings_;
  Settings startup_settings_;
  std::uint64_t seed_;
  bool is_tracing_ = false;
  std::optional<consensus::State> state_;
  std::vector<consensus::Input> inputs_before_start_;
  std::uint64_t members_revision_ = 0;  // revision of the members last passed to state_
  std::optional<PolicyTerms> changed_terms_;
  DecisionEpochs epochs_;
  std::optional<consensus::Epoch> applied_epoch_;  // the epoch of the last applied terms
  std::uint64_t rejected_ = 0;
  std::uint64_t undecodable_messages_ = 0;
  std::map<std::string, std::uint64_t> voters_;  // Raft ids by member name
  std::uint64_t raft_id_ = 0;
  std::vector<consensus::AdminReply> replies_;
};

}  // namespace edge_proxy::proxy
