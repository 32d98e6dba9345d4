// SPDX-License-Identifier: MIT
#include "consensus/raft_core.h"

#include <algorithm>
#include <cstring>

namespace edge_proxy::consensus {

raft_buffer buffer_of(const std::string& bytes) {
  raft_buffer buffer{};
  buffer.base = raft_malloc(std::max<std::size_t>(1, bytes.size()));
  buffer.len = bytes.size();
  if (buffer.base != nullptr) std::memcpy(buffer.base, bytes.data(), bytes.size());
  return buffer;
}
std::string text_of(const raft_buffer& buffer) { return {static_cast<const char*>(buffer.base), buffer.len}; }

std::string address_of(const std::string& name, std::uint64_t id) { return name + "#" + std::to_string(id); }
std::string name_in_address(const std::string& address) { return address.substr(0, address.rfind('#')); }

void write_servers(const raft_configuration& from, Servers& to) {
  for (unsigned i = 0; i < from.n; ++i) {
    pb::Server& server = *to.Add();
    server.set_id(from.servers[i].id);
    server.set_address(from.servers[i].address);
    server.set_role(static_cast<unsigned>(from.servers[i].role));
  }
}
bool read_servers(const Servers& from, raft_configuration& to) {
  raft_configuration_init(&to);
  for (const pb::Server& server : from) {
    if (raft_configuration_add(&to, server.id(), server.address().c_str(), static_cast<int>(server.role())) !=
        0) {
      raft_configuration_close(&to);
      return false;
    }
  }
  return true;
}

RaftLog::Raft::Raft(RaftLog& owner) : log(owner) {
  io.version = 2;
  io.impl = this;
  io.init = [](raft_io*, raft_id, const char*) { return 0; };
  io.close = [](raft_io* i, raft_io_close_cb done) {
    log_of(i).deferred_callbacks_.emplace_back([i, done] {
      if (done != nullptr) done(i);
    });
  };
  io.load = [](raft_io* i, raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* start,
               raft_entry** entries,
               std::size_t* count) { return self(i).load(term, vote, snapshot, start, entries, count); };
  io.start = [](raft_io* i, unsigned, raft_io_tick_cb on_tick, raft_io_recv_cb on_heard) {
    self(i).tick_callback = on_tick;
    self(i).receive_callback = on_heard;
    return 0;
  };
  io.bootstrap = [](raft_io* i, const raft_configuration* first) { return self(i).bootstrap(*first); };
  io.recover = [](raft_io*, const raft_configuration*) { return RAFT_INVALID; };
  io.set_term = [](raft_io* i, raft_term term) {
    pb::Record record;
    record.set_term(term);
    log_of(i).term_ = term;
    log_of(i).vote_ = 0;
    return log_of(i).write({record.SerializeAsString()}) ? 0 : RAFT_IOERR;
  };
  io.set_vote = [](raft_io* i, raft_id vote) {
    pb::Record record;
    record.set_vote(vote);
    log_of(i).vote_ = vote;
    return log_of(i).write({record.SerializeAsString()}) ? 0 : RAFT_IOERR;
  };
  io.send = [](raft_io* i, raft_io_send* request, const raft_message* message, raft_io_send_cb done) {
    self(i).send(*message);
    log_of(i).deferred_callbacks_.emplace_back([request, done] {
      if (done != nullptr) done(request, 0);
    });
    return 0;
  };
  io.append = [](raft_io* i, raft_io_append* request, const raft_entry* entries, unsigned count,
                 raft_io_append_cb done) {
    const int status = self(i).append(entries, count);
    if (status != 0) return status;
    log_of(i).deferred_callbacks_.emplace_back([request, done] { done(request, 0); });
    return 0;
  };
  io.truncate = [](raft_io* i, raft_index from) { return self(i).truncate(from); };
  io.snapshot_put = [](raft_io* i, unsigned trailing, raft_io_snapshot_put* request,
                       const raft_snapshot* snapshot, raft_io_snapshot_put_cb done) {
    const int status = self(i).store_snapshot(trailing, *snapshot);
    log_of(i).deferred_callbacks_.emplace_back([request, done, status] { done(request, status); });
    return 0;
  };
  io.snapshot_get = [](raft_io* i, raft_io_snapshot_get* request, raft_io_snapshot_get_cb done) {
    Raft* me = &self(i);
    log_of(i).deferred_callbacks_.emplace_back([me, request, done] {
      raft_snapshot* snapshot = me->make_snapshot();
      done(request, snapshot, snapshot == nullptr ? RAFT_NOTFOUND : 0);
    });
    return 0;
  };
  io.time = [](raft_io* i) { return static_cast<raft_time>(log_of(i).now_.count() / 1000); };
  io.random = [](raft_io* i, int least, int most) {
    return least +
           static_cast<int>(log_of(i).random_() % static_cast<std::uint64_t>(std::max(1, most - least)));
  };
  io.async_work = [](raft_io* i, raft_io_async_work* request, raft_io_async_work_cb done) {
    log_of(i).deferred_callbacks_.emplace_back([request, done] { done(request, request->work(request)); });
    return 0;
  };
  fsm.version = 1;
  fsm.data = this;
  fsm.apply = [](raft_fsm* f, const raft_buffer* buffer, void** result) {
    *result = nullptr;
    return static_cast<Raft*>(f->data)->apply(*buffer);
  };
  fsm.snapshot = [](raft_fsm* f, raft_buffer** buffers, unsigned* count) {
    pb::PolicySnapshot whole;
    consensus::write_snapshot(static_cast<Raft*>(f->data)->log.register_.snapshot(), whole);
    *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
    if (*buffers == nullptr) return RAFT_NOMEM;
    (*buffers)[0] = buffer_of(whole.SerializeAsString());
    *count = 1;
    return 0;
  };
  fsm.restore = [](raft_fsm* f, raft_buffer* buffer) {
    const int status = static_cast<Raft*>(f->data)->restore(text_of(*buffer));
    if (status == 0) raft_free(buffer->base);
    return status;
  };
}

int RaftLog::Raft::load(raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* start,
                        raft_entry** entries, std::size_t* count) {
  *term = log.term_;
  *vote = log.vote_;
  *snapshot = make_snapshot();
  *start = log.first_index_;
  *count = log.entries_.size();
  *entries = nullptr;
  if (*count == 0) return 0;
  *entries = static_cast<raft_entry*>(raft_calloc(*count, sizeof(raft_entry)));
  if (*entries == nullptr) return RAFT_NOMEM;
  for (std::size_t at = 0; at < *count; ++at) (*entries)[at] = entry_of(log.entries_[at]);
  return 0;
}
raft_entry RaftLog::Raft::entry_of(const StoredEntry& kept) {
  raft_entry entry{};
  entry.term = kept.term;
  entry.type = static_cast<unsigned short>(kept.type);
  entry.buf = buffer_of(kept.data);
  entry.batch = entry.buf.base;  // each is a batch of its own: freed alone
  return entry;
}

int RaftLog::Raft::bootstrap(const raft_configuration& first) {
  if (log.term_ != 0 || !log.entries_.empty() || !log.snapshot_.empty()) return RAFT_CANTBOOTSTRAP;
  raft_buffer encoded{};
  if (const int status = raft_configuration_encode(&first, &encoded)) return status;
  pb::Record term;
  term.set_term(1);
  log.term_ = 1;
  log.entries_.push_back({1, RAFT_CHANGE, text_of(encoded)});
  raft_free(encoded.base);
  return log.write({term.SerializeAsString(), record_of(1, log.entries_.back())}) ? 0 : RAFT_IOERR;
}

int RaftLog::Raft::append(const raft_entry* entries, unsigned count) {
  std::vector<std::string> records;
  for (unsigned at = 0; at < count; ++at) {
    log.entries_.push_back({entries[at].term, entries[at].type, text_of(entries[at].buf)});
    records.push_back(record_of(log.first_index_ + log.entries_.size() - 1, log.entries_.back()));
  }
  return log.write(records) ? 0 : RAFT_IOERR;
}
int RaftLog::Raft::truncate(raft_index from) {
  if (from < log.first_index_) return RAFT_INVALID;
  log.entries_.resize(std::min<std::size_t>(log.entries_.size(), from - log.first_index_));
  pb::Record record;
  record.set_truncate_from(from);
  return log.write({record.SerializeAsString()}) ? 0 : RAFT_IOERR;
}
int RaftLog::Raft::store_snapshot(unsigned trailing, const raft_snapshot& from) {
  pb::RaftSnapshot snapshot;
  snapshot.set_index(from.index);
  snapshot.set_term(from.term);
  write_servers(from.configuration, *snapshot.mutable_servers());
  snapshot.set_servers_index(from.configuration_index);
  std::string data;
  for (unsigned at = 0; at < from.n_bufs; ++at) data += text_of(from.bufs[at]);
  snapshot.set_data(data);
  log.snapshot_ = snapshot.SerializeAsString();
  if (trailing == 0) {
    log.entries_.clear();
    log.first_index_ = from.index + 1;
  } else {
    while (!log.entries_.empty() && log.first_index_ + trailing <= from.index) {
      log.entries_.pop_front();
      ++log.first_index_;
    }
  }
  return log.compact() ? 0 : RAFT_IOERR;
}
raft_snapshot* RaftLog::Raft::make_snapshot() const {
  pb::RaftSnapshot from;
  if (log.snapshot_.empty() || !from.ParseFromString(log.snapshot_)) return nullptr;
  auto* snapshot = static_cast<raft_snapshot*>(raft_calloc(1, sizeof(raft_snapshot)));
  if (snapshot == nullptr || !read_servers(from.servers(), snapshot->configuration)) {
    raft_free(snapshot);
    return nullptr;
  }
  snapshot->index = from.index();
  snapshot->term = from.term();
  snapshot->configuration_index = from.servers_index();
  snapshot->bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
  if (snapshot->bufs == nullptr) {
    raft_configuration_close(&snapshot->configuration);
    raft_free(snapshot);
    return nullptr;
  }
  snapshot->bufs[0] = buffer_of(from.data());
  snapshot->n_bufs = 1;
  return snapshot;
}

int RaftLog::Raft::apply(const raft_buffer& buffer) {
  const auto entry = decode_entry(text_of(buffer));
  const Index index = raft.last_applied + 1;
  // An entry that can't be read was written by another version: nothing is made of it anywhere.
  if (!entry) {
    log.register_.advance_to(index);
    return 0;
  }
  log.register_.apply(index, *entry);
  if (log.output_ != nullptr) log.output_->inputs.emplace_back(EntryApplied{index, *entry});
  log.reported_index_ = index;
  return 0;
}
int RaftLog::Raft::restore(const std::string& data) {
  pb::PolicySnapshot from;
  const auto whole = from.ParseFromString(data) ? consensus::read_snapshot(from) : std::nullopt;
  if (!whole) return RAFT_CORRUPT;
  log.register_ = PolicyStateMachine(*whole);
  log.reported_index_ = whole->index;
  if (log.output_ != nullptr) log.output_->inputs.emplace_back(SnapshotRestored{*whole});
  return 0;
}

void RaftLog::Raft::send(const raft_message& message) {
  pb::RaftMessage to;
  to.set_from(log.id_);
  to.set_to(message.server_id);
  to.set_address(address_of(log.settings_.name, log.id_));
  switch (message.type) {
    case RAFT_IO_REQUEST_VOTE: {
      const raft_request_vote& m = message.request_vote;
      pb::RequestVote& w = *to.mutable_request_vote();
      w.set_term(m.term), w.set_candidate(m.candidate_id), w.set_last_index(m.last_log_index);
      w.set_last_term(m.last_log_term), w.set_disrupt_leader(m.disrupt_leader), w.set_pre_vote(m.pre_vote);
      break;
    }
    case RAFT_IO_REQUEST_VOTE_RESULT: {
      const raft_request_vote_result& m = message.request_vote_result;
      pb::RequestVoteResult& w = *to.mutable_request_vote_result();
      w.set_term(m.term), w.set_granted(m.vote_granted), w.set_pre_vote(static_cast<unsigned>(m.pre_vote));
      // Guards against libraft 0.15: its no to a pre-vote tells the term that was asked for, not its own. One
      // with the longer log and the lower term then asks for the same term for ever, and nobody leads (found
      // by a drawn schedule).
      if (m.pre_vote == raft_tribool_true && !m.vote_granted) w.set_term(std::max(m.term, raft.current_term));
      break;
    }
    case RAFT_IO_APPEND_ENTRIES: {
      const raft_append_entries& m = message.append_entries;
      pb::AppendEntries& w = *to.mutable_append_entries();
      w.set_term(m.term), w.set_previous_index(m.prev_log_index), w.set_previous_term(m.prev_log_term);
      w.set_commit_index(m.leader_commit);
      for (unsigned at = 0; at < m.n_entries; ++at) {
        pb::LogEntry& entry = *w.add_entries();
        entry.set_term(m.entries[at].term), entry.set_type(m.entries[at].type);
        entry.set_data(text_of(m.entries[at].buf));
      }
      break;
    }
    case RAFT_IO_APPEND_ENTRIES_RESULT: {
      const raft_append_entries_result& m = message.append_entries_result;
      pb::AppendEntriesResult& w = *to.mutable_append_entries_result();
      // Guards against libraft 0.15: to a message without entries it answers with the end of its own log, of
      // which the leader may know nothing. Where an entry of a leader before stands there, the new one takes
      // its own entry of that number for replicated (found by a drawn schedule), and may commit what no
      // majority has.
      if (m.rejected != 0) append_rejected_ = true;
      const raft_index last =
          m.rejected != 0 ? m.last_log_index : std::min(m.last_log_index, verified_index(m.term));
      w.set_term(m.term), w.set_rejected_index(m.rejected), w.set_last_index(last);
      break;
    }
    case RAFT_IO_INSTALL_SNAPSHOT: {
      const raft_install_snapshot& m = message.install_snapshot;
      pb::InstallSnapshot& w = *to.mutable_install_snapshot();
      w.set_term(m.term), w.set_last_index(m.last_index), w.set_last_term(m.last_term);
      write_servers(m.conf, *w.mutable_servers());
      w.set_servers_index(m.conf_index), w.set_data(text_of(m.data));
      break;
    }
    case RAFT_IO_TIMEOUT_NOW: {
      const raft_timeout_now& m = message.timeout_now;
      pb::TimeoutNow& w = *to.mutable_timeout_now();
      w.set_term(m.term), w.set_last_index(m.last_log_index), w.set_last_term(m.last_log_term);
      break;
    }
    default:
      return;
  }
  if (log.output_ != nullptr)
    log.output_->messages.emplace_back(name_in_address(message.server_address),
                                       encode(to, log.settings_.lease));
}

void RaftLog::Raft::receive(const pb::RaftMessage& from) {
  raft_message message{};
  message.server_id = from.from();
  message.server_address = from.address().c_str();
  switch (from.kind_case()) {
    case pb::RaftMessage::kRequestVote: {
      const pb::RequestVote& w = from.request_vote();
      message.type = RAFT_IO_REQUEST_VOTE;
      message.request_vote = {w.term(),      w.candidate(),      w.last_index(),
                              w.last_term(), w.disrupt_leader(), w.pre_vote()};
      break;
    }
    case pb::RaftMessage::kRequestVoteResult: {
      const pb::RequestVoteResult& w = from.request_vote_result();
      if (w.pre_vote() > raft_tribool_false) return;
      message.type = RAFT_IO_REQUEST_VOTE_RESULT;
      message.request_vote_result = {w.term(), w.granted(), static_cast<raft_tribool>(w.pre_vote())};
      break;
    }
    case pb::RaftMessage::kAppendEntries: {
      const pb::AppendEntries& w = from.append_entries();
      const auto odd = [](const pb::LogEntry& e) {
        return e.type() < RAFT_COMMAND || e.type() > RAFT_CHANGE;
      };
      if (std::any_of(w.entries().begin(), w.entries().end(), odd)) return;
      message.type = RAFT_IO_APPEND_ENTRIES;
      raft_append_entries& m = message.append_entries;
      m.term = w.term(), m.prev_log_index = w.previous_index(), m.prev_log_term = w.previous_term();
      m.leader_commit = w.commit_index();
      m.n_entries = static_cast<unsigned>(w.entries_size());
      if (m.n_entries > 0) {
        m.entries = static_cast<raft_entry*>(raft_calloc(m.n_entries, sizeof(raft_entry)));
        // All of one message in one block: raft frees them together, those that it had already among them.
        std::size_t size = 1, place = 0;
        for (const pb::LogEntry& e : w.entries()) size += e.data().size();
        auto* block = static_cast<char*>(raft_malloc(size));
        if (m.entries == nullptr || block == nullptr) {
          raft_free(m.entries);
          raft_free(block);
          return;
        }
        for (unsigned at = 0; at < m.n_entries; ++at) {
          const pb::LogEntry& e = w.entries(static_cast<int>(at));
          m.entries[at].term = e.term();
          m.entries[at].type = static_cast<unsigned short>(e.type());
          m.entries[at].buf = {block + place, e.data().size()};
          m.entries[at].batch = block;
          std::memcpy(block + place, e.data().data(), e.data().size());
          place += e.data().size();
        }
      }
      break;
    }
    case pb::RaftMessage::kAppendEntriesResult: {
      const pb::AppendEntriesResult& w = from.append_entries_result();
      message.type = RAFT_IO_APPEND_ENTRIES_RESULT;
      message.append_entries_result = {w.term(), w.rejected_index(), w.last_index()};
      break;
    }
    case pb::RaftMessage::kInstallSnapshot: {
      const pb::InstallSnapshot& w = from.install_snapshot();
      message.type = RAFT_IO_INSTALL_SNAPSHOT;
      raft_install_snapshot& m = message.install_snapshot;
      m.term = w.term(), m.last_index = w.last_index(), m.last_term = w.last_term();
      if (!read_servers(w.servers(), m.conf)) return;
      m.conf_index = w.servers_index();
      m.data = buffer_of(w.data());
      break;
    }
    case pb::RaftMessage::kTimeoutNow: {
      const pb::TimeoutNow& w = from.timeout_now();
      message.type = RAFT_IO_TIMEOUT_NOW;
      message.timeout_now = {w.term(), w.last_index(), w.last_term()};
      break;
    }
    case pb::RaftMessage::KIND_NOT_SET:
      return;
  }
  raft_term term = 0;
  verifying_index_ = 0;
  append_rejected_ = false;
  if (from.has_append_entries()) {
    term = from.append_entries().term();
    verifying_index_ = from.append_entries().previous_index() +
                       static_cast<raft_index>(from.append_entries().entries_size());
  } else if (from.has_install_snapshot()) {
    term = from.install_snapshot().term();
    verifying_index_ = from.install_snapshot().last_index();
  }
  if (term > verified_term_) verified_term_ = term, verified_index_ = 0;
  const bool counts = term != 0 && term == verified_term_;
  if (!counts) verifying_index_ = 0;
  receive_callback(&io, &message);
  if (!append_rejected_) verified_index_ = std::max(verified_index_, verifying_index_);
  verifying_index_ = 0;
}

raft_index RaftLog::Raft::verified_index(raft_term term) const {
  return term == verified_term_ ? std::max(verified_index_, verifying_index_) : 0;
}

}  // namespace edge_proxy::consensus
