// SPDX-License-Identifier: MIT
/// @file
/// The replicated log at one proxy, on libraft: time, random numbers, disk and messages are handed in, so it
/// runs in the program and in virtual time alike. At a proxy that is no voter it stores what was learned from
/// others, and Raft does not run.
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
    std::vector<std::string> initial_voters;  ///< names of the voters that begin the log
    Time lease{5'000'000};                    ///< goes with each message: see decode()
    unsigned heartbeat_ms = 100;
    unsigned election_ms = 1000;
    unsigned snapshot_threshold_entries = 1024;  ///< a snapshot is taken each time so many are applied
    unsigned trailing_entries = 128;  ///< entries kept behind a snapshot, for followers a little behind
    std::uint64_t seed = 1;
  };
  using Output = RaftLogOutput;

  RaftLog(Settings settings, storage::Journal& journal, Time now);
  ~RaftLog();
  RaftLog(const RaftLog&) = delete;
  RaftLog& operator=(const RaftLog&) = delete;

  /// Reads what is on the disk and starts. False: error() says what is wrong; the proxy takes no part in the
  /// log.
  bool open(Output& output);
  /// To be called at least each half of a heartbeat interval.
  void tick(Time now, Output& output);
  void on_message(Time now, const RaftMessage& message, Output& output);
  void on_message(Time now, const std::string& from, const BootstrapMessage& message, Output& output);
  /// At the leader; elsewhere the entry is lost.
  void append(Time now, const Entry& entry, Output& output);
  /// To the disk of a proxy that is no voter.
  void persist_learned(Time now, const PersistLearned& learned, Output& output);
  /// Whether it has voted for no later term; never true where it has no vote, or its disk has failed.
  [[nodiscard]] bool can_confirm_leadership(Term term) const;

  /// At the leader, one change at a time: a voter is added, in place of one of the same name if there is one,
  /// or removed. The result is logged. `id`: of the new one, as its /v1/policy shows. False: not begun.
  bool add_voter(const std::string& name, std::uint64_t id, Output& output);
  bool remove_voter(const std::string& name, Output& output);

  [[nodiscard]] std::uint64_t id() const;
  [[nodiscard]] bool is_running() const;
  [[nodiscard]] bool is_leader() const;
  [[nodiscard]] Term term() const;
  /// Names of the voters and their ids.
  [[nodiscard]] std::map<std::string, std::uint64_t> voters() const;
  /// Empty: nothing has failed.
  [[nodiscard]] const std::string& error() const;
  /// Raft's entries on the disk, without those that a snapshot has replaced.
  [[nodiscard]] std::size_t entry_count() const;

 private:
  class Call;
  struct Components;
  struct Barrier;

  // Start.
  int initialize_node();
  bool start();
  void close();
  bool bootstrap_log(const pb::BootstrapMessage& message);
  void poll_bootstrap();
  [[nodiscard]] pb::BootstrapMessage bootstrap_reply() const;

  // What a call has led to.
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
