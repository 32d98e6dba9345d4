// SPDX-License-Identifier: MIT
#include "consensus/reducer.h"

#include <algorithm>
#include <iterator>

namespace edge_proxy::consensus {
namespace {

constexpr std::size_t kMaxRecentEntries = 256;  // kept for members that catch up
constexpr std::size_t kMaxEntriesPerResponse = 16;
constexpr std::size_t kMaxPendingCalls = 16;  // of operators
constexpr std::size_t kMaxKeyBytes = 64;
// The number of unanswered requests of a member without a lease after which the leader counts as unknown.
constexpr std::uint64_t kRequestsBeforeLeaderUnknown = 4;
// One of this many catch-up requests goes to the leader, the others go to any member.
constexpr std::uint64_t kCatchUpsPerLeaderRequest = 3;

// HTTP status codes of the answers to operators.
constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kContentTooLarge = 413;
constexpr int kUnprocessable = 422;
constexpr int kUnavailable = 503;

}  // namespace

State::State(Settings settings, std::uint64_t first_request, std::uint64_t seed, Time now)
    : settings_(std::move(settings)),
      now_(now),
      lease_(first_request),
      next_lease_request_(now),
      next_catch_up_(now),
      catch_up_turn_(seed) {}

std::vector<Effect> State::handle(Time now, const Input& input) {
  now_ = std::max(now_, now);
  // This comes before the input: the lease may have expired while the process was paused, and the proxy must
  // not decide under it any more.
  report_decision();
  std::visit([this](const auto& received) { on_input(received); }, input);
  run_timers();
  while (!self_messages_.empty()) {
    const MessageReceived own = std::move(self_messages_.front());
    self_messages_.pop_front();
    on_input(own);
    run_timers();
  }
  report_decision();
  return std::exchange(effects_, {});
}

Time State::next_due() const {
  Time due = next_lease_request_;
  if (newest_index_ > state_machine_.index()) due = std::min(due, next_catch_up_);
  if (!pending_calls_.empty()) due = std::min(due, next_call_retry_);
  if (lease_.held_epoch(now_)) due = std::min(due, lease_.expires_at());
  if (lease_manager_) due = std::min(due, lease_manager_->next_due(now_));
  return due;
}

std::optional<Epoch> State::decision_epoch(Time now) const {
  if (const auto held = lease_.held_epoch(now)) return held;
  // With this setting the proxy keeps deciding under the last known epoch, which may break the invariant.
  if (settings_.serve_when_partitioned && has_reported_decision_) return state_machine_.epoch();
  return std::nullopt;
}

bool State::is_urgent() const { return !lease_.held_epoch(now_) || state_machine_.change().has_value(); }

void State::on_input(const MessageReceived& input) {
  std::visit([&](const auto& message) { on_message(input.from, message); }, input.message);
}

// ---- The log ----

void State::on_input(const EntryApplied& input) {
  const Index before = state_machine_.index();
  if (input.index <= before) return;
  if (input.entry) {
    state_machine_.apply(input.index, *input.entry);
    recent_entries_.push_back({input.index, *input.entry});
    if (recent_entries_.size() > kMaxRecentEntries) {
      recent_after_index_ = recent_entries_.front().index;
      recent_entries_.pop_front();
    }
  } else {
    state_machine_.advance_to(input.index);
  }
  on_log_advanced(before);
}

void State::on_input(const SnapshotRestored& input) {
  const Index before = state_machine_.index();
  if (input.snapshot.index <= before) return;
  state_machine_ = PolicyStateMachine(input.snapshot);
  recent_entries_.clear();
  recent_after_index_ = input.snapshot.index;
  on_log_advanced(before);
}

void State::on_log_advanced(Index before) {
  newest_index_ = std::max(newest_index_, state_machine_.index());
  const auto& change = state_machine_.change();
  if (change && checked_change_ != change->id) check_proposed_change(*change);
  if (change && change->committed && change->id <= before)
    log("policy committed key=" + change->key + " epoch=" + std::to_string(change->epoch));
  if (!change && checked_change_ != 0) report_finished_change();
  revoke_outlived_lease();
  answer_finished_calls();
}

/// The result of the check is sent with the next lease request, which becomes due now.
void State::check_proposed_change(const Change& change) {
  checked_change_ = change.id;
  unsupported_reason_ = check_policy(change.policy);
  log("policy proposed key=" + change.key + " epoch=" + std::to_string(change.epoch) +
      (unsupported_reason_ ? " unsupported: " + *unsupported_reason_ : ""));
  next_lease_request_ = now_;
}

void State::report_finished_change() {
  const std::vector<ChangeOutcome> outcomes = state_machine_.snapshot().outcomes;
  if (outcomes.empty() || outcomes.back().result == ChangeResult::active) {
    ++counters_.epoch_changes;
    log("policy active key=" + state_machine_.key() + " epoch=" + std::to_string(state_machine_.epoch()));
  } else {
    ++counters_.aborts;
    log("policy aborted key=" + outcomes.back().key + ": " + outcomes.back().reason);
  }
  checked_change_ = 0;
  unsupported_reason_.reset();
}

/// Handles a lease that is still held although its epoch has ended, which happens only if clocks drift beyond
/// max_clock_drift.
void State::revoke_outlived_lease() {
  if (!lease_.held_epoch(now_) || lease_.epoch() == state_machine_.epoch()) return;
  log("policy lease revoked epoch=" + std::to_string(lease_.epoch()) +
      ": the epoch has ended, clock drift exceeds the allowed maximum");
  lease_.revoke();
}

std::optional<std::string> State::check_policy(const std::string& policy) const {
  return settings_.check_policy ? settings_.check_policy(policy) : std::nullopt;
}

void State::on_input(const BecameLeader& input) {
  lease_manager_.emplace(settings_, input.term, input.voters, now_);
  leader_ = settings_.name;
  is_voter_ = true;
  log("policy became leader term=" + std::to_string(input.term) +
      " voters=" + std::to_string(input.voters.size()));
}

void State::on_input(const BecameFollower& input) {
  if (lease_manager_) log("policy lost leadership");
  lease_manager_.reset();
  is_voter_ = input.is_voter;
  if (input.is_voter || !input.leader.empty()) leader_ = input.leader;
}

// ---- Messages to the leader ----

void State::on_message(const std::string& from, const LeaseRequest& message) {
  if (lease_manager_) {
    lease_manager_->on_lease_request(from, message, now_);
  } else if (!leader_.empty() && leader_ != from) {
    send(from, LogPosition{state_machine_.index(), leader_});
  }
}

void State::on_message(const std::string& from, const LeadershipCheckReply& message) {
  with_lease_manager([&](LeaderActions& actions) {
    lease_manager_->on_leadership_check_reply(from, message, state_machine_, now_, actions);
  });
}
void State::on_message(const std::string& from, const PrepareReply& message) {
  with_lease_manager([&](LeaderActions& actions) {
    lease_manager_->on_prepare_reply(from, message, state_machine_, actions);
  });
}
void State::on_message(const std::string& from, const LeaseRevocationAck& message) {
  with_lease_manager(
      [&](LeaderActions&) { lease_manager_->on_revocation_ack(from, message, state_machine_); });
}
void State::on_message(const std::string&, const ProposeRequest& message) {
  if (message.policy.size() > settings_.max_policy_bytes || message.key.empty() ||
      message.key.size() > kMaxKeyBytes)
    return;
  with_lease_manager(
      [&](LeaderActions& actions) { lease_manager_->on_propose_request(message, state_machine_, actions); });
}
void State::on_message(const std::string& from, const AbortRequest& message) {
  with_lease_manager([&](LeaderActions& actions) {
    lease_manager_->on_abort_request(message.change, from, state_machine_, actions);
  });
}

/// If this proxy is the leader, calls `step` and performs the resulting actions.
template <typename LeaderStep>
void State::with_lease_manager(LeaderStep&& step) {
  if (!lease_manager_) return;
  LeaderActions actions;
  step(actions);
  for (auto& [to, message] : actions.messages) send(to, std::move(message));
  for (Entry& entry : actions.entries) effects_.emplace_back(AppendEntry{std::move(entry)});
}

// ---- Messages to a member ----

void State::on_message(const std::string& from, const LeaseGrant& message) {
  if (!lease_manager_) leader_ = from;
  newest_index_ = std::max(newest_index_, message.index);
  if (lease_.on_grant(message, state_machine_.epoch(), now_)) ++counters_.lease_grants;
}

void State::on_message(const std::string& from, const LeaseRevocation& message) {
  if (!lease_manager_) leader_ = from;
  if (lease_.epoch() == message.epoch || !lease_.held_epoch(now_)) lease_.revoke();
  // Invariant: a revocation is acknowledged only if no lease is held any more.
  if (!lease_.held_epoch(now_)) send(from, LeaseRevocationAck{message.term, message.epoch});
  next_lease_request_ = std::min(next_lease_request_, now_ + settings_.urgent_interval);
}

void State::on_message(const std::string&, const LogPosition& message) {
  newest_index_ = std::max(newest_index_, message.index);
  if (!lease_manager_ && !message.leader.empty() && message.leader != settings_.name) {
    if (leader_ != message.leader) next_lease_request_ = now_;
    leader_ = message.leader;
  }
}

void State::on_message(const std::string& from, const CatchUpRequest& message) {
  if (message.after_index >= state_machine_.index()) return;
  if (message.after_index < recent_after_index_) {
    send(from, state_machine_.snapshot());
    return;
  }
  CatchUpResponse response{message.after_index, state_machine_.index(), {}};
  for (const auto& [index, entry] : recent_entries_) {
    if (index <= message.after_index) continue;
    if (response.entries.size() == kMaxEntriesPerResponse) {
      response.up_to_index = response.entries.back().index;
      break;
    }
    response.entries.push_back({index, entry});
  }
  send(from, std::move(response));
}

void State::on_message(const std::string&, const CatchUpResponse& message) {
  // A voter receives entries only from its Raft log, which has already written them to the disk.
  if (is_voter_ || message.after_index != state_machine_.index() ||
      message.up_to_index <= message.after_index)
    return;
  effects_.emplace_back(PersistLearned{message});
}
void State::on_message(const std::string&, const Snapshot& message) {
  if (is_voter_ || message.index <= state_machine_.index()) return;
  effects_.emplace_back(PersistLearned{message});
}

/// The leader if it is known, otherwise the voters in turn.
std::string State::leader_or_next_voter() {
  if (lease_manager_) return settings_.name;
  if (!leader_.empty()) return leader_;
  if (settings_.voters.empty()) return {};
  return settings_.voters[lease_request_turn_++ % settings_.voters.size()];
}

void State::request_lease() {
  const bool held = lease_.held_epoch(now_).has_value();
  next_lease_request_ = now_ + (is_urgent() ? settings_.urgent_interval : settings_.renew_interval);
  // A leader that does not answer may not be the leader any more.
  if (!held && !lease_manager_ && !is_voter_ && ++unanswered_requests_ % kRequestsBeforeLeaderUnknown == 0)
    leader_.clear();
  const std::string to = leader_or_next_voter();
  if (to.empty()) return;
  ++counters_.lease_requests;
  send(to, LeaseRequest{lease_.new_request(now_)});
  const auto& change = state_machine_.change();
  if (change && !change->committed)
    send(to, PrepareReply{change->id, !unsupported_reason_, unsupported_reason_.value_or("")});
}

void State::request_catch_up() {
  next_catch_up_ = now_ + settings_.urgent_interval;
  // Most requests go to any member, so that the load on the voters does not grow with the fleet.
  std::vector<std::string> sources;
  for (const auto& [name, is_reached] : members_) {
    if (is_reached && name != settings_.name) sources.push_back(name);
  }
  // Each member asks all others in turn and starts at its own position, so that two members that lack the
  // same entries do not ask only each other.
  const std::uint64_t turn = catch_up_turn_++;
  const std::string to = sources.empty() || turn % kCatchUpsPerLeaderRequest == kCatchUpsPerLeaderRequest - 1
                             ? leader_or_next_voter()
                             : sources[turn % sources.size()];
  if (!to.empty() && to != settings_.name) send(to, CatchUpRequest{state_machine_.index()});
}

void State::run_timers() {
  with_lease_manager(
      [&](LeaderActions& actions) { lease_manager_->advance(state_machine_, members_, now_, actions); });
  if (next_lease_request_ <= now_) request_lease();
  if (!is_voter_ && newest_index_ > state_machine_.index() && next_catch_up_ <= now_) request_catch_up();
  if (!pending_calls_.empty() && next_call_retry_ <= now_) retry_pending_calls();
}

void State::retry_pending_calls() {
  next_call_retry_ = now_ + settings_.urgent_interval;
  answer_finished_calls();
  for (const auto& [id, call] : pending_calls_) {
    if (const std::string to = leader_or_next_voter(); !to.empty())
      send(to, ProposeRequest{call.key, call.base_epoch, call.policy});
  }
}

void State::report_decision() {
  const auto epoch = decision_epoch(now_);
  track_decisions_without_lease(epoch);
  if (has_reported_decision_ && epoch == reported_decision_) return;
  if (!epoch && !has_reported_decision_) return;
  if (!epoch) ++counters_.lease_expiries;
  reported_decision_ = epoch;
  has_reported_decision_ = true;
  log(epoch ? "policy decides under epoch=" + std::to_string(*epoch)
            : "policy rejects requests: no lease on the active epoch");
  effects_.emplace_back(EpochChanged{epoch, state_machine_.policy()});
}

void State::track_decisions_without_lease(const std::optional<Epoch>& epoch) {
  const bool is_without_lease = epoch && !lease_.held_epoch(now_);
  if (is_without_lease && !deciding_without_lease_) {
    ++counters_.unleased_periods;
    log("policy decides without a lease epoch=" + std::to_string(*epoch) +
        ": other members may use another epoch");
  }
  deciding_without_lease_ = is_without_lease;
}

// ---- Operators ----

void State::on_input(const ProposeCall& input) {
  if (auto rejection = reject_proposal(input)) {
    effects_.emplace_back(std::move(*rejection));
    return;
  }
  pending_calls_[input.call] = {input.key, input.base_epoch, input.policy, now_ + settings_.call_timeout};
  next_call_retry_ = now_;
  answer_finished_calls();
}

/// The answer to a call that is not forwarded to the leader. None: the call is forwarded.
std::optional<AdminReply> State::reject_proposal(const ProposeCall& input) const {
  if (input.key.empty() || input.key.size() > kMaxKeyBytes)
    return AdminReply{input.call, kBadRequest, "the key should have 1 to 64 characters"};
  if (input.policy.size() > settings_.max_policy_bytes)
    return AdminReply{input.call, kContentTooLarge, "the policy is too large"};
  // The outcome for a known key is final, so the call is answered with it even if the policy sent now would
  // be rejected.
  if (state_machine_.knows_change(input.key)) return std::nullopt;
  if (const auto unsupported_reason = check_policy(input.policy))
    return AdminReply{input.call, kUnprocessable, settings_.name + ": " + *unsupported_reason};
  if (pending_calls_.size() >= kMaxPendingCalls)
    return AdminReply{input.call, kUnavailable, "unknown: too many calls are pending"};
  return std::nullopt;
}

void State::on_input(const AbortCall& input) { effects_.emplace_back(request_abort(input)); }

AdminReply State::request_abort(const AbortCall& input) {
  const auto& change = state_machine_.change();
  if (!change) return {input.call, kNotFound, "no change is under way"};
  if (change->committed) return {input.call, kConflict, "it is committed"};
  const std::string to = leader_or_next_voter();
  if (to.empty()) return {input.call, kUnavailable, "no leader is known"};
  send(to, AbortRequest{change->id});
  return {input.call, kAccepted, "asked for: see GET /v1/policy"};
}

void State::answer_finished_calls() {
  for (auto it = pending_calls_.begin(); it != pending_calls_.end();) {
    auto reply = final_reply(it->first, it->second);
    if (!reply) {
      ++it;
      continue;
    }
    effects_.emplace_back(std::move(*reply));
    it = pending_calls_.erase(it);
  }
}

/// The status is 200 only if the change is active, and 409 only if it can never become active. None: the
/// change is not decided yet.
std::optional<AdminReply> State::final_reply(std::uint64_t call, const PendingCall& pending) const {
  const ChangeOutcome* outcome = state_machine_.outcome(pending.key);
  if (outcome == nullptr) {
    if (pending.deadline > now_) return std::nullopt;
    return AdminReply{call, kUnavailable, "unknown: retry with the same key"};
  }
  const std::string epoch = "epoch=" + std::to_string(outcome->epoch);
  if (outcome->result == ChangeResult::active) return AdminReply{call, kOk, "active " + epoch};
  const std::string result = outcome->result == ChangeResult::aborted ? "aborted: " : "refused: ";
  return AdminReply{call, kConflict, result + outcome->reason + " " + epoch};
}

void State::send(const std::string& to, Message message) {
  if (to == settings_.name) {
    self_messages_.push_back({to, std::move(message)});
  } else {
    effects_.emplace_back(SendMessage{to, std::move(message)});
  }
}

}  // namespace edge_proxy::consensus
