// SPDX-License-Identifier: MIT
#include "consensus/reducer.h"

#include <algorithm>
#include <iterator>

namespace edge_proxy::consensus {
namespace {

constexpr std::size_t kRecent = 256;       // entries kept for those who pull
constexpr std::size_t kPulledAtOnce = 16;  // entries in one answer
constexpr std::size_t kMostCalls = 16;     // operators' calls that wait
constexpr std::size_t kMostKey = 64;

}  // namespace

State::State(Settings settings, std::uint64_t first, std::uint64_t seed, Time now)
    : settings_(std::move(settings)),
      now_(now),
      lease_(first),
      next_lease_request_(now),
      next_catch_up_(now),
      catch_up_turn_(seed) {}

std::vector<Effect> State::handle(Time now, const Input& input) {
  now_ = std::max(now_, now);
  // First of all: guards against deciding on after a standstill in which the lease ran out.
  report_decision();
  std::visit([this](const auto& in) { on(in); }, input);
  run_timers();
  while (!self_messages_.empty()) {
    const MessageReceived own = std::move(self_messages_.front());
    self_messages_.pop_front();
    on(own);
    run_timers();
  }
  report_decision();
  return std::exchange(effects_, {});
}

Time State::next_due() const {
  Time due = next_lease_request_;
  if (newest_index_ > state_machine_.index()) due = std::min(due, next_catch_up_);
  if (!pending_calls_.empty()) due = std::min(due, next_call_);
  if (lease_.held_epoch(now_)) due = std::min(due, lease_.expires_at());
  if (lease_manager_) due = std::min(due, lease_manager_->next_due(now_));
  return due;
}

std::optional<Epoch> State::decision_epoch(Time now) const {
  if (const auto held = lease_.held_epoch(now)) return held;
  // Where the operators chose so: the last epoch that is known goes on, and the promise is broken.
  if (settings_.serve_when_partitioned && ever_told_) return state_machine_.epoch();
  return std::nullopt;
}

bool State::is_urgent() const { return !lease_.held_epoch(now_) || state_machine_.change().has_value(); }

void State::on(const MessageReceived& in) {
  std::visit([&](const auto& m) { on_message(in.from, m); }, in.message);
}

// ---- The log ----

void State::on(const EntryApplied& in) {
  const Index before = state_machine_.index();
  if (in.index <= before) return;
  if (in.entry) {
    state_machine_.apply(in.index, *in.entry);
    recent_.emplace_back(in.index, *in.entry);
    if (recent_.size() > kRecent) {
      recent_from_ = recent_.front().first;
      recent_.pop_front();
    }
  } else {
    state_machine_.advance_to(in.index);
  }
  on_log_advanced(before);
}

void State::on(const SnapshotRestored& in) {
  const Index before = state_machine_.index();
  if (in.whole.index <= before) return;
  state_machine_ = PolicyStateMachine(in.whole);
  recent_.clear();
  recent_from_ = in.whole.index;
  on_log_advanced(before);
}

void State::on_log_advanced(Index before) {
  newest_index_ = std::max(newest_index_, state_machine_.index());
  const auto& change = state_machine_.change();
  if (change && checked_change_ != change->id) {
    checked_change_ = change->id;
    unsupported_reason_ = settings_.check_policy ? settings_.check_policy(change->policy) : std::nullopt;
    log("policy proposed key=" + change->key + " epoch=" + std::to_string(change->epoch) +
        (unsupported_reason_ ? " unfit: " + *unsupported_reason_ : ""));
    next_lease_request_ = now_;
  }
  if (change && change->committed && change->id <= before)
    log("policy committed key=" + change->key + " epoch=" + std::to_string(change->epoch));
  if (!change && checked_change_ != 0) {
    const Snapshot whole = state_machine_.snapshot();
    const ChangeOutcome* last = whole.outcomes.empty() ? nullptr : &whole.outcomes.back();
    const bool active = last == nullptr || last->result == ChangeResult::active;
    ++(active ? counters_.epoch_changes : counters_.aborts);
    log(active
            ? "policy active key=" + state_machine_.key() + " epoch=" + std::to_string(state_machine_.epoch())
            : "policy aborted key=" + last->key + ": " + last->reason);
    checked_change_ = 0;
    unsupported_reason_.reset();
  }
  // Guards against an epoch that is over, should clocks go beyond the bound on their drift.
  if (lease_.held_epoch(now_) && lease_.epoch() != state_machine_.epoch()) {
    log("policy lease on epoch=" + std::to_string(lease_.epoch()) +
        " outlived it: clocks drift beyond the bound");
    lease_.revoke();
  }
  answer_finished_calls();
}

void State::on(const BecameLeader& in) {
  lease_manager_.emplace(settings_, in.term, in.voters, now_);
  leader_ = settings_.name;
  is_voter_ = true;
  log("policy leads term=" + std::to_string(in.term) + " voters=" + std::to_string(in.voters.size()));
}

void State::on(const BecameFollower& in) {
  if (lease_manager_) log("policy leads no more");
  lease_manager_.reset();
  is_voter_ = in.is_voter;
  if (in.is_voter || !in.leader.empty()) leader_ = in.leader;
}

// ---- The leader's side ----

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
      message.key.size() > kMostKey)
    return;
  with_lease_manager(
      [&](LeaderActions& actions) { lease_manager_->on_propose_request(message, state_machine_, actions); });
}
void State::on_message(const std::string& from, const AbortRequest& message) {
  with_lease_manager([&](LeaderActions& actions) {
    lease_manager_->on_abort_request(message.change, from, state_machine_, actions);
  });
}

