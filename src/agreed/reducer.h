// SPDX-License-Identifier: MIT
/// @file
/// Agreement on the policy, at one proxy: (state, now, input) -> effects. The log itself is elsewhere
/// (agreed/raft_log at voters; the others pull); here is what it comes to, who may decide under which epoch,
/// and what operators are told. docs/agreed.md says how and why. No I/O, no clock.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "agreed/lease.h"
#include "agreed/register.h"
#include "agreed/settings.h"
#include "agreed/steward.h"

namespace dahliahall::agreed {

// ---- Inputs ----

struct Heard {
  std::string from;
  Message message;
};
struct Due {};
/// Committed, and on this proxy's disk. No entry: the log has come that far without one of this kind.
struct Applied {
  Index index = 0;
  std::optional<Entry> entry;
};
/// As it was on the disk, or of one that was too far ahead for single entries.
struct Restored {
  Whole whole;
};
/// This proxy leads the log, and has applied all that was committed before.
struct Led {
  Term term = 0;
  std::set<std::string> voters;
};
/// It does not. `leader`: empty where none is known.
struct Followed {
  std::string leader;
  bool voter = false;  ///< the log gives it its entries
};
/// The voters have changed, while this proxy leads.
struct Voters {
  std::set<std::string> names;
};
/// The registered members, and whether each is reached.
struct Members {
  std::map<std::string, bool> reached;
};
/// Operators' calls.
struct Put {
  std::uint64_t call = 0;
  std::string key;
  Epoch base = 0;
  std::string policy;
};
struct AbortCalled {
  std::uint64_t call = 0;
};
using Input = std::variant<Heard, Due, Applied, Restored, Led, Followed, Voters, Members, Put, AbortCalled>;

// ---- Effects ----

struct Send {
  std::string to;
  Message message;
};
/// To the log, at its leader. It may be lost with the leadership.
struct Append {
  Entry entry;
};
/// To this proxy's own log, where it is a voter's: answer `from` unless a vote went to a later term.
struct AskTerm {
  std::string from;
  Confirm confirm;
};
/// To this proxy's disk, where it is no voter: Applied or Restored follow once it is durable.
struct Learn {
  std::variant<Pulled, Whole> what;
};
/// From now on requests are decided under this epoch and policy; none: they are refused.
struct Decide {
  std::optional<Epoch> epoch;
  std::string policy;
};
/// The final answer to an operator's call: an HTTP status and a body.
struct Answer {
  std::uint64_t call = 0;
  int status = 503;
  std::string body;
};
struct Log {
  std::string line;
};
using Effect = std::variant<Send, Append, AskTerm, Learn, Decide, Answer, Log>;

struct Counts {
  std::uint64_t asks = 0, grants = 0, lapses = 0, broken = 0, changes = 0, aborts = 0;
};

class State {
 public:
  /// `first`: as Lease says. `seed`: whom to pull from.
  State(Settings settings, std::uint64_t first, std::uint64_t seed, Time now);

  std::vector<Effect> take(Time now, const Input& input);
  /// When Due is wanted; the newest counts.
  [[nodiscard]] Time next_due() const;

  /// What it may decide under at that time; none: refuse.
  [[nodiscard]] std::optional<Epoch> decides(Time now) const;
  [[nodiscard]] const Register& at() const { return register_; }
  [[nodiscard]] const Lease& lease() const { return lease_; }
  [[nodiscard]] const std::optional<Steward>& steward() const { return steward_; }
  [[nodiscard]] const std::string& leader() const { return leader_; }
  [[nodiscard]] const Counts& counts() const { return counts_; }
  [[nodiscard]] const std::map<std::string, bool>& members() const { return members_; }
  [[nodiscard]] const Settings& settings() const { return settings_; }
  /// As Steward::print says.
  [[nodiscard]] std::string print(const std::map<std::string, std::uint64_t>& newest) const;

 private:
  struct Call {
    std::string key;
    Epoch base = 0;
    std::string policy;
    Time until{0};
  };

  void on(const Heard& in);
  void on(const Due&) {}
  void on(const Applied& in);
  void on(const Restored& in);
  void on(const Led& in);
  void on(const Followed& in);
  void on(const Voters& in) {
    if (steward_) steward_->set_voters(in.names);
  }
  void on(const Members& in) { members_ = in.reached; }
  void on(const Put& in);
  void on(const AbortCalled& in);

  void hear(const std::string& from, const Ask& m);
  void hear(const std::string& from, const Grant& m);
  void hear(const std::string& from, const Confirm& m) { effects_.emplace_back(AskTerm{from, m}); }
  void hear(const std::string& from, const Confirmed& m);
  void hear(const std::string& from, const Look& m);
  void hear(const std::string& from, const Prepared& m);
  void hear(const std::string& from, const Yield& m);
  void hear(const std::string& from, const Yielded& m);
  void hear(const std::string& from, const Propose& m);
  void hear(const std::string& from, const AbortWanted& m);
  void hear(const std::string& from, const Pull& m);
  void hear(const std::string& from, const Pulled& m);
  void hear(const std::string& from, const Whole& m);

  void run_due();
  void moved(Index before);
  void answer_calls();
  void ask();
  void pull();
  void tell_decision();
  template <typename Does>
  void lead(Does&& does);
  void send(const std::string& to, Message message);
  [[nodiscard]] std::string whom_to_ask();
  [[nodiscard]] bool eager() const;
  void log(std::string line) { effects_.emplace_back(Log{std::move(line)}); }

  Settings settings_;
  Time now_;
  Register register_;
  Lease lease_;
  std::optional<Steward> steward_;
  std::string leader_;  // empty: not known
  bool voter_ = false;
  Index newest_ = 0;  // the log is known to have come this far
  std::map<std::string, bool> members_;
  std::deque<std::pair<Index, Entry>> recent_;  // for those who pull
  Index recent_from_ = 0;                       // all entries behind it are there
  Index checked_ = 0;                           // the change that `unfit_` is about
  std::optional<std::string> unfit_;
  std::map<std::uint64_t, Call> calls_;
  Time next_ask_, next_pull_, next_call_{0};
  std::uint64_t pull_turn_, ask_turn_ = 0, unheard_ = 0;
  std::optional<Epoch> told_;
  bool ever_told_ = false;
  bool broken_ = false;  // it decides without a lease
  Counts counts_;
  std::deque<Heard> to_self_;
  std::vector<Effect> effects_;
};

}  // namespace dahliahall::agreed
