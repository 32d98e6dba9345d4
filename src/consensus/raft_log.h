// SPDX-License-Identifier: MIT
/// @file
/// The replicated log at one proxy, on libraft: time, random numbers, disk and messages are handed in, so it
/// runs in the program and in virtual time alike. At one that is no voter it keeps what was learnt, and raft
/// does not run.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "consensus/codec.h"
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
    unsigned snapshot_threshold_entries = 1024;  ///< entries
    unsigned trailing_entries = 128;  ///< entries kept behind a snapshot, for those a little behind
    std::uint64_t seed = 1;
  };
  /// What came of a call.
  struct Output {
    std::vector<std::pair<std::string, std::string>> messages;  ///< to that member, these bytes
    std::vector<Input> inputs;                                  ///< for the reducer, in order
    std::vector<std::string> log_lines;
  };

  RaftLog(Settings settings, storage::Journal& journal, Time now);
  ~RaftLog();
  RaftLog(const RaftLog&) = delete;
  RaftLog& operator=(const RaftLog&) = delete;

  /// Reads what the disk has and begins. False: nothing may be told from here (why() says what is wrong); the
  /// proxy takes no part in the log.
  bool open(Output& out);
  void tick(Time now, Output& out);
  void on_message(Time now, const RaftMessage& message, Output& out);
  void on_message(Time now, const std::string& from, const BootstrapMessage& message, Output& out);
  /// At the leader; elsewhere it is lost.
  void append(Time now, const Entry& entry, Output& out);
  /// To the disk of one that is no voter.
  void persist_learned(Time now, const PersistLearned& what, Output& out);
  /// Whether its vote went to no later term; never true where it has no vote, or its disk has failed.
  [[nodiscard]] bool can_confirm_leadership(Term term) const;

  /// Takes the place of another as a voter, or is added, or goes: at the leader. One change at a time; what
  /// it came to is logged. `id`: of the new one, as its /v1/policy tells.
  bool add_voter(const std::string& name, std::uint64_t id, Output& out);
  bool remove_voter(const std::string& name, Output& out);

  [[nodiscard]] std::uint64_t id() const { return id_; }
  [[nodiscard]] bool is_running() const;
  [[nodiscard]] bool is_leader() const;
  [[nodiscard]] Term term() const;
  /// Names of the voters and their ids.
  [[nodiscard]] std::map<std::string, std::uint64_t> voters() const;
  [[nodiscard]] const std::string& error() const { return error_; }
  [[nodiscard]] std::size_t entries() const { return entries_.size(); }

 private:
  struct Raft;
  friend struct Raft;
  class Call;
  struct StoredEntry {
    std::uint64_t term = 0;
    unsigned type = 0;
    std::string data;
  };

  static std::string record_of(Index index, const StoredEntry& entry);
  bool read_records(const std::vector<std::string>& records);
  bool write(const std::vector<std::string>& records);
  bool compact();
  bool on_write_finished(bool done);
  int initialize_raft();
  bool start(Output& out);
  void run_deferred_callbacks();
  void close();
  [[nodiscard]] std::set<std::string> voter_names() const;
  bool bootstrap(const pb::BootstrapMessage& born, Output& out);
  void send_bootstrap_requests(Output& out);
  void report_progress(Output& out);
  void report_role(Output& out);
  void advance_voter_change(Output& out);
  [[nodiscard]] std::vector<std::string> all_records() const;

  Settings settings_;
  storage::Journal& journal_;
  Time now_;
  std::mt19937_64 random_;
  std::string error_;

  // As on the disk.
  std::uint64_t disk_id_ = 0, term_ = 0, vote_ = 0;
  std::uint64_t first_index_ = 1;  // of entries_
  std::deque<StoredEntry> entries_;
  std::string snapshot_;  // a pb::RaftSnapshot; empty: none
  std::optional<Snapshot> learned_;
  std::uint64_t id_ = 0;

  PolicyStateMachine register_;  // what raft has applied: for snapshots
  Index reported_index_ = 0;
  std::unique_ptr<Raft> raft_;
  std::deque<std::function<void()>> deferred_callbacks_;  // raft's own callbacks
  Output* output_ = nullptr;                              // of the call that runs
  std::map<std::string, std::uint64_t>
      voters_without_log_;  // first voters that said that they have no log either, with their ids
  Time next_bootstrap_request_{0}, last_tick_{0};
  bool was_leader_ = false;
  Term reported_leader_term_ = 0;
  std::string leader_;
  bool role_reported_ = false;
  struct VoterChange {  // voters to be added or removed, one step after the other
    std::uint64_t id = 0;
    std::string address;
    bool is_removal = false;
    bool in_progress = false;
  };
  std::deque<VoterChange> voter_changes_;
};

}  // namespace edge_proxy::consensus
