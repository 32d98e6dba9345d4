// SPDX-License-Identifier: MIT
/// @file
/// The libraft server of one proxy: the function tables through which libraft uses time, disk, messages and
/// the state machine, and the calls to libraft. Only raft_log and voter_changes use it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "consensus/append_verification.h"
#include "consensus/raft_context.h"
#include "consensus/raft_memory.h"

namespace edge_proxy::consensus {

class RaftNode {
 public:
  struct Timing {
    unsigned heartbeat_ms = 0;
    unsigned election_ms = 0;
    unsigned snapshot_threshold_entries = 0;
    unsigned trailing_entries = 0;
  };

  explicit RaftNode(RaftContext& context);
  RaftNode(const RaftNode&) = delete;
  RaftNode& operator=(const RaftNode&) = delete;

  // These functions return 0 or an error code of libraft.
  [[nodiscard]] int initialize();
  [[nodiscard]] int start(const Timing& timing);
  /// Writes the first entry of the log, which holds its servers. The disk must not hold a log.
  [[nodiscard]] int bootstrap(const RaftConfiguration& servers);
  /// Must be called after initialize() and before destruction; runs the callbacks of pending requests.
  void close();

  void tick() { tick_callback_(&io_); }
  /// A malformed message is dropped.
  void receive(const pb::RaftMessage& message);
  /// Appends a command to the log at the leader. At any other server the command is dropped.
  void propose(const std::string& command);

  [[nodiscard]] bool is_leader() { return raft_state(&raft_) == RAFT_LEADER; }
  /// Empty if the leader is unknown.
  [[nodiscard]] std::string leader_name();
  [[nodiscard]] Term term() const { return raft_.current_term; }
  [[nodiscard]] Index last_applied() const { return raft_.last_applied; }
  [[nodiscard]] const raft_configuration& configuration() const { return raft_.configuration; }
  [[nodiscard]] Index configuration_index() const { return raft_.configuration_index; }
  [[nodiscard]] std::string describe_error(int status);
  /// For requests to libraft that have their own callbacks.
  [[nodiscard]] raft* handle() { return &raft_; }

 private:
  static RaftNode& from(const raft_io* io) { return *static_cast<RaftNode*>(io->impl); }
  static RaftNode& from(const raft_fsm* fsm) { return *static_cast<RaftNode*>(fsm->data); }

  // Function tables, in raft_io_table.cpp.
  void set_lifecycle_functions();
  void set_storage_functions();
  void set_snapshot_functions();
  void set_environment_functions();
  void set_state_machine_functions();

  // Storage.
  static int write_status(bool written) { return written ? 0 : RAFT_IOERR; }
  int load_entries(raft_entry** entries, std::size_t* count) const;
  int store_bootstrap(const raft_configuration& servers);
  int append(const raft_entry* entries, unsigned count);
  int truncate(raft_index from);

  // Snapshots, in raft_snapshots.cpp.
  int store_snapshot(unsigned trailing_entries, const raft_snapshot& snapshot);
  /// Null if there is no snapshot or not enough memory.
  [[nodiscard]] raft_snapshot* load_snapshot() const;
  int take_snapshot(raft_buffer** buffers, unsigned* count) const;
  int restore_snapshot(const std::string& data);

  int apply(const raft_buffer& command);
  void send(const raft_message& message);
  void correct_vote_result(pb::RequestVoteResult& result) const;
  void correct_append_result(pb::AppendEntriesResult& result);

  RaftContext& context_;
  AppendVerification verification_;
  raft_io io_{};
  raft_fsm fsm_{};
  raft raft_{};
  raft_io_tick_cb tick_callback_ = nullptr;
  raft_io_recv_cb receive_callback_ = nullptr;
};

}  // namespace edge_proxy::consensus
