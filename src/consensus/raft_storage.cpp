// SPDX-License-Identifier: MIT
#include "consensus/raft_storage.h"

#include <algorithm>
#include <utility>

#include "consensus.pb.h"
#include "consensus/codec.h"

namespace edge_proxy::consensus {
namespace {

std::string entry_record(Index index, const RaftStorage::StoredEntry& entry) {
  pb::Record record;
  pb::StoredEntry& stored = *record.mutable_entry();
  stored.set_index(index);
  stored.mutable_entry()->set_term(entry.term);
  stored.mutable_entry()->set_type(entry.type);
  stored.mutable_entry()->set_data(entry.data);
  return record.SerializeAsString();
}

std::string disk_id_record(std::uint64_t disk_id) {
  pb::Record record;
  record.set_disk_id(disk_id);
  return record.SerializeAsString();
}

std::string term_record(Term term) {
  pb::Record record;
  record.set_term(term);
  return record.SerializeAsString();
}

std::string vote_record(std::uint64_t server_id) {
  pb::Record record;
  record.set_vote(server_id);
  return record.SerializeAsString();
}

std::string truncation_record(Index from) {
  pb::Record record;
  record.set_truncate_from(from);
  return record.SerializeAsString();
}

std::string snapshot_record(const std::string& snapshot) {
  pb::Record record;
  record.mutable_snapshot()->ParseFromString(snapshot);
  return record.SerializeAsString();
}

std::string learned_record(const Snapshot& learned) {
  pb::Record record;
  consensus::write_snapshot(learned, *record.mutable_learned());
  return record.SerializeAsString();
}

}  // namespace

RaftStorage::RaftStorage(storage::Journal& journal, FailureHandler on_failure)
    : journal_(journal), on_failure_(std::move(on_failure)) {}

// ---- Reading ----

bool RaftStorage::open(std::mt19937_64& random) {
  std::vector<std::string> records;
  if (!check(journal_.open(records))) return false;
  for (const std::string& bytes : records) {
    pb::Record record;
    if (record.ParseFromString(bytes) && replay(record)) continue;
    on_failure_(Failure::inconsistent_records, "the journal holds inconsistent or unreadable records");
    return false;
  }
  if (disk_id_ != 0) return true;
  disk_id_ = random() | 1U;
  return write({disk_id_record(disk_id_)});
}

bool RaftStorage::replay(const pb::Record& record) {
  switch (record.kind_case()) {
    case pb::Record::kDiskId:
      disk_id_ = record.disk_id();
      return true;
    case pb::Record::kTerm:
      term_ = record.term();
      vote_ = 0;
      return true;
    case pb::Record::kVote:
      vote_ = record.vote();
      return true;
    case pb::Record::kEntry:
      return replay_entry(record.entry());
    case pb::Record::kTruncateFrom:
      return replay_truncation(record.truncate_from());
    case pb::Record::kSnapshot:
      snapshot_ = record.snapshot().SerializeAsString();
      first_index_ = record.snapshot().index() + 1;
      entries_.clear();
      return true;
    case pb::Record::kLearned:
      learned_ = read_snapshot(record.learned());
      return learned_.has_value();
    case pb::Record::KIND_NOT_SET:
      break;
  }
  return false;
}

bool RaftStorage::replay_entry(const pb::StoredEntry& stored) {
  if (entries_.empty() && snapshot_.empty() && stored.index() != 1) return false;
  if (entries_.empty()) first_index_ = stored.index();
  if (stored.index() != first_index_ + entries_.size()) return false;
  entries_.push_back({stored.entry().term(), stored.entry().type(), stored.entry().data()});
  return true;
}

bool RaftStorage::replay_truncation(Index from) {
  if (from < first_index_) return false;
  remove_entries_from(from);
  return true;
}

std::optional<pb::RaftSnapshot> RaftStorage::snapshot() const {
  pb::RaftSnapshot snapshot;
  if (snapshot_.empty() || !snapshot.ParseFromString(snapshot_)) return std::nullopt;
  return snapshot;
}

// ---- Writing ----

bool RaftStorage::set_term(Term term) {
  term_ = term;
  vote_ = 0;
  return write({term_record(term)});
}

bool RaftStorage::set_vote(std::uint64_t server_id) {
  vote_ = server_id;
  return write({vote_record(server_id)});
}

bool RaftStorage::bootstrap(StoredEntry first) {
  term_ = first.term;
  entries_.push_back(std::move(first));
  return write({term_record(term_), entry_record(1, entries_.back())});
}

bool RaftStorage::append(std::span<StoredEntry> entries) {
  std::vector<std::string> records;
  for (StoredEntry& entry : entries) {
    entries_.push_back(std::move(entry));
    records.push_back(entry_record(first_index_ + entries_.size() - 1, entries_.back()));
  }
  return write(records);
}

bool RaftStorage::truncate(Index from) {
  remove_entries_from(from);
  return write({truncation_record(from)});
}

bool RaftStorage::store_snapshot(const pb::RaftSnapshot& snapshot, unsigned trailing_entries) {
  snapshot_ = snapshot.SerializeAsString();
  if (trailing_entries == 0) {
    entries_.clear();
    first_index_ = snapshot.index() + 1;
  }
  while (!entries_.empty() && first_index_ + trailing_entries <= snapshot.index()) {
    entries_.pop_front();
    ++first_index_;
  }
  return compact();
}

bool RaftStorage::store_learned(Snapshot learned) {
  learned_ = std::move(learned);
  return compact();
}

void RaftStorage::remove_entries_from(Index from) {
  entries_.resize(std::min<std::size_t>(entries_.size(), from - first_index_));
}

bool RaftStorage::compact() { return check(journal_.replace(all_records())); }

bool RaftStorage::write(const std::vector<std::string>& records) { return check(journal_.append(records)); }

bool RaftStorage::check(bool succeeded) {
  if (!succeeded) on_failure_(Failure::io, journal_.error());
  return succeeded;
}

std::vector<std::string> RaftStorage::all_records() const {
  std::vector<std::string> records{disk_id_record(disk_id_)};
  if (term_ != 0) records.push_back(term_record(term_));
  if (vote_ != 0) records.push_back(vote_record(vote_));
  if (!snapshot_.empty()) records.push_back(snapshot_record(snapshot_));
  for (std::size_t offset = 0; offset < entries_.size(); ++offset)
    records.push_back(entry_record(first_index_ + offset, entries_[offset]));
  if (learned_) records.push_back(learned_record(*learned_));
  return records;
}

}  // namespace edge_proxy::consensus
