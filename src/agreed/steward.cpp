// SPDX-License-Identifier: MIT
#include "agreed/steward.h"

#include <algorithm>
#include <cmath>

namespace dahliahall::agreed {

Steward::Steward(const Settings& settings, Term term, std::set<std::string> voters, Time now)
    : settings_(settings),
      term_(term),
      voters_(std::move(voters)),
      earlier_until_(now + past(settings.lease, settings.drift)) {}

Time Steward::past(Time lease, double drift) {
  return Time{
      static_cast<Time::rep>(std::ceil(static_cast<double>(lease.count()) * (1 + drift) / (1 - drift)))};
}

/// While a change is under way all who live ask each `eager`.
bool Steward::silent(const Holder& holder, Time now) const {
  return now - holder.asked > (change_ == 0 ? 2 * settings_.renew : 3 * settings_.eager);
}

// ---- Leases ----

void Steward::asked(const std::string& by, const Ask& ask, Time now) {
  holders_[by].asked = now;
  Waiting& waiting = waiting_[by];
  // The newest counts; what was asked for before a round goes with that round.
  if (ask.number > waiting.number) waiting = {ask.number, round_ + 1};
}

/// Guards against a leader that has been deposed and does not know: it would go on renewing leases that the
/// next one takes for run out. A majority that has not voted for a later term by now shows that no later
/// leader had begun when the leases were asked for.
void Steward::ask_voters(Time now, Wish& wish) {
  if (!round_out_) {
    ++round_;
    round_out_ = true;
    round_confirmed_.clear();
  }
  round_sent_ = now;
  for (const std::string& voter : voters_) {
    if (round_confirmed_.count(voter) == 0) wish.send.emplace_back(voter, Confirm{term_, round_});
  }
}

void Steward::confirmed(const std::string& by, const Confirmed& confirmed, const Register& at, Time now,
                        Wish& wish) {
  if (!round_out_ || confirmed.term != term_ || confirmed.round != round_ || voters_.count(by) == 0) return;
  round_confirmed_.insert(by);
  if (round_confirmed_.size() * 2 <= voters_.size()) return;
  round_out_ = false;
  grant_all(at, now, wish);
}

void Steward::grant_all(const Register& at, Time now, Wish& wish) {
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (it->second.round > round_ || switching_) {
      ++it;
      continue;
    }
    Holder& holder = holders_[it->first];
    holder.until = std::max(holder.until, now + past(settings_.lease, settings_.drift));
    wish.send.emplace_back(it->first, Grant{it->second.number, at.epoch(), settings_.lease, at.index()});
    it = waiting_.erase(it);
  }
}

// ---- A change ----

/// Forgets what was about an earlier change.
void Steward::follow(const Register& at) {
  const Index now = at.change() ? at.change()->id : 0;
  if (now == change_) return;
  change_ = now;
  ready_.clear();
  ended_ = switching_ = activating_ = false;
}

void Steward::propose(const Propose& call, const Register& at, Wish& wish) {
  const auto same = [&call](const Propose& p) { return p.key == call.key; };
  std::erase_if(proposed_, [&at](const Propose& p) { return at.knows(p.key); });
  // Guards the log against a call that is repeated until its answer comes.
  if (at.knows(call.key) || std::any_of(proposed_.begin(), proposed_.end(), same)) return;
  proposed_.push_back(call);
  wish.append.push_back({Step::propose, 0, call.key, call.base, call.policy, {}});
}

void Steward::prepared(const std::string& by, const Prepared& prepared, const Register& at, Wish& wish) {
  follow(at);
  if (change_ == 0 || prepared.change != change_ || at.change()->committed || ended_) return;
  if (prepared.good) {
    ready_.insert(by);
    return;
  }
  ended_ = true;
  wish.append.push_back({Step::abort, change_, {}, 0, {}, by + ": " + prepared.reason});
}

void Steward::abort(Index change, const std::string& by, const Register& at, Wish& wish) {
  follow(at);
  if (change_ == 0 || change != change_ || at.change()->committed || ended_) return;
  ended_ = true;
  wish.append.push_back({Step::abort, change_, {}, 0, {}, "an operator's word at " + by});
}

void Steward::yielded(const std::string& by, const Yielded& yielded, const Register& at) {
  // Guards against one that yielded to an earlier leadership, or for an earlier change, and holds a newer
  // lease since.
  if (!switching_ || yielded.term != term_ || yielded.epoch != at.epoch()) return;
  if (const auto found = holders_.find(by); found != holders_.end()) found->second.until = Time{0};
}

/// Who is reached, by membership or by what came lately, and has not said that it can run it.
std::set<std::string> Steward::unprepared(const std::map<std::string, bool>& members, Time now) const {
  std::set<std::string> all;
  for (const auto& [name, reached] : members) {
    if (reached) all.insert(name);
  }
  // Guards against a view that does not know yet who is there: whoever may decide counts as well.
  for (const auto& [name, holder] : holders_) {
    if (holder.until > now && now - holder.asked <= 2 * settings_.renew) all.insert(name);
  }
  for (const std::string& name : ready_) all.erase(name);
  return all;
}

