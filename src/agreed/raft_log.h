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

#include "agreed/reducer.h"
#include "agreed/wire.h"
#include "storage/journal.h"

namespace dahliahall::agreed {

class RaftLog {
 public:
  struct Settings {
    std::string name;
    std::vector<std::string> first;  ///< names of the voters that begin the log
    Time lease{5'000'000};           ///< goes with each message: see decode()
    unsigned heartbeat_ms = 100;
    unsigned election_ms = 1000;
    unsigned snapshot_every = 1024;  ///< entries
    unsigned trailing = 128;         ///< entries kept behind a snapshot, for those a little behind
    std::uint64_t seed = 1;
  };
  /// What came of a call.
  struct Out {
    std::vector<std::pair<std::string, std::string>> send;  ///< to that member, these bytes
    std::vector<Input> inputs;                              ///< for the reducer, in order
    std::vector<std::string> log;
  };

  RaftLog(Settings settings, storage::Journal& journal, Time now);
  ~RaftLog();
  RaftLog(const RaftLog&) = delete;
  RaftLog& operator=(const RaftLog&) = delete;

  /// Reads what the disk has and begins. False: nothing may be told from here (why() says what is wrong); the
  /// proxy takes no part in the log.
  bool open(Out& out);
  void tick(Time now, Out& out);
  void heard(Time now, const ForLog& message, Out& out);
  void heard(Time now, const std::string& from, const ForBirth& message, Out& out);
  /// At the leader; elsewhere it is lost.
  void append(Time now, const Entry& entry, Out& out);
  /// To the disk of one that is no voter.
  void learn(Time now, const Learn& what, Out& out);
  /// Whether its vote went to no later term; never true where it has no vote, or its disk has failed.
  [[nodiscard]] bool confirms(Term term) const;

  /// Takes the place of another as a voter, or is added, or goes: at the leader. One change at a time; what
  /// it came to is logged. `id`: of the new one, as its /v1/policy tells.
  bool add_voter(const std::string& name, std::uint64_t id, Out& out);
  bool remove_voter(const std::string& name, Out& out);

  [[nodiscard]] std::uint64_t id() const { return id_; }
  [[nodiscard]] bool runs() const;
  [[nodiscard]] bool leads() const;
  [[nodiscard]] Term term() const;
  /// Names of the voters and their ids.
  [[nodiscard]] std::map<std::string, std::uint64_t> voters() const;
  [[nodiscard]] const std::string& why() const { return why_; }
  [[nodiscard]] std::size_t entries() const { return entries_.size(); }

 private:
  struct Raft;
  friend struct Raft;
  class Call;
  struct Kept {
    std::uint64_t term = 0;
    unsigned type = 0;
    std::string data;
  };

  static std::string record_of(Index index, const Kept& entry);
  bool read_records(const std::vector<std::string>& records);
  bool write(const std::vector<std::string>& records);
  bool compact();
  bool keeps(bool done);
  int prepare();
  bool begin(Out& out);
  void run_later();
  void close();
  [[nodiscard]] std::set<std::string> voter_names() const;
  bool bootstrap(const pb::Born& born, Out& out);
  void ask_birth(Out& out);
  void settle(Out& out);
  void watch_role(Out& out);
  void watch_change(Out& out);
  [[nodiscard]] std::vector<std::string> all_records() const;

  Settings settings_;
  storage::Journal& journal_;
  Time now_;
  std::mt19937_64 random_;
  std::string why_;

  // As on the disk.
  std::uint64_t mark_ = 0, term_ = 0, vote_ = 0;
  std::uint64_t first_index_ = 1;  // of entries_
  std::deque<Kept> entries_;
  std::string snapshot_;  // a pb::Snapshot; empty: none
  std::optional<Whole> learnt_;
  std::uint64_t id_ = 0;

  Register register_;  // what raft has applied: for snapshots
  Index told_ = 0;
  std::unique_ptr<Raft> raft_;
  std::deque<std::function<void()>> later_;  // raft's own callbacks
  Out* out_ = nullptr;                       // of the call that runs
  std::map<std::string, std::uint64_t>
      unborn_;  // first voters that said that they have no log either, with their ids
  Time next_birth_{0}, last_tick_{0};
  bool was_leader_ = false;
  Term led_term_ = 0;
  std::string leader_;
  bool role_told_ = false;
  struct Wanted {  // voters to be added or removed, one step after the other
    std::uint64_t id = 0;
    std::string address;
    bool remove = false;
    bool out = false;
  };
  std::deque<Wanted> wanted_;
};

}  // namespace dahliahall::agreed
