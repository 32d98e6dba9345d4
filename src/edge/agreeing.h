// SPDX-License-Identifier: MIT
/// @file
/// Agreement's reducer inside the edge's: its effects among the edge's, its messages by way of the peers,
/// what operators ask of it, and which epoch requests are decided under. Without the section `policy` it
/// holds nothing and all is decided as ever.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "agreed/raft_log.h"
#include "agreed/reducer.h"
#include "edge/context.h"
#include "edge/peering.h"
#include "edge/policy_text.h"

namespace dahliahall::edge {

/// No attempt of a request begins later than this after its epoch has ended here.
constexpr Time kAttemptsAfterEpoch = std::chrono::milliseconds(300);

class Agreeing {
 public:
  Agreeing(Context& context, Peering& peering, const config::Config& config);

  [[nodiscard]] bool on() const { return settings_.has_value(); }
  /// Numbers of this process are above those of any earlier one with this incarnation.
  void ready(const peers::Identity& identity);
  void take(const agreed::Input& input);
  void take(const PolicyOut& out);
  /// What a member had carried here.
  void heard(const peers::UserMessageReceived& carried);
  void run_due();
  [[nodiscard]] std::optional<Time> next_due() const;
  /// Told of who is registered and reached where that has changed.
  void look_at_peers();

  /// Whether a request may be decided now, and under which epoch.
  [[nodiscard]] std::optional<agreed::Epoch> epoch() const;
  [[nodiscard]] bool decides() const { return !on() || epoch().has_value(); }
  /// Whether an attempt may still begin, of a request that was taken under that epoch.
  [[nodiscard]] bool may_attempt(agreed::Epoch taken_under) const;
  /// The terms that hold from now on, where they have changed: to be taken over before anything is decided.
  std::optional<PolicyTerms> changed_terms();
  /// A request was refused since nothing is decided.
  void count_refused() { ++refused_here_; }
  [[nodiscard]] bool traces() const { return trace_; }

  // Operators.
  void put(ConnectionId connection, const std::string& body);
  void abort(ConnectionId connection);
  void voter(ConnectionId connection, const std::string& name, bool add);
  /// The answers that have come to be since: connection, status, text.
  std::vector<std::tuple<ConnectionId, int, std::string>> answers() { return std::exchange(answers_, {}); }
  [[nodiscard]] std::optional<std::string> report() const;
  [[nodiscard]] std::string figures() const;

 private:
  void pass_on(agreed::SendMessage& e);
  void pass_on(agreed::AppendEntry& e) { context_.effects.emplace_back(PolicyEffect{std::move(e)}); }
  void pass_on(agreed::CheckTerm& e) { context_.effects.emplace_back(PolicyEffect{std::move(e)}); }
  void pass_on(agreed::PersistLearned& e) { context_.effects.emplace_back(PolicyEffect{std::move(e)}); }
  void pass_on(agreed::EpochChanged& e);
  void pass_on(agreed::AdminReply& e) { answers_.emplace_back(e.call, e.status, e.body + "\n"); }
  void pass_on(agreed::LogLine& e) { context_.log(std::move(e.line)); }

  Context& context_;
  Peering& peering_;
  std::optional<agreed::Settings> settings_;
  Settings start_;
  std::uint64_t seed_;
  bool trace_ = false;
  std::optional<agreed::State> state_;
  std::vector<agreed::Input> early_;  // of the log, before there is a state
  std::uint64_t seen_ = 0;            // revision of the peers
  std::optional<PolicyTerms> changed_;
  std::optional<agreed::Epoch> deciding_, before_;  // under which it decides, and did before
  std::optional<agreed::Epoch> terms_of_;           // that the module has
  Time ended_at_{0};                                // of before_
  std::uint64_t refused_here_ = 0, unlike_ = 0;
  std::map<std::string, std::uint64_t> voters_;
  std::uint64_t log_id_ = 0;
  std::vector<std::tuple<ConnectionId, int, std::string>> answers_;
};

}  // namespace dahliahall::edge