/// Runs a step of the lease manager, where this proxy leads, and carries out what it wants.
template <typename LeaderStep>
void State::with_lease_manager(LeaderStep&& step) {
  if (!lease_manager_) return;
  LeaderActions actions;
  step(actions);
  for (auto& [to, message] : actions.messages) send(to, std::move(message));
  for (Entry& entry : actions.entries) effects_.emplace_back(AppendEntry{std::move(entry)});
}

// ---- The member's side ----

void State::on_message(const std::string& from, const LeaseGrant& message) {
  if (!lease_manager_) leader_ = from;
  newest_index_ = std::max(newest_index_, message.index);
  if (lease_.on_grant(message, state_machine_.epoch(), now_)) ++counters_.lease_grants;
}

void State::on_message(const std::string& from, const LeaseRevocation& message) {
  if (!lease_manager_) leader_ = from;
  if (lease_.epoch() == message.epoch || !lease_.held_epoch(now_)) lease_.revoke();
  // Guards the promise: only what was given up for certain is said to be.
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
  if (message.after_index < recent_from_) {
    send(from, state_machine_.snapshot());
    return;
  }
  CatchUpResponse pulled{message.after_index, state_machine_.index(), {}};
  for (const auto& [index, entry] : recent_) {
    if (index <= message.after_index) continue;
    if (pulled.entries.size() == kPulledAtOnce) {
      pulled.up_to_index = pulled.entries.back().first;
      break;
    }
    pulled.entries.emplace_back(index, entry);
  }
  send(from, std::move(pulled));
}

void State::on_message(const std::string&, const CatchUpResponse& message) {
  // A voter's entries come from its log alone, which has them on its disk by then.
  if (is_voter_ || message.after_index != state_machine_.index() ||
      message.up_to_index <= message.after_index)
    return;
  effects_.emplace_back(PersistLearned{message});
}
void State::on_message(const std::string&, const Snapshot& message) {
  if (is_voter_ || message.index <= state_machine_.index()) return;
  effects_.emplace_back(PersistLearned{message});
}

/// The leader, where it is known; else one of the voters after the other.
std::string State::next_catch_up_source() {
  if (lease_manager_) return settings_.name;
  if (!leader_.empty()) return leader_;
  if (settings_.voters.empty()) return {};
  return settings_.voters[lease_request_turn_++ % settings_.voters.size()];
}

void State::request_lease() {
  const bool held = lease_.held_epoch(now_).has_value();
  next_lease_request_ = now_ + (is_urgent() ? settings_.urgent_interval : settings_.renew_interval);
  // One that answers nothing may lead no more.
  if (!held && !lease_manager_ && !is_voter_ && ++unheard_ % 4 == 0) leader_.clear();
  const std::string to = next_catch_up_source();
  if (to.empty()) return;
  ++counters_.lease_requests;
  send(to, LeaseRequest{lease_.new_request(now_)});
  const auto& change = state_machine_.change();
  if (change && !change->committed)
    send(to, PrepareReply{change->id, !unsupported_reason_, unsupported_reason_.value_or("")});
}

void State::request_catch_up() {
  next_catch_up_ = now_ + settings_.urgent_interval;
  // Mostly from any member: guards the voters against work that grows with the fleet.
  std::vector<std::string> from;
  for (const auto& [name, reached] : members_) {
    if (reached && name != settings_.name) from.push_back(name);
  }
  // All of them by turns, by a count of its own: guards against two that only ever ask each other.
  const std::uint64_t turn = catch_up_turn_++;
  const std::string to = from.empty() || turn % 3 == 2 ? next_catch_up_source() : from[turn % from.size()];
  if (!to.empty() && to != settings_.name) send(to, CatchUpRequest{state_machine_.index()});
}

