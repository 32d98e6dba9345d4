// SPDX-License-Identifier: MIT
#include "consensus/lease_manager.h"

#include <algorithm>
#include <cmath>

namespace edge_proxy::consensus {

LeaseManager::LeaseManager(const Settings& settings, Term term, std::set<std::string> voters, Time now)
    : settings_(settings),
      term_(term),
      voters_(std::move(voters)),
      earlier_leases_expire_at_(now + lease_expiry_bound(settings.lease, settings.max_clock_drift)) {}

// The exact bound, rounded up: the holder's clock may run at the rate 1 - drift while the leader's clock runs
// at 1 + drift. QuotaLeases::lease_expiry_bound uses the factor 1 + 2 * drift, which is lower by about 2 *
// drift squared.
Time LeaseManager::lease_expiry_bound(Time lease, double drift) {
  return Time{
      static_cast<Time::rep>(std::ceil(static_cast<double>(lease.count()) * (1 + drift) / (1 - drift)))};
}

/// While a change is in progress, all running members send a lease request in each urgent interval.
bool LeaseManager::is_silent(const Holder& holder, Time now) const {
  return now - holder.requested_at >
         (change_ == 0 ? 2 * settings_.renew_interval : 3 * settings_.urgent_interval);
}

// ---- Leases ----

void LeaseManager::on_lease_request(const std::string& from, const LeaseRequest& request, Time now) {
  holders_[from].requested_at = now;
  PendingGrant& pending = pending_grants_[from];
  // Only the newest request counts. It waits for a round of leadership checks that starts after it arrived.
  if (request.number > pending.number) pending = {request.number, round_ + 1};
}

/// Prevents a deposed leader that does not know of its successor from renewing leases that the new leader
/// assumes to have expired. If a majority has not voted in a later term by now, no later leader was elected
/// before the leases were requested.
void LeaseManager::send_leadership_checks(Time now, LeaderActions& actions) {
  if (!round_in_progress_) {
    ++round_;
    round_in_progress_ = true;
    round_confirmed_.clear();
  }
  round_sent_at_ = now;
  for (const std::string& voter : voters_) {
    if (round_confirmed_.count(voter) == 0) actions.send(voter, LeadershipCheck{term_, round_});
  }
}

void LeaseManager::on_leadership_check_reply(const std::string& from, const LeadershipCheckReply& reply,
                                             const PolicyStateMachine& policy_state, Time now,
                                             LeaderActions& actions) {
  if (!round_in_progress_ || reply.term != term_ || reply.round != round_ || voters_.count(from) == 0) return;
  round_confirmed_.insert(from);
  if (round_confirmed_.size() * 2 <= voters_.size()) return;
  round_in_progress_ = false;
  grant_pending(policy_state, now, actions);
}

void LeaseManager::grant_pending(const PolicyStateMachine& policy_state, Time now, LeaderActions& actions) {
  for (auto it = pending_grants_.begin(); it != pending_grants_.end();) {
    if (it->second.round > round_ || revoking_) {
      ++it;
      continue;
    }
    Holder& holder = holders_[it->first];
    holder.expires_at =
        std::max(holder.expires_at, now + lease_expiry_bound(settings_.lease, settings_.max_clock_drift));
    actions.send(it->first,
                 LeaseGrant{it->second.number, policy_state.epoch(), settings_.lease, policy_state.index()});
    it = pending_grants_.erase(it);
  }
}

// ---- A change ----

/// Resets the state of an earlier change. Returns true if the change in progress, or its absence, is new.
bool LeaseManager::track_change(const PolicyStateMachine& policy_state) {
  const Index current = policy_state.change() ? policy_state.change()->id : 0;
  if (current == change_) return false;
  change_ = current;
  ready_members_.clear();
  decision_proposed_ = false;
  revoking_ = false;
  activation_proposed_ = false;
  return true;
}

bool LeaseManager::awaits_decision(Index change, const PolicyStateMachine& policy_state) const {
  return change_ != 0 && change == change_ && !policy_state.change()->committed && !decision_proposed_;
}

void LeaseManager::propose_decision(Step step, std::string reason, LeaderActions& actions) {
  decision_proposed_ = true;
  actions.append(step, change_, std::move(reason));
}

void LeaseManager::on_propose_request(const ProposeRequest& request, const PolicyStateMachine& policy_state,
                                      LeaderActions& actions) {
  const auto has_same_key = [&request](const ProposeRequest& pending) { return pending.key == request.key; };
  std::erase_if(pending_proposals_, [&policy_state](const ProposeRequest& pending) {
    return policy_state.knows_change(pending.key);
  });
  // A call is repeated until it is answered; only its first request is appended to the log.
  if (policy_state.knows_change(request.key) ||
      std::any_of(pending_proposals_.begin(), pending_proposals_.end(), has_same_key))
    return;
  pending_proposals_.push_back(request);
  actions.entries.push_back({.step = Step::propose,
                             .change = 0,
                             .key = request.key,
                             .base_epoch = request.base_epoch,
                             .policy = request.policy,
                             .reason = {}});
}

void LeaseManager::on_prepare_reply(const std::string& from, const PrepareReply& reply,
                                    const PolicyStateMachine& policy_state, LeaderActions& actions) {
  track_change(policy_state);
  if (!awaits_decision(reply.change, policy_state)) return;
  if (reply.ready) {
    ready_members_.insert(from);
  } else {
    propose_decision(Step::abort, from + ": " + reply.reason, actions);
  }
}

void LeaseManager::on_abort_request(Index change, const std::string& from,
                                    const PolicyStateMachine& policy_state, LeaderActions& actions) {
  track_change(policy_state);
  if (!awaits_decision(change, policy_state)) return;
  // The operator who proposed the change reads this reason in the answer to the call.
  propose_decision(Step::abort, "an operator's word at " + from, actions);
}

void LeaseManager::on_revocation_ack(const std::string& from, const LeaseRevocationAck& ack,
                                     const PolicyStateMachine& policy_state) {
  // An acknowledgement for an earlier term or an earlier change is ignored: the member may have obtained a
  // newer lease since.
  if (!revoking_ || ack.term != term_ || ack.epoch != policy_state.epoch()) return;
  if (const auto found = holders_.find(from); found != holders_.end()) found->second.expires_at = Time{0};
}

/// Members that are reachable, by membership or by a recent request, and have not replied that they are
/// ready.
std::set<std::string> LeaseManager::unprepared_members(const std::map<std::string, bool>& members,
                                                       Time now) const {
  std::set<std::string> unprepared;
  for (const auto& [name, is_reached] : members) {
    if (is_reached) unprepared.insert(name);
  }
  // The membership view may not hold all members yet, so lease holders count as well.
  for (const auto& [name, holder] : holders_) {
    if (holder.has_lease(now) && now - holder.requested_at <= 2 * settings_.renew_interval)
      unprepared.insert(name);
  }
  for (const std::string& name : ready_members_) unprepared.erase(name);
  return unprepared;
}

void LeaseManager::advance(const PolicyStateMachine& policy_state, const std::map<std::string, bool>& members,
                           Time now, LeaderActions& actions) {
  const bool is_new_change = track_change(policy_state);
  if (is_new_change) change_started_at_ = now;
  forget_expired_holders(now);
  if (change_ != 0) {
    if (is_new_change || now - announced_at_ >= settings_.urgent_interval)
      announce_change(policy_state, members, now, actions);
    if (policy_state.change()->committed) {
      advance_activation(policy_state, now, actions);
    } else {
      decide_prepared_change(members, now, actions);
    }
  }
  if (pending_grants_.empty() || revoking_) return;
  if (!round_in_progress_ || now - round_sent_at_ >= settings_.urgent_interval)
    send_leadership_checks(now, actions);
}

/// Removes members that have no lease and have not requested one recently.
void LeaseManager::forget_expired_holders(Time now) {
  std::erase_if(holders_, [&](const auto& item) {
    const Holder& holder = item.second;
    return !holder.has_lease(now) && now - holder.requested_at > 2 * settings_.renew_interval;
  });
  std::erase_if(pending_grants_, [&](const auto& item) { return holders_.count(item.first) == 0; });
}

/// Sends the log position to the members, and repeats revocations to the lease holders while revoking.
void LeaseManager::announce_change(const PolicyStateMachine& policy_state,
                                   const std::map<std::string, bool>& members, Time now,
                                   LeaderActions& actions) {
  announced_at_ = now;
  for (const auto& [name, is_reached] : members) {
    if (is_reached) actions.send(name, LogPosition{policy_state.index(), settings_.name});
  }
  if (revoking_) send_revocations(policy_state, now, actions);
}

/// Commits the change if all reachable members are ready. Aborts it if one has not replied by the timeout.
void LeaseManager::decide_prepared_change(const std::map<std::string, bool>& members, Time now,
                                          LeaderActions& actions) {
  if (decision_proposed_) return;
  std::string missing;
  for (const std::string& name : unprepared_members(members, now))
    missing += (missing.empty() ? "" : ", ") + name;
  if (missing.empty()) {
    propose_decision(Step::commit, {}, actions);
  } else if (now - change_started_at_ >= settings_.prepare_timeout) {
    propose_decision(Step::abort, "no answer in time from " + missing, actions);
  }
}

/// Revokes the leases on the previous epoch, then activates the committed change.
void LeaseManager::advance_activation(const PolicyStateMachine& policy_state, Time now,
                                      LeaderActions& actions) {
  if (activation_proposed_ || earlier_leases_expire_at_ > now) return;
  // While a silent member holds a lease, activation has to wait. The other members keep their leases on the
  // previous epoch during this time, so that they can still decide.
  if (!revoking_ && !has_silent_lease_holder(now)) start_revocation(policy_state, now, actions);
  // Invariant: at activation no member can decide under the previous epoch any more.
  if (!revoking_ || has_lease_holder(now)) return;
  activation_proposed_ = true;
  actions.append(Step::activate, change_);
}

void LeaseManager::start_revocation(const PolicyStateMachine& policy_state, Time now,
                                    LeaderActions& actions) {
  revoking_ = true;
  announced_at_ = now;
  send_revocations(policy_state, now, actions);
}

void LeaseManager::send_revocations(const PolicyStateMachine& policy_state, Time now,
                                    LeaderActions& actions) const {
  for (const auto& [name, holder] : holders_) {
    if (holder.has_lease(now)) actions.send(name, LeaseRevocation{term_, policy_state.epoch()});
  }
}

bool LeaseManager::has_lease_holder(Time now) const {
  return std::any_of(holders_.begin(), holders_.end(),
                     [now](const auto& item) { return item.second.has_lease(now); });
}

bool LeaseManager::has_silent_lease_holder(Time now) const {
  return std::any_of(holders_.begin(), holders_.end(), [&](const auto& item) {
    return item.second.has_lease(now) && is_silent(item.second, now);
  });
}

Time LeaseManager::next_due(Time now) const {
  Time due = Time::max();
  if (change_ != 0) due = std::min(due, announced_at_ + settings_.urgent_interval);
  if (!pending_grants_.empty() && !revoking_)
    due = std::min(due, round_in_progress_ ? round_sent_at_ + settings_.urgent_interval : now);
  return due;
}

std::vector<std::string> LeaseManager::blocking_members(const PolicyStateMachine& policy_state,
                                                        const std::map<std::string, bool>& members,
                                                        Time now) const {
  std::vector<std::string> blocking;
  if (!policy_state.change()) return blocking;
  const auto remaining = [now](Time until) { return std::to_string((until - now).count() / 1000) + " ms"; };
  if (!policy_state.change()->committed) {
    for (const std::string& name : unprepared_members(members, now))
      blocking.push_back(name + ": has not prepared");
    return blocking;
  }
  if (earlier_leases_expire_at_ > now)
    blocking.push_back("leases of the leader before: " + remaining(earlier_leases_expire_at_));
  for (const auto& [name, holder] : holders_) {
    if (holder.has_lease(now) && (revoking_ || is_silent(holder, now)))
      blocking.push_back(name + ": may decide under the epoch before for " + remaining(holder.expires_at));
  }
  return blocking;
}

}  // namespace edge_proxy::consensus
