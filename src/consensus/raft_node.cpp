// SPDX-License-Identifier: MIT
#include "consensus/raft_node.h"

#include <algorithm>
#include <span>
#include <utility>
#include <vector>

#include "consensus/codec.h"
#include "consensus/raft_messages.h"

namespace edge_proxy::consensus {

RaftNode::RaftNode(RaftContext& context) : context_(context) {
  io_.version = 2;
  io_.impl = this;
  set_lifecycle_functions();
  set_storage_functions();
  set_snapshot_functions();
  set_environment_functions();
  fsm_.version = 1;
  fsm_.data = this;
  set_state_machine_functions();
}

// ---- Calls to libraft ----

int RaftNode::initialize() {
  const std::string address = server_address(context_.name, context_.server_id);
  return raft_init(&raft_, &io_, &fsm_, context_.server_id, address.c_str());
}

int RaftNode::start(const Timing& timing) {
  raft_set_pre_vote(&raft_, true);
  raft_set_election_timeout(&raft_, timing.election_ms);
  raft_set_heartbeat_timeout(&raft_, timing.heartbeat_ms);
  raft_set_snapshot_threshold(&raft_, timing.snapshot_threshold_entries);
  raft_set_snapshot_trailing(&raft_, timing.trailing_entries);
  return raft_start(&raft_);
}

int RaftNode::bootstrap(const RaftConfiguration& servers) { return raft_bootstrap(&raft_, &servers.get()); }

void RaftNode::close() {
  raft_close(&raft_, nullptr);
  context_.run_deferred_callbacks();
}

void RaftNode::propose(const std::string& command) {
  using Request = struct raft_apply;
  auto request = std::make_unique<Request>();
  const raft_buffer buffer = make_buffer(command);
  RaftPtr<void> owned(buffer.base);
  const auto on_applied = [](Request* finished, int, void*) { delete finished; };
  if (raft_apply(&raft_, request.get(), &buffer, 1, on_applied) != 0) return;
  static_cast<void>(request.release());  // on_applied deletes it
  static_cast<void>(owned.release());    // libraft frees it
}

std::string RaftNode::leader_name() {
  raft_id id = 0;
  const char* address = nullptr;
  raft_leader(&raft_, &id, &address);
  return address == nullptr || id == 0 ? std::string() : name_in_address(address);
}

std::string RaftNode::describe_error(int status) {
  return std::string("raft: ") + raft_strerror(status) + " " + raft_errmsg(&raft_);
}

// ---- Storage ----

int RaftNode::load_entries(raft_entry** entries, std::size_t* count) const {
  const auto& stored = context_.storage.entries();
  *count = stored.size();
  *entries = nullptr;
  if (stored.empty()) return 0;
  auto loaded = allocate_zeroed<raft_entry>(stored.size());
  if (!loaded) return RAFT_NOMEM;
  raft_entry* entry = loaded.get();
  for (const RaftStorage::StoredEntry& from : stored) {
    entry->term = from.term;
    entry->type = static_cast<unsigned short>(from.type);
    entry->buf = make_buffer(from.data);
    entry->batch = entry->buf.base;  // each entry is its own batch and is freed separately
    ++entry;
  }
  *entries = loaded.release();
  return 0;
}

int RaftNode::store_bootstrap(const raft_configuration& servers) {
  constexpr Term kFirstTerm = 1;
  if (context_.storage.has_log()) return RAFT_CANTBOOTSTRAP;
  raft_buffer encoded{};
  if (const int status = raft_configuration_encode(&servers, &encoded)) return status;
  const RaftPtr<void> owned(encoded.base);
  return write_status(context_.storage.bootstrap({kFirstTerm, RAFT_CHANGE, to_string(encoded)}));
}

int RaftNode::append(const raft_entry* entries, unsigned count) {
  std::vector<RaftStorage::StoredEntry> stored;
  for (const raft_entry& entry : std::span(entries, count))
    stored.push_back({entry.term, entry.type, to_string(entry.buf)});
  return write_status(context_.storage.append(stored));
}

int RaftNode::truncate(raft_index from) {
  if (from < context_.storage.first_index()) return RAFT_INVALID;
  return write_status(context_.storage.truncate(from));
}

// ---- The state machine ----

int RaftNode::apply(const raft_buffer& command) {
  const auto entry = decode_entry(to_string(command));
  const Index index = raft_.last_applied + 1;
  // An entry that cannot be decoded was written by a different version. All proxies skip it.
  if (!entry) {
    context_.state_machine.advance_to(index);
    return 0;
  }
  context_.state_machine.apply(index, *entry);
  if (context_.output != nullptr) context_.output->inputs.emplace_back(EntryApplied{index, *entry});
  context_.reported_index = index;
  return 0;
}

// ---- Messages ----

void RaftNode::send(const raft_message& message) {
  pb::RaftMessage written;
  written.set_from(context_.server_id);
  written.set_to(message.server_id);
  written.set_address(server_address(context_.name, context_.server_id));
  if (!write_raft_message(message, written)) return;
  if (written.has_request_vote_result()) correct_vote_result(*written.mutable_request_vote_result());
  if (written.has_append_entries_result()) correct_append_result(*written.mutable_append_entries_result());
  if (context_.output == nullptr) return;
  context_.output->messages.push_back(
      {name_in_address(message.server_address), encode(written, context_.lease)});
}

/// Works around a fault of libraft 0.15: the rejection of a pre-vote carries the requested term instead of
/// the voter's current term. A candidate with a longer log and a lower term then requests the same term
/// forever, and no leader is elected. A randomized test found this.
void RaftNode::correct_vote_result(pb::RequestVoteResult& result) const {
  if (result.pre_vote() == raft_tribool_true && !result.granted())
    result.set_term(std::max<Term>(result.term(), raft_.current_term));
}

/// Limits the reported index: see AppendVerification.
void RaftNode::correct_append_result(pb::AppendEntriesResult& result) {
  if (result.rejected_index() != 0) {
    verification_.reject();
    return;
  }
  result.set_last_index(std::min<Index>(result.last_index(), verification_.verified_index(result.term())));
}

void RaftNode::receive(const pb::RaftMessage& message) {
  raft_message read{};
  if (!read_raft_message(message, read)) return;
  verification_.begin(message);
  receive_callback_(&io_, &read);
  verification_.end();
}

}  // namespace edge_proxy::consensus
