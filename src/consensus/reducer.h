// SPDX-License-Identifier: MIT
/// @file
/// Agreement on the policy, at one proxy: (state, now, input) -> effects. The log itself is elsewhere
/// (agreed/raft_log at voters; the others pull); here is what it comes to, who may decide under which epoch,
/// and what operators are told. docs/consensus.md says how and why. No I/O, no clock.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "consensus/epoch_lease.h"
#include "consensus/lease_manager.h"
#include "consensus/policy_state_machine.h"
#include "consensus/settings.h"

namespace edge_proxy::consensus {

// ---- Inputs ----

struct MessageReceived {
  std::string from;
  Message message;
};
struct TimerExpired {};
/// Committed, and on this proxy's disk. No entry: the log has come that far without one of this kind.
struct EntryApplied {
  Index index = 0;
  std::optional<Entry> entry;
};
/// As it was on the disk, or of one that was too far ahead for single entries.
struct SnapshotRestored {
  Snapshot whole;
};
/// This proxy leads the log, and has applied all that was committed before.
struct BecameLeader {
  Term term = 0;
  std::set<std::string> voters;
};
/// It does not. `leader`: empty where none is known.
struct BecameFollower {
  std::string leader;
  bool is_voter = false;  ///< the log gives it its entries
};
/// The voters have changed, while this proxy leads.
struct VotersChanged {
  std::set<std::string> names;
};
/// The registered members, and whether each is reached.
struct MembersChanged {
  std::map<std::string, bool> reachable;
};
/// Operators' calls.
struct ProposeCall {
  std::uint64_t call = 0;
  std::string key;
  Epoch base_epoch = 0;
  std::string policy;
};
struct AbortCall {
  std::uint64_t call = 0;
};
using Input = std::variant<MessageReceived, TimerExpired, EntryApplied, SnapshotRestored, BecameLeader,
                           BecameFollower, VotersChanged, MembersChanged, ProposeCall, AbortCall>;

// ---- Effects ----

/// To the log, at its leader. It may be lost with the leadership.
struct AppendEntry {
  Entry entry;
};
/// To this proxy's own log, where it is a voter's: answer `from` unless a vote went to a later term.
struct CheckTerm {
  std::string from;
  LeadershipCheck check;
};
/// To this proxy's disk, where it is no voter: Applied or Restored follow once it is durable.
struct PersistLearned {
  std::variant<CatchUpResponse, Snapshot> learned;
};
/// From now on requests are decided under this epoch and policy; none: they are refused.
struct EpochChanged {
  std::optional<Epoch> epoch;
  std::string policy;
};
/// The final answer to an operator's call: an HTTP status and a body.
struct AdminReply {
  std::uint64_t call = 0;
  int status = 503;
  std::string body;
};
struct LogLine {
  std::string line;
};
using Effect =
    std::variant<SendMessage, AppendEntry, CheckTerm, PersistLearned, EpochChanged, AdminReply, LogLine>;

struct Counters {
  std::uint64_t lease_requests = 0, lease_grants = 0, lease_expiries = 0, lost_leases = 0, epoch_changes = 0,
                aborts = 0;
};

class State {
 public:
  /// `first`: as Lease says. `seed`: whom to pull from.
  State(Settings settings, std::uint64_t first, std::uint64_t seed, Time now);

  std::vector<Effect> handle(Time now, const Input& input);
  /// When Due is wanted; the newest counts.
  [[nodiscard]] Time next_due() const;

  /// What it may decide under at that time; none: refuse.
  [[nodiscard]] std::optional<Epoch> decision_epoch(Time now) const;
  [[nodiscard]] const PolicyStateMachine& policy_state() const { return state_machine_; }
  [[nodiscard]] const EpochLease& lease() const { return lease_; }
  [[nodiscard]] const std::optional<LeaseManager>& lease_manager() const { return lease_manager_; }
  [[nodiscard]] const std::string& leader() const { return leader_; }
  [[nodiscard]] const Counters& counters() const { return counters_; }
  [[nodiscard]] const std::map<std::string, bool>& members() const { return members_; }
  [[nodiscard]] const Settings& settings() const { return settings_; }
  /// As Steward::print says.
  [[nodiscard]] std::string debug_state(const std::map<std::string, std::uint64_t>& newest) const;

 private:
  struct PendingCall {
    std::string key;
    Epoch base_epoch = 0;
    std::string policy;
    Time deadline{0};
  };

  void on(const MessageReceived& in);
  void on(const TimerExpired&) {}
  void on(const EntryApplied& in);
  void on(const SnapshotRestored& in);
  void on(const BecameLeader& in);
  void on(const BecameFollower& in);
  void on(const VotersChanged& in) {
    if (lease_manager_) lease_manager_->set_voters(in.names);
  }
  void on(const MembersChanged& in) { members_ = in.reachable; }
  void on(const ProposeCall& in);
  void on(const AbortCall& in);

  void on_message(const std::string& from, const LeaseRequest& message);
  void on_message(const std::string& from, const LeaseGrant& message);
  void on_message(const std::string& from, const LeadershipCheck& message) {
    effects_.emplace_back(CheckTerm{from, message});
  }
  void on_message(const std::string& from, const LeadershipCheckReply& message);
  void on_message(const std::string& from, const LogPosition& message);
  void on_message(const std::string& from, const PrepareReply& message);
  void on_message(const std::string& from, const LeaseRevocation& message);
  void on_message(const std::string& from, const LeaseRevocationAck& message);
  void on_message(const std::string& from, const ProposeRequest& message);
  void on_message(const std::string& from, const AbortRequest& message);
  void on_message(const std::string& from, const CatchUpRequest& message);
  void on_message(const std::string& from, const CatchUpResponse& message);
  void on_message(const std::string& from, const Snapshot& message);

  void run_timers();
  void on_log_advanced(Index before);
  void answer_finished_calls();
  void request_lease();
  void request_catch_up();
  void report_decision();
  template <typename LeaderStep>
  void with_lease_manager(LeaderStep&& step);
  void send(const std::string& to, Message message);
  [[nodiscard]] std::string next_catch_up_source();
  [[nodiscard]] bool is_urgent() const;
  void log(std::string line) { effects_.emplace_back(LogLine{std::move(line)}); }

  Settings settings_;
  Time now_;
  PolicyStateMachine state_machine_;
  EpochLease lease_;
  std::optional<LeaseManager> lease_manager_;
  std::string leader_;  // empty: not known
  bool is_voter_ = false;
  Index newest_index_ = 0;  // the log is known to have come this far
  std::map<std::string, bool> members_;
  std::deque<std::pair<Index, Entry>> recent_;  // for those who pull
  Index recent_from_ = 0;                       // all entries behind it are there
  Index checked_change_ = 0;                    // the change that `unfit_` is about
  std::optional<std::string> unsupported_reason_;
  std::map<std::uint64_t, PendingCall> pending_calls_;
  Time next_lease_request_, next_catch_up_, next_call_{0};
  std::uint64_t catch_up_turn_, lease_request_turn_ = 0, unheard_ = 0;
  std::optional<Epoch> reported_decision_;
  bool ever_told_ = false;
  bool lost_leases_ = false;  // it decides without a lease
  Counters counters_;
  std::deque<MessageReceived> self_messages_;
  std::vector<Effect> effects_;
};

}  // namespace edge_proxy::consensus