void Steward::run(const Register& at, const std::map<std::string, bool>& members, Time now, Wish& wish) {
  const Index before = change_;
  follow(at);
  if (change_ != before) change_since_ = now;
  std::erase_if(holders_, [&](const auto& h) {
    return h.second.until <= now && now - h.second.asked > 2 * settings_.renew;
  });
  std::erase_if(waiting_, [&](const auto& w) { return holders_.count(w.first) == 0; });
  const bool again = now - told_ >= settings_.eager;
  if (change_ != 0) {
    if (again || change_ != before) {
      told_ = now;
      for (const auto& [name, reached] : members) {
        if (reached) wish.send.emplace_back(name, Look{at.index(), settings_.name});
      }
      if (switching_) {
        for (const auto& [name, holder] : holders_) {
          if (holder.until > now) wish.send.emplace_back(name, Yield{term_, at.epoch()});
        }
      }
    }
    if (!at.change()->committed && !ended_) {
      std::string missing;
      for (const std::string& name : unprepared(members, now))
        missing += (missing.empty() ? "" : ", ") + name;
      if (missing.empty()) {
        ended_ = true;
        wish.append.push_back({Step::commit, change_, {}, 0, {}, {}});
      } else if (now - change_since_ >= settings_.prepare_within) {
        ended_ = true;
        wish.append.push_back({Step::abort, change_, {}, 0, {}, "no answer in time from " + missing});
      }
    }
    if (at.change()->committed && !activating_) {
      // Guards the service: while one that fell silent holds a lease, all others go on under the epoch
      // before.
      const bool heard = std::none_of(holders_.begin(), holders_.end(), [&](const auto& h) {
        return h.second.until > now && silent(h.second, now);
      });
      if (!switching_ && heard && earlier_until_ <= now) {
        switching_ = true;
        told_ = now;
        for (const auto& [name, holder] : holders_) {
          if (holder.until > now) wish.send.emplace_back(name, Yield{term_, at.epoch()});
        }
      }
      const bool none = std::none_of(holders_.begin(), holders_.end(),
                                     [now](const auto& h) { return h.second.until > now; });
      // Guards everywhere or nowhere: nobody may decide under the epoch before any more.
      if (switching_ && none && earlier_until_ <= now) {
        activating_ = true;
        wish.append.push_back({Step::activate, change_, {}, 0, {}, {}});
      }
    }
  }
  if (waiting_.empty() || switching_) return;
  if (!round_out_ || now - round_sent_ >= settings_.eager) ask_voters(now, wish);
}

Time Steward::next_due(Time now) const {
  Time due = Time::max();
  if (change_ != 0) due = std::min(due, told_ + settings_.eager);
  if (!waiting_.empty() && !switching_) due = std::min(due, round_out_ ? round_sent_ + settings_.eager : now);
  return due;
}

std::vector<std::string> Steward::waits(const Register& at, const std::map<std::string, bool>& members,
                                        Time now) const {
  std::vector<std::string> all;
  if (!at.change()) return all;
  const auto left = [now](Time until) { return std::to_string((until - now).count() / 1000) + " ms"; };
  if (!at.change()->committed) {
    for (const std::string& name : unprepared(members, now)) all.push_back(name + ": has not prepared");
    return all;
  }
  if (earlier_until_ > now) all.push_back("leases of the leader before: " + left(earlier_until_));
  for (const auto& [name, holder] : holders_) {
    if (holder.until > now && (switching_ || silent(holder, now)))
      all.push_back(name + ": may decide under the epoch before for " + left(holder.until));
  }
  return all;
}

std::string Steward::print(Time now, const std::map<std::string, std::uint64_t>& newest) const {
  const auto left = [now](Time until) {
    return std::to_string(std::max(Time{0}, until - now).count()) + " ";
  };
  std::string text = "T" + std::to_string(term_) + " e" + left(earlier_until_);
  for (const auto& [name, h] : holders_) text += name + left(h.until) + left(h.asked + 2 * settings_.renew);
  for (const auto& [name, w] : waiting_) {
    const auto found = newest.find(name);
    text += "w" + name + std::to_string((found == newest.end() ? 0 : found->second) - w.number) +
            (w.round > round_ ? "n " : "o ");
  }
  text += round_out_ ? "r" + left(round_sent_ + settings_.eager) : "- ";
  for (const std::string& name : round_confirmed_) text += name;
  text += " c" + std::to_string(change_) + (ended_ ? "E" : "") + (switching_ ? "S" : "") +
          (activating_ ? "A" : "");
  for (const std::string& name : ready_) text += name;
  if (change_ != 0) text += left(change_since_ + settings_.prepare_within) + left(told_ + settings_.eager);
  return text + "p" + std::to_string(proposed_.size());
}

}  // namespace dahliahall::agreed
