// SPDX-License-Identifier: MIT
/// @file
/// Connects the consensus reducer to the proxy's: its effects become the proxy's, its messages go by way of
/// the membership protocol, admin calls reach it, and requests are decided under the epoch of its policy.
/// Without the section `policy` of the configuration it holds nothing, and all is decided by the settings.
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
  /// From now on it takes part. Its request numbers are above those of any earlier process with a lower
  /// incarnation.
  void start(const membership::Identity& identity);
  /// Before start() it does nothing.
  void handle(const consensus::Input& input);
  /// Before start() the log's inputs are kept for it.
  void handle(const ConsensusOutput& output);
  /// A member has sent this by way of the membership protocol.
  void on_user_message(const membership::UserMessageReceived& received);
  void run_timers();
  /// When run_timers() has something to do next; none before start().
  [[nodiscard]] std::optional<Time> next_due() const;
  /// Takes over who is registered and alive, where that has changed.
  void update_members();

  /// The epoch under which a request may be decided now; none: no request may be.
  [[nodiscard]] std::optional<consensus::Epoch> epoch() const;
  [[nodiscard]] bool can_decide() const { return !is_enabled() || epoch().has_value(); }
  /// Whether an attempt may still begin, of a request that was accepted under that epoch.
  [[nodiscard]] bool can_attempt(consensus::Epoch accepted_under) const;
  /// The terms that hold from now on, where they have changed: to be applied before anything is decided.
  [[nodiscard]] std::optional<PolicyTerms> take_changed_terms() {
    return std::exchange(changed_terms_, std::nullopt);
  }
  /// A request was rejected since nothing may be decided.
  void count_rejected() { ++rejected_; }
  [[nodiscard]] bool is_tracing() const { return is_tracing_; }

  // ---- Admin calls, answered by take_replies() ----
  /// `body`: JSON with `key`, `base` (the epoch that the change builds on) and `policy`.
  void propose(ConnectionId connection, const std::string& body);
  void abort(ConnectionId connection);
  void change_voter(ConnectionId connection, const std::string& name, bool add);
  /// The answers since the last call; `call` is the connection.
  [[nodiscard]] std::vector<consensus::AdminReply> take_replies() { return std::exchange(replies_, {}); }

  /// JSON; none where no policy is configured, or before start().
  [[nodiscard]] std::optional<std::string> report() const;
  /// The figures `policy.*`; empty where there is no report.
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
  std::uint64_t members_revision_ = 0;  // of the members that state_ has
  std::optional<PolicyTerms> changed_terms_;
  DecisionEpochs epochs_;
  std::optional<consensus::Epoch> applied_epoch_;  // whose terms the router has
  std::uint64_t rejected_ = 0;
  std::uint64_t undecodable_messages_ = 0;
  std::map<std::string, std::uint64_t> voters_;  // ids by name
  std::uint64_t raft_id_ = 0;
  std::vector<consensus::AdminReply> replies_;
};

}  // namespace edge_proxy::proxy
