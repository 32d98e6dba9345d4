// SPDX-License-Identifier: MIT
/// @file
/// The durable state of the replicated log at one proxy: Raft's term, vote, entries and snapshot, and the
/// state that a member without a vote has learned. A change is durable when its function returns true.
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
    inconsistent_records  ///< records of the journal contradict each other or cannot be decoded
  };
  using FailureHandler = std::function<void(Failure failure, const std::string& error)>;

  /// `on_failure` is called at each failed read or write. A failure is final: the journal rejects all later
  /// writes.
  RaftStorage(storage::Journal& journal, FailureHandler on_failure);

  /// Reads the journal. If the disk has no id yet, generates one with `random`. Returns false on a failure.
  [[nodiscard]] bool open(std::mt19937_64& random);

  // These functions return false if the change is not durable.
  bool set_term(Term term);
  bool set_vote(std::uint64_t server_id);
  /// Writes the first entry of an empty log, and its term.
  bool bootstrap(StoredEntry first);
  bool append(std::span<StoredEntry> entries);
  /// Removes the entry at `from` and all later entries. `from` is at least first_index().
  bool truncate(Index from);
  /// Replaces the entries up to the index of the snapshot, except for the last `trailing_entries` of them. 0
  /// means that the snapshot came from a leader; no entry is kept then.
  bool store_snapshot(const pb::RaftSnapshot& snapshot, unsigned trailing_entries);
  /// Stores the state that a member without a vote has learned.
  bool store_learned(Snapshot learned);

  /// The number of records of which one of two copies was damaged when the journal was opened.
  [[nodiscard]] std::size_t repaired_records() const { return journal_.repaired_record_count(); }
  /// Whether Raft has ever written here.
  [[nodiscard]] bool has_log() const { return term_ != 0 || !entries_.empty() || !snapshot_.empty(); }
  /// Generated once for each disk; never 0 after a successful open().
  [[nodiscard]] std::uint64_t disk_id() const { return disk_id_; }
  [[nodiscard]] Term term() const { return term_; }
  [[nodiscard]] std::uint64_t vote() const { return vote_; }
  /// The index of the first of entries(), or of the next entry if there is none.
  [[nodiscard]] Index first_index() const { return first_index_; }
  [[nodiscard]] const std::deque<StoredEntry>& entries() const { return entries_; }
  /// None if there is no snapshot.
  [[nodiscard]] std::optional<pb::RaftSnapshot> snapshot() const;
  [[nodiscard]] const std::optional<Snapshot>& learned() const { return learned_; }

 private:
  [[nodiscard]] bool replay(const pb::Record& record);
  [[nodiscard]] bool replay_entry(const pb::StoredEntry& stored);
  [[nodiscard]] bool replay_truncation(Index from);
  void remove_entries_from(Index from);
  /// Rewrites the journal so that it holds only the records of the current state.
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
  std::string snapshot_;  // an encoded pb::RaftSnapshot; empty if there is none
  std::optional<Snapshot> learned_;
};

}  // namespace edge_proxy::consensus
