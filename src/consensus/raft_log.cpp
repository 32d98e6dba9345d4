// SPDX-License-Identifier: MIT
#include "consensus/raft_log.h"

#include <algorithm>

#include "base/hash.h"
#include "consensus/raft_core.h"

namespace edge_proxy::consensus {
namespace {

constexpr Time kBirthEvery{300'000};

/// Of one name with one disk: another disk is another server.
std::uint64_t id_of(const std::string& name, std::uint64_t mark) {
  std::uint64_t hash = fnv1a(name) ^ mark * 0x9e3779b97f4a7c15U;
  hash ^= hash >> 29U;
  return (hash >> 1U) | 1U;  // never 0
}

}  // namespace

/// A call from outside: what raft does meanwhile goes into `out`, and is settled at the end.
class RaftLog::Call {
 public:
  Call(RaftLog& log, Output& out) : log_(log) { log_.output_ = &out; }
  ~Call() {
    log_.report_progress(*log_.output_);
    log_.output_ = nullptr;
  }
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

 private:
  RaftLog& log_;
};

// ---- Life ----

RaftLog::RaftLog(Settings settings, storage::Journal& journal, Time now)
    : settings_(std::move(settings)), journal_(journal), now_(now), random_(settings_.seed) {}

RaftLog::~RaftLog() { close(); }

void RaftLog::close() {
  if (!raft_) return;
  raft_close(&raft_->raft, nullptr);
  run_deferred_callbacks();
  raft_.reset();
}

/// What raft has put off, until nothing is left.
void RaftLog::run_deferred_callbacks() {
  while (!deferred_callbacks_.empty()) {
    const auto next = std::move(deferred_callbacks_.front());
    deferred_callbacks_.pop_front();
    next();
  }
}

bool RaftLog::read_records(const std::vector<std::string>& records) {
  for (const std::string& text : records) {
    pb::Record record;
    if (!record.ParseFromString(text)) return false;
    switch (record.kind_case()) {
      case pb::Record::kDiskId:
        disk_id_ = record.disk_id();
        break;
      case pb::Record::kTerm:
        term_ = record.term();
        vote_ = 0;
        break;
      case pb::Record::kVote:
        vote_ = record.vote();
        break;
      case pb::Record::kEntry: {
        const pb::StoredEntry& kept = record.entry();
        if (entries_.empty() && snapshot_.empty() && kept.index() != 1) return false;
        if (entries_.empty()) first_index_ = kept.index();
        if (kept.index() != first_index_ + entries_.size()) return false;
        entries_.push_back({kept.entry().term(), kept.entry().type(), kept.entry().data()});
        break;
      }
      case pb::Record::kTruncateFrom:
        if (record.truncate_from() < first_index_) return false;
        entries_.resize(std::min<std::size_t>(entries_.size(), record.truncate_from() - first_index_));
        break;
      case pb::Record::kSnapshot:
        snapshot_ = record.snapshot().SerializeAsString();
        first_index_ = record.snapshot().index() + 1;
        entries_.clear();
        break;
      case pb::Record::kLearned: {
        auto whole = read_snapshot(record.learned());
        if (!whole) return false;
        learned_ = std::move(*whole);
        break;
      }
      case pb::Record::KIND_NOT_SET:
        return false;
    }
  }
  return true;
}

/// Passes on whether the disk has it. Where it has not, that is for good, and told once.
bool RaftLog::on_write_finished(bool done) {
  if (done || !error_.empty()) return done;
  error_ = journal_.error();
  if (output_ != nullptr)
    output_->log_lines.push_back("policy storage failed: " + error_ +
                                 "; it takes no part in the log any more");
  return false;
}
bool RaftLog::write(const std::vector<std::string>& records) {
  return on_write_finished(journal_.append(records));
}
bool RaftLog::compact() { return on_write_finished(journal_.replace(all_records())); }

std::string RaftLog::record_of(Index index, const StoredEntry& entry) {
  pb::Record record;
  pb::StoredEntry& kept = *record.mutable_entry();
  kept.set_index(index);
  kept.mutable_entry()->set_term(entry.term);
  kept.mutable_entry()->set_type(entry.type);
  kept.mutable_entry()->set_data(entry.data);
  return record.SerializeAsString();
}

std::vector<std::string> RaftLog::all_records() const {
  std::vector<std::string> records;
  pb::Record record;
  record.set_disk_id(disk_id_);
  records.push_back(record.SerializeAsString());
  if (term_ != 0) {
    record.set_term(term_);
    records.push_back(record.SerializeAsString());
  }
  if (vote_ != 0) {
    record.set_vote(vote_);
    records.push_back(record.SerializeAsString());
  }
  if (!snapshot_.empty()) {
    record.mutable_snapshot()->ParseFromString(snapshot_);
    records.push_back(record.SerializeAsString());
  }
  for (std::size_t at = 0; at < entries_.size(); ++at) {
    records.push_back(record_of(first_index_ + at, entries_[at]));
  }
  if (learned_) {
    consensus::write_snapshot(*learned_, *record.mutable_learned());
    records.push_back(record.SerializeAsString());
  }
  return records;
}

bool RaftLog::open(Output& out) {
  const Call call(*this, out);
  std::vector<std::string> records;
  if (!on_write_finished(journal_.open(records))) return false;
  if (!read_records(records)) {
    error_ = "its records do not go together";
    out.log_lines.push_back("policy storage failed: " + error_ + "; it takes no part in the log");
    return false;
  }
  if (journal_.was_repaired() > 0)
    out.log_lines.push_back("policy storage mended records=" + std::to_string(journal_.was_repaired()) +
                            ": one of two copies was damaged");
  if (disk_id_ == 0) {
    disk_id_ = random_() | 1U;
    pb::Record record;
    record.set_disk_id(disk_id_);
    if (!write({record.SerializeAsString()})) return false;
  }
  id_ = id_of(settings_.name, disk_id_);
  if (learned_) {
    register_ = PolicyStateMachine(*learned_);
    reported_index_ = learned_->index;
    out.inputs.emplace_back(SnapshotRestored{*learned_});
  }
  const bool has_log = term_ != 0 || !entries_.empty() || !snapshot_.empty();
  return !has_log || start(out);
}

int RaftLog::initialize_raft() {
  raft_ = std::make_unique<Raft>(*this);
  return raft_init(&raft_->raft, &raft_->io, &raft_->fsm, id_, address_of(settings_.name, id_).c_str());
}

bool RaftLog::start(Output& out) {
  int status = initialize_raft();
  struct raft& r = raft_->raft;
  if (status == 0) {
    raft_set_pre_vote(&r, true);
    raft_set_election_timeout(&r, settings_.election_ms);
    raft_set_heartbeat_timeout(&r, settings_.heartbeat_ms);
    raft_set_snapshot_threshold(&r, settings_.snapshot_threshold_entries);
    raft_set_snapshot_trailing(&r, settings_.trailing_entries);
    status = raft_start(&r);
  }
  if (status == 0) return true;
  if (error_.empty()) error_ = std::string("raft: ") + raft_strerror(status) + " " + raft_errmsg(&r);
  out.log_lines.push_back("policy log can't begin: " + error_);
  return false;
}

bool RaftLog::is_running() const { return raft_ != nullptr && error_.empty(); }
bool RaftLog::is_leader() const { return is_running() && raft_state(&raft_->raft) == RAFT_LEADER; }
Term RaftLog::term() const { return raft_ ? raft_->raft.current_term : term_; }

std::map<std::string, std::uint64_t> RaftLog::voters() const {
  std::map<std::string, std::uint64_t> all;
  if (!raft_) return all;
  const raft_configuration& c = raft_->raft.configuration;
  for (unsigned i = 0; i < c.n; ++i) {
    if (c.servers[i].role == RAFT_VOTER) all[name_in_address(c.servers[i].address)] = c.servers[i].id;
  }
  return all;
}

std::set<std::string> RaftLog::voter_names() const {
  std::set<std::string> names;
  for (const auto& [name, id] : voters()) names.insert(name);
  return names;
}

bool RaftLog::can_confirm_leadership(Term term) const {
  if (!is_running()) return false;
  const auto all = voters();
  const auto found = all.find(settings_.name);
  return found != all.end() && found->second == id_ && raft_->raft.current_term <= term;
}

// ---- The beginning of the log ----

/// The first voters begin it together, and only where none of them has one: guards against one that lost its
/// disk, which would begin again and vote twice in a term.
void RaftLog::send_bootstrap_requests(Output& out) {
  if (raft_ || !error_.empty() || now_ < next_bootstrap_request_) return;
  const auto& first = settings_.initial_voters;
  if (std::find(first.begin(), first.end(), settings_.name) == first.end()) return;
  next_bootstrap_request_ = now_ + kBirthEvery;
  pb::BootstrapMessage born;
  born.set_is_request(true);
  born.set_id(id_);
  for (const std::string& name : first) {
    if (name != settings_.name) out.messages.emplace_back(name, encode(born, settings_.lease));
  }
  voters_without_log_[settings_.name] = id_;
  if (voters_without_log_.size() < first.size()) return;
  pb::BootstrapMessage all;
  for (const auto& [name, id] : voters_without_log_) {
    pb::Server& server = *all.add_initial_servers();
    server.set_id(id);
    server.set_address(address_of(name, id));
    server.set_role(RAFT_VOTER);
  }
  bootstrap(all, out);
}

bool RaftLog::bootstrap(const pb::BootstrapMessage& born, Output& out) {
  const auto mine = [this](const pb::Server& s) { return s.id() == id_; };
  if (std::none_of(born.initial_servers().begin(), born.initial_servers().end(), mine)) return false;
  raft_configuration first{};
  if (!read_servers(born.initial_servers(), first)) return false;
  int status = initialize_raft();
  if (status == 0) status = raft_bootstrap(&raft_->raft, &first);
  raft_configuration_close(&first);
  close();
  if (status != 0) return false;
  out.log_lines.push_back("policy log begins voters=" + std::to_string(born.initial_servers_size()));
  return start(out);
}

void RaftLog::on_message(Time now, const std::string& from, const BootstrapMessage& message, Output& out) {
  now_ = std::max(now_, now);
  pb::BootstrapMessage born;
  if (!born.ParseFromString(message.bytes)) return;
  const Call call(*this, out);
  const auto& first = settings_.initial_voters;
  if (born.is_request()) {
    pb::BootstrapMessage answer;
    answer.set_id(id_);
    answer.set_has_log(raft_ != nullptr || !error_.empty());
    // The list with which it began, where that is still its first entry: one of that list whose disk has not
    // been lost begins with it too.
    if (raft_ && first_index_ == 1 && !entries_.empty()) {
      raft_configuration& c = raft_->raft.configuration;
      if (raft_->raft.configuration_index <= 1) write_servers(c, *answer.mutable_initial_servers());
    }
    out.messages.emplace_back(from, encode(answer, settings_.lease));
  } else if (!raft_ && std::find(first.begin(), first.end(), from) != first.end()) {
    if (!born.has_log()) {
      voters_without_log_[from] = born.id();
    } else if (!bootstrap(born, out)) {
      voters_without_log_.erase(from);
    }
  }
}

// ---- Calls ----

void RaftLog::tick(Time now, Output& out) {
  now_ = std::max(now_, now);
  const Call call(*this, out);
  send_bootstrap_requests(out);
  if (is_running() && now_ - last_tick_ >= std::chrono::milliseconds(settings_.heartbeat_ms) / 2) {
    last_tick_ = now_;
    raft_->tick_callback(&raft_->io);
  }
}

void RaftLog::on_message(Time now, const RaftMessage& message, Output& out) {
  now_ = std::max(now_, now);
  pb::RaftMessage from;
  if (!error_.empty() || !from.ParseFromString(message.bytes)) return;
  // Guards against what is meant for one that had this name with another disk: its votes are not this one's.
  if (from.to() != id_) return;
  const Call call(*this, out);
  // A leader has added it: it takes the log from there.
  if (!raft_ && from.has_append_entries()) start(out);
  if (is_running()) raft_->receive(from);
}

void RaftLog::append(Time now, const Entry& entry, Output& out) {
  now_ = std::max(now_, now);
  if (!is_leader()) return;
  const Call call(*this, out);
  using Apply = struct raft_apply;
  auto* request = new Apply{};
  const raft_buffer buffer = buffer_of(encode(entry));
  const int status = raft_apply(&raft_->raft, request, &buffer, 1, [](Apply* r, int, void*) { delete r; });
  if (status != 0) {
    raft_free(buffer.base);
    delete request;
  }
}

void RaftLog::persist_learned(Time now, const PersistLearned& what, Output& out) {
  now_ = std::max(now_, now);
  if (raft_ || !error_.empty()) return;
  const Call call(*this, out);
  std::vector<Input> inputs;
  PolicyStateMachine next = register_;
  if (const auto* whole = std::get_if<Snapshot>(&what.learned)) {
    if (whole->index > next.index()) {
      next = PolicyStateMachine(*whole);
      inputs.emplace_back(SnapshotRestored{*whole});
    }
  } else if (const auto& pulled = std::get<CatchUpResponse>(what.learned);
             pulled.after_index == next.index()) {
    for (const auto& [index, entry] : pulled.entries) {
      next.apply(index, entry);
      inputs.emplace_back(EntryApplied{index, entry});
    }
    next.advance_to(pulled.up_to_index);
    inputs.emplace_back(EntryApplied{pulled.up_to_index, std::nullopt});
  }
  if (!inputs.empty()) {
    learned_ = next.snapshot();
    // All of it is one small record: written anew each time, the journal does not grow.
    if (!compact()) return;
    register_ = std::move(next);
    reported_index_ = register_.index();
    for (Input& input : inputs) out.inputs.push_back(std::move(input));
  }
}

/// What raft has put off, then what became of its role and of voters, and what that has put off.
void RaftLog::report_progress(Output& out) {
  run_deferred_callbacks();
  report_role(out);
  advance_voter_change(out);
  run_deferred_callbacks();
  if (raft_ && raft_->raft.last_applied > reported_index_) {
    reported_index_ = raft_->raft.last_applied;
    register_.advance_to(reported_index_);
    out.inputs.emplace_back(EntryApplied{reported_index_, std::nullopt});
  }
}

void RaftLog::report_role(Output& out) {
  if (!raft_) return;
  if (is_leader()) {
    if (!was_leader_ || reported_leader_term_ != term()) {
      was_leader_ = true;
      reported_leader_term_ = term();
      // Once this has been applied, so has all that was ever committed.
      struct Barrier {
        struct raft_barrier request {};
        RaftLog* log = nullptr;
        Term term = 0;
      };
      auto* barrier = new Barrier;
      barrier->request.data = barrier;
      barrier->log = this;
      barrier->term = reported_leader_term_;
      const int status =
          raft_barrier(&raft_->raft, &barrier->request, [](struct raft_barrier* r, int failed) {
            const std::unique_ptr<Barrier> mine(static_cast<Barrier*>(r->data));
            RaftLog& log = *mine->log;
            if (failed != 0 || !log.is_leader() || log.term() != mine->term || log.output_ == nullptr) return;
            log.reported_index_ = log.raft_->raft.last_applied;
            log.register_.advance_to(log.reported_index_);
            log.output_->inputs.emplace_back(EntryApplied{log.reported_index_, std::nullopt});
            log.output_->inputs.emplace_back(BecameLeader{mine->term, log.voter_names()});
            log.leader_ = log.settings_.name;
            log.role_reported_ = true;
          });
      if (status != 0) {
        delete barrier;
        was_leader_ = false;
      }
    }
    return;
  }
  raft_id id = 0;
  const char* address = nullptr;
  if (error_.empty()) raft_leader(&raft_->raft, &id, &address);
  const std::string leader = address == nullptr || id == 0 ? std::string() : name_in_address(address);
  if (role_reported_ && !was_leader_ && leader == leader_) return;
  was_leader_ = false;
  role_reported_ = true;
  leader_ = leader;
  voter_changes_.clear();
  out.inputs.emplace_back(BecameFollower{leader, error_.empty()});
}

// ---- Voters by hand ----

bool RaftLog::add_voter(const std::string& name, std::uint64_t id, Output& out) {
  if (!is_leader() || id == 0 || !voter_changes_.empty()) return false;
  const auto all = voters();
  if (const auto found = all.find(name); found != all.end()) {
    if (found->second == id) return true;
    // The one before has lost its disk, and its votes with it: it goes first.
    voter_changes_.push_back({found->second, address_of(name, found->second), true, false});
  }
  voter_changes_.push_back({id, address_of(name, id), false, false});
  const Call call(*this, out);
  return true;
}

bool RaftLog::remove_voter(const std::string& name, Output& out) {
  const auto all = voters();
  const auto found = all.find(name);
  if (!is_leader() || !voter_changes_.empty() || found == all.end() || all.size() < 2) return false;
  voter_changes_.push_back({found->second, address_of(name, found->second), true, false});
  const Call call(*this, out);
  return true;
}

/// One step at a time through the log: added without a vote, then given it once it has caught up; or removed.
void RaftLog::advance_voter_change(Output& out) {
  if (voter_changes_.empty() || !is_leader() || voter_changes_.front().in_progress) return;
  struct raft& r = raft_->raft;
  VoterChange& wanted = voter_changes_.front();
  const raft_configuration& c = r.configuration;
  const raft_server* found = nullptr;
  for (unsigned i = 0; i < c.n; ++i) {
    if (c.servers[i].id == wanted.id) found = &c.servers[i];
  }
  const bool done = wanted.is_removal ? found == nullptr : found != nullptr && found->role == RAFT_VOTER;
  if (done) {
    out.log_lines.push_back("policy voter " + std::string(wanted.is_removal ? "removed" : "added") + " " +
                            wanted.address);
    voter_changes_.pop_front();
    out.inputs.emplace_back(VotersChanged{voter_names()});
    advance_voter_change(out);
    return;
  }
  struct Turn {
    raft_change request{};
    RaftLog* log = nullptr;
  };
  auto* step = new Turn;
  step->request.data = step;
  step->log = this;
  const raft_change_cb over = [](raft_change* request, int status) {
    const std::unique_ptr<Turn> mine(static_cast<Turn*>(request->data));
    RaftLog& log = *mine->log;
    if (log.voter_changes_.empty()) return;
    log.voter_changes_.front().in_progress = false;
    if (status == 0) return;
    if (log.output_ != nullptr)
      log.output_->log_lines.push_back("policy voter " + log.voter_changes_.front().address +
                                       " not changed: " + raft_strerror(status));
    log.voter_changes_.clear();
  };
  wanted.in_progress = true;
  const int status = wanted.is_removal ? raft_remove(&r, &step->request, wanted.id, over)
                     : found == nullptr
                         ? raft_add(&r, &step->request, wanted.id, wanted.address.c_str(), over)
                         : raft_assign(&r, &step->request, wanted.id, RAFT_VOTER, over);
  if (status == 0) return;
  out.log_lines.push_back("policy voter " + wanted.address + " not changed: " + raft_strerror(status));
  delete step;
  voter_changes_.clear();
}

}  // namespace edge_proxy::consensus
