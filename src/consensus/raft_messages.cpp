// SPDX-License-Identifier: MIT
#include "consensus/raft_messages.h"

#include <algorithm>
#include <cstring>
#include <span>

#include "consensus/raft_memory.h"

namespace edge_proxy::consensus {
namespace {

// ---- Writing ----

void write(const raft_request_vote& from, pb::RequestVote& to) {
  to.set_term(from.term);
  to.set_candidate(from.candidate_id);
  to.set_last_index(from.last_log_index);
  to.set_last_term(from.last_log_term);
  to.set_disrupt_leader(from.disrupt_leader);
  to.set_pre_vote(from.pre_vote);
}

void write(const raft_request_vote_result& from, pb::RequestVoteResult& to) {
  to.set_term(from.term);
  to.set_granted(from.vote_granted);
  to.set_pre_vote(static_cast<unsigned>(from.pre_vote));
}

void write(const raft_append_entries& from, pb::AppendEntries& to) {
  to.set_term(from.term);
  to.set_previous_index(from.prev_log_index);
  to.set_previous_term(from.prev_log_term);
  to.set_commit_index(from.leader_commit);
  for (const raft_entry& entry : std::span(from.entries, from.n_entries)) {
    pb::LogEntry& log_entry = *to.add_entries();
    log_entry.set_term(entry.term);
    log_entry.set_type(entry.type);
    log_entry.set_data(to_string(entry.buf));
  }
}

void write(const raft_append_entries_result& from, pb::AppendEntriesResult& to) {
  to.set_term(from.term);
  to.set_rejected_index(from.rejected);
  to.set_last_index(from.last_log_index);
}

void write(const raft_install_snapshot& from, pb::InstallSnapshot& to) {
  to.set_term(from.term);
  to.set_last_index(from.last_index);
  to.set_last_term(from.last_term);
  RaftConfiguration::write_servers(from.conf, *to.mutable_servers());
  to.set_servers_index(from.conf_index);
  to.set_data(to_string(from.data));
}

void write(const raft_timeout_now& from, pb::TimeoutNow& to) {
  to.set_term(from.term);
  to.set_last_index(from.last_log_index);
  to.set_last_term(from.last_log_term);
}

// ---- Reading ----

bool read(const pb::RequestVote& from, raft_message& to) {
  to.type = RAFT_IO_REQUEST_VOTE;
  to.request_vote = {from.term(),      from.candidate(),      from.last_index(),
                     from.last_term(), from.disrupt_leader(), from.pre_vote()};
  return true;
}

bool read(const pb::RequestVoteResult& from, raft_message& to) {
  if (from.pre_vote() > raft_tribool_false) return false;
  to.type = RAFT_IO_REQUEST_VOTE_RESULT;
  to.request_vote_result = {from.term(), from.granted(), static_cast<raft_tribool>(from.pre_vote())};
  return true;
}

/// Returns false if there is not enough memory. The data of all entries is stored in one block, the batch:
/// libraft frees the entries of a message together, even if its log already contains some of them.
bool read_entries(const pb::AppendEntries& from, raft_append_entries& to) {
  std::size_t size = 1;  // raft_malloc(0) may return null
  for (const pb::LogEntry& entry : from.entries()) size += entry.data().size();
  auto entries = allocate_zeroed<raft_entry>(to.n_entries);
  RaftPtr<char> batch(static_cast<char*>(raft_malloc(size)));
  if (!entries || !batch) return false;
  char* data = batch.get();
  raft_entry* entry_out = entries.get();
  for (const pb::LogEntry& entry : from.entries()) {
    entry_out->term = entry.term();
    entry_out->type = static_cast<unsigned short>(entry.type());
    entry_out->buf = {data, entry.data().size()};
    entry_out->batch = batch.get();
    std::memcpy(data, entry.data().data(), entry.data().size());
    data += entry.data().size();
    ++entry_out;
  }
  to.entries = entries.release();
  static_cast<void>(batch.release());  // owned by the entries
  return true;
}

bool read(const pb::AppendEntries& from, raft_message& to) {
  const auto has_unknown_type = [](const pb::LogEntry& entry) {
    return entry.type() < RAFT_COMMAND || entry.type() > RAFT_CHANGE;
  };
  if (std::any_of(from.entries().begin(), from.entries().end(), has_unknown_type)) return false;
  to.type = RAFT_IO_APPEND_ENTRIES;
  raft_append_entries& append = to.append_entries;
  append.term = from.term();
  append.prev_log_index = from.previous_index();
  append.prev_log_term = from.previous_term();
  append.leader_commit = from.commit_index();
  append.entries = nullptr;
  append.n_entries = static_cast<unsigned>(from.entries_size());
  return append.n_entries == 0 || read_entries(from, append);
}

bool read(const pb::AppendEntriesResult& from, raft_message& to) {
  to.type = RAFT_IO_APPEND_ENTRIES_RESULT;
  to.append_entries_result = {from.term(), from.rejected_index(), from.last_index()};
  return true;
}

bool read(const pb::InstallSnapshot& from, raft_message& to) {
  auto servers = RaftConfiguration::from_servers(from.servers());
  if (!servers) return false;
  to.type = RAFT_IO_INSTALL_SNAPSHOT;
  raft_install_snapshot& install = to.install_snapshot;
  install.term = from.term();
  install.last_index = from.last_index();
  install.last_term = from.last_term();
  install.conf = servers->release();
  install.conf_index = from.servers_index();
  install.data = make_buffer(from.data());
  return true;
}

bool read(const pb::TimeoutNow& from, raft_message& to) {
  to.type = RAFT_IO_TIMEOUT_NOW;
  to.timeout_now = {from.term(), from.last_index(), from.last_term()};
  return true;
}

}  // namespace

bool write_raft_message(const raft_message& from, pb::RaftMessage& to) {
  switch (from.type) {
    case RAFT_IO_REQUEST_VOTE:
      write(from.request_vote, *to.mutable_request_vote());
      return true;
    case RAFT_IO_REQUEST_VOTE_RESULT:
      write(from.request_vote_result, *to.mutable_request_vote_result());
      return true;
    case RAFT_IO_APPEND_ENTRIES:
      write(from.append_entries, *to.mutable_append_entries());
      return true;
    case RAFT_IO_APPEND_ENTRIES_RESULT:
      write(from.append_entries_result, *to.mutable_append_entries_result());
      return true;
    case RAFT_IO_INSTALL_SNAPSHOT:
      write(from.install_snapshot, *to.mutable_install_snapshot());
      return true;
    case RAFT_IO_TIMEOUT_NOW:
      write(from.timeout_now, *to.mutable_timeout_now());
      return true;
    default:
      return false;
  }
}

bool read_raft_message(const pb::RaftMessage& from, raft_message& to) {
  to.server_id = from.from();
  to.server_address = from.address().c_str();
  switch (from.kind_case()) {
    case pb::RaftMessage::kRequestVote:
      return read(from.request_vote(), to);
    case pb::RaftMessage::kRequestVoteResult:
      return read(from.request_vote_result(), to);
    case pb::RaftMessage::kAppendEntries:
      return read(from.append_entries(), to);
    case pb::RaftMessage::kAppendEntriesResult:
      return read(from.append_entries_result(), to);
    case pb::RaftMessage::kInstallSnapshot:
      return read(from.install_snapshot(), to);
    case pb::RaftMessage::kTimeoutNow:
      return read(from.timeout_now(), to);
    case pb::RaftMessage::KIND_NOT_SET:
      break;
  }
  return false;
}

}  // namespace edge_proxy::consensus
