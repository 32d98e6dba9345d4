// SPDX-License-Identifier: MIT
/// @file
/// The durable state of the replicated log at one proxy: Raft's term, vote, entries and snapshot, and the
/// state that a member without a vote has learned. Each change is on the disk when its function returns.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "consensus/types.h"
#include "storage/journal.h"

namespace edge_proxy::consensus {

namespace pb {
class RaftSnapshot;
class Record;
class StoredEntry;
}  // namespace pb

class RaftStorage {
 public:
  struct StoredEntry {
    Term term = 0;
    unsigned type = 0;  ///< a raft_entry_type
    std::string data;
  };
  enum class Failure : std::uint8_t {
    io,                   ///< the journal could not be read or written
    inconsistent_records  ///< its records contradict each other or can't be read
  };
  using FailureHandler = std::function<void(Failure failure, const std::string& error)>;

  /// `on_failure` is called at each failed read or write. A failure is final: the journal refuses all that
  /// follows.
  RaftStorage(storage::Journal& journal, FailureHandler on_failure);

  /// Reads the journal, and draws the id of a new disk from `random`. False: it failed.
  [[nodiscard]] bool open(std::mt19937_64& random);

  // False, or an error: not on the disk.
  bool set_term(Term term);
  bool set_vote(std::uint64_t server_id);
  /// The first entry of a log without any, in term 1.
  bool bootstrap(StoredEntry first);
  bool append(std::span<StoredEntry> entries);
  /// Removes that entry and all behind it. `from` is at least first_index().
  bool truncate(Index from);
  /// Replaces the entries up to the snapshot's index, but for the last `trailing_entries` of them.
  /// 0: the snapshot came from a leader, and no entry is kept.
  bool store_snapshot(const pb::RaftSnapshot& snapshot, unsigned trailing_entries);
  /// The state that a member without a vote has come to.
  bool store_learned(Snapshot learned);

  /// Records of which one of two copies was damaged when the journal was opened.
  [[nodiscard]] std::size_t repaired_records() const { return journal_.repaired_record_count(); }
  /// Whether Raft has ever written here.
  [[nodiscard]] bool has_log() const { return term_ != 0 || !entries_.empty() || !snapshot_.empty(); }
  /// Drawn once for each disk, never 0 after open().
  [[nodiscard]] std::uint64_t disk_id() const { return disk_id_; }
  [[nodiscard]] Term term() const { return term_; }
  [[nodiscard]] std::uint64_t vote() const { return vote_; }
  /// Of the first of entries(), or of the next one where there is none.
  [[nodiscard]] Index first_index() const { return first_index_; }
  [[nodiscard]] const std::deque<StoredEntry>& entries() const { return entries_; }
  /// None: there is no snapshot.
  [[nodiscard]] std::optional<pb::RaftSnapshot> snapshot() const;
  [[nodiscard]] const std::optional<Snapshot>& learned() const { return learned_; }

 private:
  [[nodiscard]] bool replay(const pb::Record& record);
  [[nodiscard]] bool replay_entry(const pb::StoredEntry& stored);
  [[nodiscard]] bool replay_truncation(Index from);
  void remove_entries_from(Index from);
  /// Rewrites the journal with the records of the present state alone.
  bool compact();
  bool write(const std::vector<std::string>& records);
  bool check(bool succeeded);
  [[nodiscard]] std::vector<std::string> all_records() const;

  storage::Journal& journal_;
  FailureHandler on_failure_;
  std::uint64_t disk_id_ = 0;
  Term term_ = 0;
  std::uint64_t vote_ = 0;
  Index first_index_ = 1;
  std::deque<StoredEntry> entries_;
  std::string snapshot_;  // a pb::RaftSnapshot; empty: none
  std::optional<Snapshot> learned_;
};

}  // namespace edge_proxy::consensus
