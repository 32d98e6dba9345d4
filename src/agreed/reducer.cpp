// SPDX-License-Identifier: MIT
#include "agreed/reducer.h"

#include <algorithm>
#include <iterator>

namespace dahliahall::agreed {
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
      next_ask_(now),
      next_pull_(now),
      pull_turn_(seed) {}

std::vector<Effect> State::take(Time now, const Input& input) {
  now_ = std::max(now_, now);
  // First of all: guards against deciding on after a standstill in which the lease ran out.
  tell_decision();
  std::visit([this](const auto& in) { on(in); }, input);
  run_due();
  while (!to_self_.empty()) {
    const Heard own = std::move(to_self_.front());
    to_self_.pop_front();
    on(own);
    run_due();
  }
  tell_decision();
  return std::exchange(effects_, {});
}

Time State::next_due() const {
  Time due = next_ask_;
  if (newest_ > register_.index()) due = std::min(due, next_pull_);
  if (!calls_.empty()) due = std::min(due, next_call_);
  if (lease_.held(now_)) due = std::min(due, lease_.until());
  if (steward_) due = std::min(due, steward_->next_due(now_));
  return due;
}

std::optional<Epoch> State::decides(Time now) const {
  if (const auto held = lease_.held(now)) return held;
  // Where the operators chose so: the last epoch that is known goes on, and the promise is broken.
  if (settings_.serve_cut_off && ever_told_) return register_.epoch();
  return std::nullopt;
}

bool State::eager() const { return !lease_.held(now_) || register_.change().has_value(); }

void State::on(const Heard& in) {
  std::visit([&](const auto& m) { hear(in.from, m); }, in.message);
}

// ---- The log ----

void State::on(const Applied& in) {
  const Index before = register_.index();
  if (in.index <= before) return;
  if (in.entry) {
    register_.apply(in.index, *in.entry);
    recent_.emplace_back(in.index, *in.entry);
    if (recent_.size() > kRecent) {
      recent_from_ = recent_.front().first;
      recent_.pop_front();
    }
  } else {
    register_.pass(in.index);
  }
  moved(before);
}

void State::on(const Restored& in) {
  const Index before = register_.index();
  if (in.whole.index <= before) return;
  register_ = Register(in.whole);
  recent_.clear();
  recent_from_ = in.whole.index;
  moved(before);
}

void State::moved(Index before) {
  newest_ = std::max(newest_, register_.index());
  const auto& change = register_.change();
  if (change && checked_ != change->id) {
    checked_ = change->id;
    unfit_ = settings_.check ? settings_.check(change->policy) : std::nullopt;
    log("policy proposed key=" + change->key + " epoch=" + std::to_string(change->epoch) +
        (unfit_ ? " unfit: " + *unfit_ : ""));
    next_ask_ = now_;
  }
  if (change && change->committed && change->id <= before)
    log("policy committed key=" + change->key + " epoch=" + std::to_string(change->epoch));
  if (!change && checked_ != 0) {
    const Whole whole = register_.whole();
    const Outcome* last = whole.outcomes.empty() ? nullptr : &whole.outcomes.back();
    const bool active = last == nullptr || last->fate == Fate::active;
    ++(active ? counts_.changes : counts_.aborts);
    log(active ? "policy active key=" + register_.key() + " epoch=" + std::to_string(register_.epoch())
               : "policy aborted key=" + last->key + ": " + last->reason);
    checked_ = 0;
    unfit_.reset();
  }
  // Guards against an epoch that is over, should clocks go beyond the bound on their drift.
  if (lease_.held(now_) && lease_.epoch() != register_.epoch()) {
    log("policy lease on epoch=" + std::to_string(lease_.epoch()) +
        " outlived it: clocks drift beyond the bound");
    lease_.give_up();
  }
  answer_calls();
}

void State::on(const Led& in) {
  steward_.emplace(settings_, in.term, in.voters, now_);
  leader_ = settings_.name;
  voter_ = true;
  log("policy leads term=" + std::to_string(in.term) + " voters=" + std::to_string(in.voters.size()));
}

void State::on(const Followed& in) {
  if (steward_) log("policy leads no more");
  steward_.reset();
  voter_ = in.voter;
  if (in.voter || !in.leader.empty()) leader_ = in.leader;
}

// ---- The leader's side ----

void State::hear(const std::string& from, const Ask& m) {
  if (steward_) {
    steward_->asked(from, m, now_);
  } else if (!leader_.empty() && leader_ != from) {
    send(from, Look{register_.index(), leader_});
  }
}

void State::hear(const std::string& from, const Confirmed& m) {
  lead([&](Wish& wish) { steward_->confirmed(from, m, register_, now_, wish); });
}
void State::hear(const std::string& from, const Prepared& m) {
  lead([&](Wish& wish) { steward_->prepared(from, m, register_, wish); });
}
void State::hear(const std::string& from, const Yielded& m) {
  lead([&](Wish&) { steward_->yielded(from, m, register_); });
}
void State::hear(const std::string&, const Propose& m) {
  if (m.policy.size() > settings_.most_policy || m.key.empty() || m.key.size() > kMostKey) return;
  lead([&](Wish& wish) { steward_->propose(m, register_, wish); });
}
void State::hear(const std::string& from, const AbortWanted& m) {
  lead([&](Wish& wish) { steward_->abort(m.change, from, register_, wish); });
}

/// Has the leader's side do that, where this proxy leads, and carries out what it wants.
template <typename Does>
void State::lead(Does&& does) {
  if (!steward_) return;
  Wish wish;
  does(wish);
  for (auto& [to, message] : wish.send) send(to, std::move(message));
  for (Entry& entry : wish.append) effects_.emplace_back(Append{std::move(entry)});
}

// ---- The member's side ----

void State::hear(const std::string& from, const Grant& m) {
  if (!steward_) leader_ = from;
  newest_ = std::max(newest_, m.index);
  if (lease_.granted(m, register_.epoch(), now_)) ++counts_.grants;
}

void State::hear(const std::string& from, const Yield& m) {
  if (!steward_) leader_ = from;
  if (lease_.epoch() == m.epoch || !lease_.held(now_)) lease_.give_up();
  // Guards the promise: only what was given up for certain is said to be.
  if (!lease_.held(now_)) send(from, Yielded{m.term, m.epoch});
  next_ask_ = std::min(next_ask_, now_ + settings_.eager);
}

void State::hear(const std::string&, const Look& m) {
  newest_ = std::max(newest_, m.index);
  if (!steward_ && !m.leader.empty() && m.leader != settings_.name) {
    if (leader_ != m.leader) next_ask_ = now_;
    leader_ = m.leader;
  }
}

void State::hear(const std::string& from, const Pull& m) {
  if (m.after >= register_.index()) return;
  if (m.after < recent_from_) {
    send(from, register_.whole());
    return;
  }
  Pulled pulled{m.after, register_.index(), {}};
  for (const auto& [index, entry] : recent_) {
    if (index <= m.after) continue;
    if (pulled.entries.size() == kPulledAtOnce) {
      pulled.upto = pulled.entries.back().first;
      break;
    }
    pulled.entries.emplace_back(index, entry);
  }
  send(from, std::move(pulled));
}

void State::hear(const std::string&, const Pulled& m) {
  // A voter's entries come from its log alone, which has them on its disk by then.
  if (voter_ || m.after != register_.index() || m.upto <= m.after) return;
  effects_.emplace_back(Learn{m});
}
void State::hear(const std::string&, const Whole& m) {
  if (voter_ || m.index <= register_.index()) return;
  effects_.emplace_back(Learn{m});
}

/// The leader, where it is known; else one of the voters after the other.
std::string State::whom_to_ask() {
  if (steward_) return settings_.name;
  if (!leader_.empty()) return leader_;
  if (settings_.voters.empty()) return {};
  return settings_.voters[ask_turn_++ % settings_.voters.size()];
}

void State::ask() {
  const bool held = lease_.held(now_).has_value();
  next_ask_ = now_ + (eager() ? settings_.eager : settings_.renew);
  // One that answers nothing may lead no more.
  if (!held && !steward_ && !voter_ && ++unheard_ % 4 == 0) leader_.clear();
  const std::string to = whom_to_ask();
  if (to.empty()) return;
  ++counts_.asks;
  send(to, Ask{lease_.ask(now_)});
  const auto& change = register_.change();
  if (change && !change->committed) send(to, Prepared{change->id, !unfit_, unfit_.value_or("")});
}

void State::pull() {
  next_pull_ = now_ + settings_.eager;
  // Mostly from any member: guards the voters against work that grows with the fleet.
  std::vector<std::string> from;
  for (const auto& [name, reached] : members_) {
    if (reached && name != settings_.name) from.push_back(name);
  }
  // All of them by turns, by a count of its own: guards against two that only ever ask each other.
  const std::uint64_t turn = pull_turn_++;
  const std::string to = from.empty() || turn % 3 == 2 ? whom_to_ask() : from[turn % from.size()];
  if (!to.empty() && to != settings_.name) send(to, Pull{register_.index()});
}

void State::run_due() {
  lead([&](Wish& wish) { steward_->run(register_, members_, now_, wish); });
  if (next_ask_ <= now_) ask();
  if (!voter_ && newest_ > register_.index() && next_pull_ <= now_) pull();
  if (!calls_.empty() && next_call_ <= now_) {
    next_call_ = now_ + settings_.eager;
    answer_calls();
    for (const auto& [id, call] : calls_) {
      if (const std::string to = whom_to_ask(); !to.empty())
        send(to, Propose{call.key, call.base, call.policy});
    }
  }
}

void State::tell_decision() {
  const auto now = decides(now_);
  const bool broken = now && !lease_.held(now_);
  if (broken && !broken_) {
    ++counts_.broken;
    log("policy goes on without a lease epoch=" + std::to_string(*now) + ": the promise is broken");
  }
  broken_ = broken;
  if (ever_told_ && now == told_) return;
  if (!now && !ever_told_) return;
  if (!now) ++counts_.lapses;
  told_ = now;
  ever_told_ = true;
  log(now ? "policy decides epoch=" + std::to_string(*now)
          : "policy decides nothing: no lease on the active epoch");
  effects_.emplace_back(Decide{now, register_.policy()});
}

// ---- Operators ----

void State::on(const Put& in) {
  const auto no = [&](int status, const std::string& why) {
    effects_.emplace_back(Answer{in.call, status, why});
  };
  if (in.key.empty() || in.key.size() > kMostKey) return no(400, "the key should have 1 to 64 characters");
  if (in.policy.size() > settings_.most_policy) return no(413, "the policy is too large");
  // Guards against a no that is none: what has been decided under this key stands, whatever is sent with it
  // now.
  if (!register_.knows(in.key)) {
    if (const auto unfit = settings_.check ? settings_.check(in.policy) : std::nullopt)
      return no(422, settings_.name + ": " + *unfit);
    if (calls_.size() >= kMostCalls) return no(503, "unknown: too many calls wait");
  }
  calls_[in.call] = {in.key, in.base, in.policy, now_ + settings_.answer_within};
  next_call_ = now_;
  answer_calls();
}

void State::on(const AbortCalled& in) {
  const auto& change = register_.change();
  int status = 202;
  std::string body = "asked for: see GET /v1/policy";
  if (!change) {
    status = 404, body = "no change is under way";
  } else if (change->committed) {
    status = 409, body = "it is committed";
  } else if (const std::string to = whom_to_ask(); !to.empty()) {
    send(to, AbortWanted{change->id});
  } else {
    status = 503, body = "no leader is known";
  }
  effects_.emplace_back(Answer{in.call, status, body});
}

/// A yes only once it is active, a no only where it can never be.
void State::answer_calls() {
  for (auto it = calls_.begin(); it != calls_.end();) {
    const Outcome* outcome = register_.outcome(it->second.key);
    Answer answer{it->first, 0, {}};
    if (outcome != nullptr && outcome->fate == Fate::active) {
      answer.status = 200, answer.body = "active epoch=" + std::to_string(outcome->epoch);
    } else if (outcome != nullptr) {
      answer.status = 409;
      answer.body = (outcome->fate == Fate::aborted ? "aborted: " : "refused: ") + outcome->reason +
                    " epoch=" + std::to_string(outcome->epoch);
    } else if (it->second.until <= now_) {
      answer.status = 503, answer.body = "unknown: ask again with the same key";
    }
    if (answer.status == 0) {
      ++it;
      continue;
    }
    effects_.emplace_back(std::move(answer));
    it = calls_.erase(it);
  }
}

void State::send(const std::string& to, Message message) {
  if (to == settings_.name) {
    to_self_.push_back({to, std::move(message)});
  } else {
    effects_.emplace_back(Send{to, std::move(message)});
  }
}

std::string State::print(const std::map<std::string, std::uint64_t>& newest) const {
  const auto left = [this](Time until) { return std::to_string(std::max(Time{0}, until - now_).count()); };
  const Whole w = register_.whole();
  std::string text =
      "i" + std::to_string(w.index) + " n" + std::to_string(newest_) + " E" + std::to_string(w.epoch) + w.key;
  for (const Change& c : w.change) text += " c" + std::to_string(c.id) + (c.committed ? "C" : "P");
  for (const Outcome& o : w.outcomes) text += " o" + o.key + std::to_string(static_cast<int>(o.fate));
  text += " L" + std::to_string(lease_.epoch()) + ":" + left(lease_.until());
  for (const auto& [number, at] : lease_.asked())
    text += " q" + std::to_string(lease_.newest() - number) + ":" + left(at + settings_.lease);
  text += " l" + leader_ + (voter_ ? "V" : "") + " a" + left(next_ask_) + " p" + left(next_pull_) + " k" +
          left(next_call_) + "/" + std::to_string(calls_.size());
  if (steward_) text += " {" + steward_->print(now_, newest) + "}";
  return text;
}

}  // namespace dahliahall::agreed
