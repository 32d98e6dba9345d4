// SPDX-License-Identifier: MIT
/// @file
/// The replicated log at one proxy, based on libraft. Time, random numbers, disk and messages are passed in,
/// so that it runs the same in the program and in virtual time. At a proxy without a vote, Raft does not run
/// and the log stores the state that was learned from other members.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "consensus/codec.h"
#include "consensus/raft_log_output.h"
#include "consensus/reducer.h"
#include "storage/journal.h"

namespace edge_proxy::consensus {

class RaftLog {
 public:
  struct Settings {
    std::string name;
    std::vector<std::string> initial_voters;  ///< names of the voters that the log starts with
    Time lease{5'000'000};                    ///< sent with each message: see decode()
    unsigned heartbeat_ms = 100;
    unsigned election_ms = 1000;
    unsigned snapshot_threshold_entries = 1024;  ///< a snapshot is taken after this many applied entries
    unsigned trailing_entries = 128;  ///< entries kept before a snapshot, for followers that lag a little
    std::uint64_t seed = 1;
  };
  using Output = RaftLogOutput;

  RaftLog(Settings settings, storage::Journal& journal, Time now);
  ~RaftLog();
  RaftLog(const RaftLog&) = delete;
  RaftLog& operator=(const RaftLog&) = delete;

  /// Reads the disk and starts Raft if there is a log. Returns false on a failure, which error() describes;
  /// the proxy does not participate in the log then.
  bool open(Output& output);
  /// Must be called at least twice per heartbeat interval.
  void tick(Time now, Output& output);
  void on_message(Time now, const RaftMessage& message, Output& output);
  void on_message(Time now, const std::string& from, const BootstrapMessage& message, Output& output);
  /// Appends an entry at the leader. At any other proxy the entry is dropped.
  void append(Time now, const Entry& entry, Output& output);
  /// Stores learned state on the disk of a proxy without a vote.
  void persist_learned(Time now, const PersistLearned& learned, Output& output);
  /// Whether this proxy is a voter that has not voted in a term later than `term`. Always false if it has no
  /// vote or its disk has failed.
  [[nodiscard]] bool can_confirm_leadership(Term term) const;

  /// Add or remove a voter at the leader, one change at a time. An added voter replaces one of the same name.
  /// `id` is the server id of the new voter, which its /v1/policy shows. The result is logged. Return false
  /// if the change was not started.
  bool add_voter(const std::string& name, std::uint64_t id, Output& output);
  bool remove_voter(const std::string& name, Output& output);

  [[nodiscard]] std::uint64_t id() const;
  [[nodiscard]] bool is_running() const;
  [[nodiscard]] bool is_leader() const;
  [[nodiscard]] Term term() const;
  /// Names of the voters and their server ids.
  [[nodiscard]] std::map<std::string, std::uint64_t> voters() const;
  /// The first failure; empty if there was none.
  [[nodiscard]] const std::string& error() const;
  /// The number of Raft entries on the disk, without those that a snapshot has replaced.
  [[nodiscard]] std::size_t entry_count() const;

 private:
  class Call;
  struct Components;
  struct Barrier;

  // Starting the log.
  int initialize_node();
  bool start();
  void close();
  bool bootstrap_log(const pb::BootstrapMessage& message);
  void poll_bootstrap();
  [[nodiscard]] pb::BootstrapMessage bootstrap_reply() const;

  // Reporting the results of a call.
  void report_progress();
  void report_applied();
  void report_role();
  void request_leader_barrier();
  void on_leader_barrier(Term term);
  void report_follower();

  void advance_clock(Time now);
  [[nodiscard]] std::set<std::string> voter_names() const;

  Settings settings_;
  std::unique_ptr<Components> components_;
  Time last_tick_{0};
  bool is_leader_reported_ = false;
  Term reported_leader_term_ = 0;
  std::string reported_leader_;
  bool role_reported_ = false;
};

}  // namespace edge_proxy::consensus
