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

Time LeaseManager::lease_expiry_bound(Time lease, double drift) {
  return Time{
      static_cast<Time::rep>(std::ceil(static_cast<double>(lease.count()) * (1 + drift) / (1 - drift)))};
}

/// While a change is under way all who live ask each `eager`.
bool LeaseManager::is_silent(const Holder& holder, Time now) const {
  return now - holder.requested_at >
         (change_ == 0 ? 2 * settings_.renew_interval : 3 * settings_.urgent_interval);
}

// ---- Leases ----

void LeaseManager::on_lease_request(const std::string& from, const LeaseRequest& request, Time now) {
  holders_[from].requested_at = now;
  PendingGrant& waiting = pending_grants_[from];
  // The newest counts; what was asked for before a round goes with that round.
  if (request.number > waiting.number) waiting = {request.number, round_ + 1};
}

/// Guards against a leader that has been deposed and does not know: it would go on renewing leases that the
/// next one takes for run out. A majority that has not voted for a later term by now shows that no later
/// leader had begun when the leases were asked for.
void LeaseManager::send_leadership_checks(Time now, LeaderActions& actions) {
  if (!round_in_progress_) {
    ++round_;
    round_in_progress_ = true;
    round_confirmed_.clear();
  }
  round_sent_at_ = now;
  for (const std::string& voter : voters_) {
    if (round_confirmed_.count(voter) == 0)
      actions.messages.emplace_back(voter, LeadershipCheck{term_, round_});
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
    actions.messages.emplace_back(it->first, LeaseGrant{it->second.number, policy_state.epoch(),
                                                        settings_.lease, policy_state.index()});
    it = pending_grants_.erase(it);
  }
}

// ---- A change ----

/// Forgets what was about an earlier change.
void LeaseManager::track_change(const PolicyStateMachine& policy_state) {
  const Index now = policy_state.change() ? policy_state.change()->id : 0;
  if (now == change_) return;
  change_ = now;
  ready_members_.clear();
  decision_proposed_ = revoking_ = activation_proposed_ = false;
}

void LeaseManager::on_propose_request(const ProposeRequest& request, const PolicyStateMachine& policy_state,
                                      LeaderActions& actions) {
  const auto same = [&request](const ProposeRequest& p) { return p.key == request.key; };
  std::erase_if(pending_proposals_,
                [&policy_state](const ProposeRequest& p) { return policy_state.knows_change(p.key); });
  // Guards the log against a call that is repeated until its answer comes.
  if (policy_state.knows_change(request.key) ||
      std::any_of(pending_proposals_.begin(), pending_proposals_.end(), same))
    return;
  pending_proposals_.push_back(request);
  actions.entries.push_back({Step::propose, 0, request.key, request.base_epoch, request.policy, {}});
}

void LeaseManager::on_prepare_reply(const std::string& from, const PrepareReply& reply,
                                    const PolicyStateMachine& policy_state, LeaderActions& actions) {
  track_change(policy_state);
  if (change_ == 0 || reply.change != change_ || policy_state.change()->committed || decision_proposed_)
    return;
  if (reply.ready) {
    ready_members_.insert(from);
    return;
  }
  decision_proposed_ = true;
  actions.entries.push_back({Step::abort, change_, {}, 0, {}, from + ": " + reply.reason});
}

void LeaseManager::on_abort_request(Index change, const std::string& from,
                                    const PolicyStateMachine& policy_state, LeaderActions& actions) {
  track_change(policy_state);
  if (change_ == 0 || change != change_ || policy_state.change()->committed || decision_proposed_) return;
  decision_proposed_ = true;
  actions.entries.push_back({Step::abort, change_, {}, 0, {}, "an operator's word at " + from});
}

void LeaseManager::on_revocation_ack(const std::string& from, const LeaseRevocationAck& ack,
                                     const PolicyStateMachine& policy_state) {
  // Guards against one that yielded to an earlier leadership, or for an earlier change, and holds a newer
  // lease since.
  if (!revoking_ || ack.term != term_ || ack.epoch != policy_state.epoch()) return;
  if (const auto found = holders_.find(from); found != holders_.end()) found->second.expires_at = Time{0};
}

/// Who is reached, by membership or by what came lately, and has not said that it can run it.
std::set<std::string> LeaseManager::unprepared_members(const std::map<std::string, bool>& members,
                                                       Time now) const {
  std::set<std::string> all;
  for (const auto& [name, reached] : members) {
    if (reached) all.insert(name);
  }
  // Guards against a view that does not know yet who is there: whoever may decide counts as well.
  for (const auto& [name, holder] : holders_) {
    if (holder.expires_at > now && now - holder.requested_at <= 2 * settings_.renew_interval)
      all.insert(name);
  }
  for (const std::string& name : ready_members_) all.erase(name);
  return all;
}

