// SPDX-License-Identifier: MIT
/// @file
/// The reducer for consensus on the policy at one proxy: (state, now, input) -> effects. It holds the state
/// that results from the log, the epoch under which this proxy may decide, and the pending calls of
/// operators. The log itself is in consensus/raft_log at voters; other members catch up from any member.
/// docs/consensus.md explains the protocol. The reducer uses no I/O and no clock.
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
/// An entry has been committed and is on this proxy's disk. Without `entry`, the log has been applied up to
/// `index` and holds no policy entry there.
struct EntryApplied {
  Index index = 0;
  std::optional<Entry> entry;
};
/// The state was read from the disk, or replaced by a snapshot because this proxy was too far behind for
/// single entries.
struct SnapshotRestored {
  Snapshot snapshot;
};
/// This proxy has become the leader and has applied all entries that were committed before.
struct BecameLeader {
  Term term = 0;
  std::set<std::string> voters;
};
/// This proxy is not the leader. `leader` is empty if none is known.
struct BecameFollower {
  std::string leader;
  bool is_voter = false;  ///< this proxy receives its entries from its own Raft log
};
/// The voters have changed while this proxy is the leader.
struct VotersChanged {
  std::set<std::string> names;
};
/// The registered members, and whether each is reachable.
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

/// Appends an entry to the log at the leader. The entry may be lost if the leader changes.
struct AppendEntry {
  Entry entry;
};
/// Asks this proxy's own log to reply to `from` if this proxy is a voter and has not voted in a later term.
struct CheckTerm {
  std::string from;
  LeadershipCheck check;
};
/// Stores learned state on the disk of a proxy without a vote. EntryApplied or SnapshotRestored follows once
/// the state is durable.
struct PersistLearned {
  std::variant<CatchUpResponse, Snapshot> learned;
};
/// From now on requests are decided under this epoch and policy. Without an epoch they are rejected.
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
  std::uint64_t lease_requests = 0, lease_grants = 0, lease_expiries = 0, unleased_periods = 0,
                epoch_changes = 0, aborts = 0;
};

class State {
 public:
  /// `first_request` is passed to EpochLease. `seed` selects the member that is asked first when catching up.
  State(Settings settings, std::uint64_t first_request, std::uint64_t seed, Time now);

  std::vector<Effect> handle(Time now, const Input& input);
  /// When TimerExpired should be passed to handle() next. The value may change with each call of handle().
  [[nodiscard]] Time next_due() const;

  /// The epoch under which this proxy may decide at `now`. None: requests are rejected.
  [[nodiscard]] std::optional<Epoch> decision_epoch(Time now) const;
  [[nodiscard]] const PolicyStateMachine& policy_state() const { return state_machine_; }
  [[nodiscard]] const EpochLease& lease() const { return lease_; }
  [[nodiscard]] const std::optional<LeaseManager>& lease_manager() const { return lease_manager_; }
  [[nodiscard]] const std::string& leader() const { return leader_; }
  [[nodiscard]] const Counters& counters() const { return counters_; }
  [[nodiscard]] const std::map<std::string, bool>& members() const { return members_; }
  [[nodiscard]] const Settings& settings() const { return settings_; }
  /// Returns the whole state as text for the model checker: see LeaseManager::debug_state.
  [[nodiscard]] std::string debug_state(const std::map<std::string, std::uint64_t>& newest_requests) const;

 private:
  struct PendingCall {
    std::string key;
    Epoch base_epoch = 0;
    std::string policy;
    Time deadline{0};
  };

  void on_input(const MessageReceived& input);
  void on_input(const TimerExpired&) {}
  void on_input(const EntryApplied& input);
  void on_input(const SnapshotRestored& input);
  void on_input(const BecameLeader& input);
  void on_input(const BecameFollower& input);
  void on_input(const VotersChanged& input) {
    if (lease_manager_) lease_manager_->set_voters(input.names);
  }
  void on_input(const MembersChanged& input) { members_ = input.reachable; }
  void on_input(const ProposeCall& input);
  void on_input(const AbortCall& input);

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
  void check_proposed_change(const Change& change);
  void report_finished_change();
  void revoke_outlived_lease();
  [[nodiscard]] std::optional<std::string> check_policy(const std::string& policy) const;
  void retry_pending_calls();
  void answer_finished_calls();
  [[nodiscard]] std::optional<AdminReply> final_reply(std::uint64_t call, const PendingCall& pending) const;
  [[nodiscard]] std::optional<AdminReply> reject_proposal(const ProposeCall& input) const;
  [[nodiscard]] AdminReply request_abort(const AbortCall& input);
  void request_lease();
  void request_catch_up();
  void report_decision();
  void track_decisions_without_lease(const std::optional<Epoch>& epoch);
  template <typename LeaderStep>
  void with_lease_manager(LeaderStep&& step);
  void send(const std::string& to, Message message);
  /// Empty if neither is known.
  [[nodiscard]] std::string leader_or_next_voter();
  [[nodiscard]] bool is_urgent() const;
  void log(std::string line) { effects_.emplace_back(LogLine{std::move(line)}); }

  Settings settings_;
  Time now_;
  PolicyStateMachine state_machine_;
  EpochLease lease_;
  std::optional<LeaseManager> lease_manager_;
  std::string leader_;  // empty: unknown
  bool is_voter_ = false;
  Index newest_index_ = 0;  // the highest log index that any member is known to have applied
  std::map<std::string, bool> members_;
  std::deque<IndexedEntry> recent_entries_;        // for members that catch up
  Index recent_after_index_ = 0;                   // all entries after this index are in recent_entries_
  Index checked_change_ = 0;                       // the change that unsupported_reason_ refers to; 0: none
  std::optional<std::string> unsupported_reason_;  // none: this proxy can apply it
  std::map<std::uint64_t, PendingCall> pending_calls_;
  Time next_lease_request_, next_catch_up_, next_call_retry_{0};
  std::uint64_t catch_up_turn_, lease_request_turn_ = 0, unanswered_requests_ = 0;
  std::optional<Epoch> reported_decision_;
  bool has_reported_decision_ = false;
  bool deciding_without_lease_ = false;
  Counters counters_;
  std::deque<MessageReceived> self_messages_;
  std::vector<Effect> effects_;
};

}  // namespace edge_proxy::consensus