void State::run_timers() {
  with_lease_manager(
      [&](LeaderActions& actions) { lease_manager_->advance(state_machine_, members_, now_, actions); });
  if (next_lease_request_ <= now_) request_lease();
  if (!is_voter_ && newest_index_ > state_machine_.index() && next_catch_up_ <= now_) request_catch_up();
  if (!pending_calls_.empty() && next_call_ <= now_) {
    next_call_ = now_ + settings_.urgent_interval;
    answer_finished_calls();
    for (const auto& [id, call] : pending_calls_) {
      if (const std::string to = next_catch_up_source(); !to.empty())
        send(to, ProposeRequest{call.key, call.base_epoch, call.policy});
    }
  }
}

void State::report_decision() {
  const auto now = decision_epoch(now_);
  const bool broken = now && !lease_.held_epoch(now_);
  if (broken && !lost_leases_) {
    ++counters_.lost_leases;
    log("policy goes on without a lease epoch=" + std::to_string(*now) + ": the promise is broken");
  }
  lost_leases_ = broken;
  if (ever_told_ && now == reported_decision_) return;
  if (!now && !ever_told_) return;
  if (!now) ++counters_.lease_expiries;
  reported_decision_ = now;
  ever_told_ = true;
  log(now ? "policy decides epoch=" + std::to_string(*now)
          : "policy decides nothing: no lease on the active epoch");
  effects_.emplace_back(EpochChanged{now, state_machine_.policy()});
}

// ---- Operators ----

void State::on(const ProposeCall& in) {
  const auto no = [&](int status, const std::string& why) {
    effects_.emplace_back(AdminReply{in.call, status, why});
  };
  if (in.key.empty() || in.key.size() > kMostKey) return no(400, "the key should have 1 to 64 characters");
  if (in.policy.size() > settings_.max_policy_bytes) return no(413, "the policy is too large");
  // Guards against a no that is none: what has been decided under this key stands, whatever is sent with it
  // now.
  if (!state_machine_.knows_change(in.key)) {
    if (const auto unfit = settings_.check_policy ? settings_.check_policy(in.policy) : std::nullopt)
      return no(422, settings_.name + ": " + *unfit);
    if (pending_calls_.size() >= kMostCalls) return no(503, "unknown: too many calls wait");
  }
  pending_calls_[in.call] = {in.key, in.base_epoch, in.policy, now_ + settings_.call_timeout};
  next_call_ = now_;
  answer_finished_calls();
}

void State::on(const AbortCall& in) {
  const auto& change = state_machine_.change();
  int status = 202;
  std::string body = "asked for: see GET /v1/policy";
  if (!change) {
    status = 404, body = "no change is under way";
  } else if (change->committed) {
    status = 409, body = "it is committed";
  } else if (const std::string to = next_catch_up_source(); !to.empty()) {
    send(to, AbortRequest{change->id});
  } else {
    status = 503, body = "no leader is known";
  }
  effects_.emplace_back(AdminReply{in.call, status, body});
}

/// A yes only once it is active, a no only where it can never be.
void State::answer_finished_calls() {
  for (auto it = pending_calls_.begin(); it != pending_calls_.end();) {
    const ChangeOutcome* outcome = state_machine_.outcome(it->second.key);
    AdminReply answer{it->first, 0, {}};
    if (outcome != nullptr && outcome->result == ChangeResult::active) {
      answer.status = 200, answer.body = "active epoch=" + std::to_string(outcome->epoch);
    } else if (outcome != nullptr) {
      answer.status = 409;
      answer.body = (outcome->result == ChangeResult::aborted ? "aborted: " : "refused: ") + outcome->reason +
                    " epoch=" + std::to_string(outcome->epoch);
    } else if (it->second.deadline <= now_) {
      answer.status = 503, answer.body = "unknown: ask again with the same key";
    }
    if (answer.status == 0) {
      ++it;
      continue;
    }
    effects_.emplace_back(std::move(answer));
    it = pending_calls_.erase(it);
  }
}

void State::send(const std::string& to, Message message) {
  if (to == settings_.name) {
    self_messages_.push_back({to, std::move(message)});
  } else {
    effects_.emplace_back(SendMessage{to, std::move(message)});
  }
}

}  // namespace edge_proxy::consensus