void LeaseManager::advance(const PolicyStateMachine& policy_state, const std::map<std::string, bool>& members,
                           Time now, LeaderActions& actions) {
  const Index before = change_;
  track_change(policy_state);
  if (change_ != before) change_started_at_ = now;
  std::erase_if(holders_, [&](const auto& h) {
    return h.second.expires_at <= now && now - h.second.requested_at > 2 * settings_.renew_interval;
  });
  std::erase_if(pending_grants_, [&](const auto& w) { return holders_.count(w.first) == 0; });
  const bool again = now - announced_at_ >= settings_.urgent_interval;
  if (change_ != 0) {
    if (again || change_ != before) {
      announced_at_ = now;
      for (const auto& [name, reached] : members) {
        if (reached) actions.messages.emplace_back(name, LogPosition{policy_state.index(), settings_.name});
      }
      if (revoking_) {
        for (const auto& [name, holder] : holders_) {
          if (holder.expires_at > now)
            actions.messages.emplace_back(name, LeaseRevocation{term_, policy_state.epoch()});
        }
      }
    }
    if (!policy_state.change()->committed && !decision_proposed_) {
      std::string missing;
      for (const std::string& name : unprepared_members(members, now))
        missing += (missing.empty() ? "" : ", ") + name;
      if (missing.empty()) {
        decision_proposed_ = true;
        actions.entries.push_back({Step::commit, change_, {}, 0, {}, {}});
      } else if (now - change_started_at_ >= settings_.prepare_timeout) {
        decision_proposed_ = true;
        actions.entries.push_back({Step::abort, change_, {}, 0, {}, "no answer in time from " + missing});
      }
    }
    if (policy_state.change()->committed && !activation_proposed_) {
      // Guards the service: while one that fell silent holds a lease, all others go on under the epoch
      // before.
      const bool heard = std::none_of(holders_.begin(), holders_.end(), [&](const auto& h) {
        return h.second.expires_at > now && is_silent(h.second, now);
      });
      if (!revoking_ && heard && earlier_leases_expire_at_ <= now) {
        revoking_ = true;
        announced_at_ = now;
        for (const auto& [name, holder] : holders_) {
          if (holder.expires_at > now)
            actions.messages.emplace_back(name, LeaseRevocation{term_, policy_state.epoch()});
        }
      }
      const bool none = std::none_of(holders_.begin(), holders_.end(),
                                     [now](const auto& h) { return h.second.expires_at > now; });
      // Guards everywhere or nowhere: nobody may decide under the epoch before any more.
      if (revoking_ && none && earlier_leases_expire_at_ <= now) {
        activation_proposed_ = true;
        actions.entries.push_back({Step::activate, change_, {}, 0, {}, {}});
      }
    }
  }
  if (pending_grants_.empty() || revoking_) return;
  if (!round_in_progress_ || now - round_sent_at_ >= settings_.urgent_interval)
    send_leadership_checks(now, actions);
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
  std::vector<std::string> all;
  if (!policy_state.change()) return all;
  const auto left = [now](Time until) { return std::to_string((until - now).count() / 1000) + " ms"; };
  if (!policy_state.change()->committed) {
    for (const std::string& name : unprepared_members(members, now))
      all.push_back(name + ": has not prepared");
    return all;
  }
  if (earlier_leases_expire_at_ > now)
    all.push_back("leases of the leader before: " + left(earlier_leases_expire_at_));
  for (const auto& [name, holder] : holders_) {
    if (holder.expires_at > now && (revoking_ || is_silent(holder, now)))
      all.push_back(name + ": may decide under the epoch before for " + left(holder.expires_at));
  }
  return all;
}

std::string LeaseManager::debug_state(Time now, const std::map<std::string, std::uint64_t>& newest) const {
  const auto left = [now](Time until) {
    return std::to_string(std::max(Time{0}, until - now).count()) + " ";
  };
  std::string text = "T" + std::to_string(term_) + " e" + left(earlier_leases_expire_at_);
  for (const auto& [name, h] : holders_)
    text += name + left(h.expires_at) + left(h.requested_at + 2 * settings_.renew_interval);
  for (const auto& [name, w] : pending_grants_) {
    const auto found = newest.find(name);
    text += "w" + name + std::to_string((found == newest.end() ? 0 : found->second) - w.number) +
            (w.round > round_ ? "n " : "o ");
  }
  text += round_in_progress_ ? "r" + left(round_sent_at_ + settings_.urgent_interval) : "- ";
  for (const std::string& name : round_confirmed_) text += name;
  text += " c" + std::to_string(change_) + (decision_proposed_ ? "E" : "") + (revoking_ ? "S" : "") +
          (activation_proposed_ ? "A" : "");
  for (const std::string& name : ready_members_) text += name;
  if (change_ != 0)
    text += left(change_started_at_ + settings_.prepare_timeout) +
            left(announced_at_ + settings_.urgent_interval);
  return text + "p" + std::to_string(pending_proposals_.size());
}

}  // namespace edge_proxy::consensus
