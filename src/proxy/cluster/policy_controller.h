// SPDX-License-Identifier: MIT
/// @file
/// Agreement's reducer inside the edge's: its effects among the edge's, its messages by way of the peers,
/// what operators ask of it, and which epoch requests are decided under. Without the section `policy` it
/// holds nothing and all is decided as ever.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "consensus/raft_log.h"
#include "consensus/reducer.h"
#include "proxy/cluster/membership_adapter.h"
#include "proxy/cluster/policy_terms.h"
#include "proxy/context.h"

namespace edge_proxy::proxy {

/// No attempt of a request begins later than this after its epoch has ended here.
constexpr Time kAttemptsAfterEpoch = std::chrono::milliseconds(300);

class PolicyController {
 public:
  PolicyController(Context& context, MembershipAdapter& peering, const config::Config& config);

  [[nodiscard]] bool is_enabled() const { return settings_.has_value(); }
  /// Numbers of this process are above those of any earlier one with this incarnation.
  void start(const membership::Identity& identity);
  void handle(const consensus::Input& input);
  void handle(const ConsensusOutput& out);
  /// What a member had carried here.
  void on_user_message(const membership::UserMessageReceived& carried);
  void run_timers();
  [[nodiscard]] std::optional<Time> next_due() const;
  /// Told of who is registered and reached where that has changed.
  void update_members();

  /// Whether a request may be decided now, and under which epoch.
  [[nodiscard]] std::optional<consensus::Epoch> epoch() const;
  [[nodiscard]] bool can_decide() const { return !is_enabled() || epoch().has_value(); }
  /// Whether an attempt may still begin, of a request that was taken under that epoch.
  [[nodiscard]] bool can_attempt(consensus::Epoch accepted_under) const;
  /// The terms that hold from now on, where they have changed: to be taken over before anything is decided.
  std::optional<PolicyTerms> take_changed_terms();
  /// A request was refused since nothing is decided.
  void count_rejected() { ++rejected_; }
  [[nodiscard]] bool is_tracing() const { return tracing_; }

  // Operators.
  void propose(ConnectionId connection, const std::string& body);
  void abort(ConnectionId connection);
  void change_voter(ConnectionId connection, const std::string& name, bool add);
  /// The answers that have come to be since: connection, status, text.
  std::vector<std::tuple<ConnectionId, int, std::string>> take_replies() {
    return std::exchange(replies_, {});
  }
  [[nodiscard]] std::optional<std::string> report() const;
  [[nodiscard]] std::string metrics() const;

 private:
  void forward(consensus::SendMessage& e);
  void forward(consensus::AppendEntry& e) { context_.effects.emplace_back(ConsensusEffect{std::move(e)}); }
  void forward(consensus::CheckTerm& e) { context_.effects.emplace_back(ConsensusEffect{std::move(e)}); }
  void forward(consensus::PersistLearned& e) { context_.effects.emplace_back(ConsensusEffect{std::move(e)}); }
  void forward(consensus::EpochChanged& e);
  void forward(consensus::AdminReply& e) { replies_.emplace_back(e.call, e.status, e.body + "\n"); }
  void forward(consensus::LogLine& e) { context_.log(std::move(e.line)); }

  Context& context_;
  MembershipAdapter& membership_;
  std::optional<consensus::Settings> settings_;
  Settings startup_settings_;
  std::uint64_t seed_;
  bool tracing_ = false;
  std::optional<consensus::State> state_;
  std::vector<consensus::Input> inputs_before_start_;  // of the log, before there is a state
  std::uint64_t members_revision_ = 0;                 // revision of the peers
  std::optional<PolicyTerms> changed_terms_;
  std::optional<consensus::Epoch> current_epoch_, previous_epoch_;  // under which it decides, and did before
  std::optional<consensus::Epoch> applied_epoch_;                   // that the module has
  Time previous_epoch_ended_at_{0};                                 // of before_
  std::uint64_t rejected_ = 0, lease_mismatches_ = 0;
  std::map<std::string, std::uint64_t> voters_;
  std::uint64_t raft_id_ = 0;
  std::vector<std::tuple<ConnectionId, int, std::string>> replies_;
};

}  // namespace edge_proxy::proxy
