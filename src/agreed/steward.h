// SPDX-License-Identifier: MIT
/// @file
/// The leader's side: grants leases, asks all that are reached whether they can run a policy, and puts the
/// next step of a change into the log once nobody is left who may decide under the epoch before.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "agreed/register.h"
#include "agreed/settings.h"

namespace dahliahall::agreed {

/// What the leader wants done.
struct Wish {
  std::vector<std::pair<std::string, Message>> send;
  std::vector<Entry> append;
};

class Steward {
 public:
  /// A leadership begins: the log holds all that was ever committed before it. `now`: when it began at the
  /// latest. Leases that earlier leaders granted were asked for before that.
  Steward(const Settings& settings, Term term, std::set<std::string> voters, Time now);

  void asked(const std::string& by, const Ask& ask, Time now);
  void confirmed(const std::string& by, const Confirmed& confirmed, const Register& at, Time now, Wish& wish);
  void prepared(const std::string& by, const Prepared& prepared, const Register& at, Wish& wish);
  void yielded(const std::string& by, const Yielded& yielded, const Register& at);
  void abort(Index change, const std::string& by, const Register& at, Wish& wish);
  void propose(const Propose& call, const Register& at, Wish& wish);

  /// What the time, or any of the above, has made due. `members`: the registered ones, and whether each is
  /// reached.
  void run(const Register& at, const std::map<std::string, bool>& members, Time now, Wish& wish);
  [[nodiscard]] Time next_due(Time now) const;

  /// Who is waited for, and why.
  [[nodiscard]] std::vector<std::string> waits(const Register& at, const std::map<std::string, bool>& members,
                                               Time now) const;
  [[nodiscard]] Term term() const { return term_; }
  [[nodiscard]] const std::set<std::string>& ready() const { return ready_; }
  void set_voters(std::set<std::string> voters) { voters_ = std::move(voters); }
  /// All of it, with times relative to `now` and the numbers of what was asked for to each member's newest:
  /// alike for states that go on alike. For those who search them.
  [[nodiscard]] std::string print(Time now, const std::map<std::string, std::uint64_t>& newest) const;

  /// After this, by the leader's clock, a lease that was granted now has run out by its holder's, if both
  /// clocks are off by `drift` at most.
  static Time past(Time lease, double drift);

 private:
  struct Holder {
    Time until{0};  // its lease may last that long, by this clock
    Time asked{0};
  };
  struct Waiting {
    std::uint64_t number = 0;
    std::uint64_t round = 0;  // the first round that began after it came
  };

  void follow(const Register& at);
  void ask_voters(Time now, Wish& wish);
  void grant_all(const Register& at, Time now, Wish& wish);
  [[nodiscard]] bool silent(const Holder& holder, Time now) const;
  [[nodiscard]] std::set<std::string> unprepared(const std::map<std::string, bool>& members, Time now) const;

  Settings settings_;
  Term term_;
  std::set<std::string> voters_;
  Time earlier_until_;  // leases of earlier leaders may last that long

  std::map<std::string, Holder> holders_;
  std::map<std::string, Waiting> waiting_;  // for a lease
  std::uint64_t round_ = 0;
  bool round_out_ = false;
  Time round_sent_{0};
  std::set<std::string> round_confirmed_;

  Index change_ = 0;  // the one that all below is about
  Time change_since_{0};
  std::set<std::string> ready_;
  bool ended_ = false;      // commit or abort is in the log, or on its way
  bool switching_ = false;  // nobody is granted a lease any more
  bool activating_ = false;
  Time told_{0};
  std::vector<Propose> proposed_;  // appended in this leadership and not applied yet
};

}  // namespace dahliahall::agreed
