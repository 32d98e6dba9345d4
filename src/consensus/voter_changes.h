// SPDX-License-Identifier: MIT
/// @file
/// Adds and removes voters at the leader, one step at a time through the log.
#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "consensus/raft_node.h"

namespace edge_proxy::consensus {

class VoterChanges {
 public:
  explicit VoterChanges(RaftContext& context) : context_(context) {}

  [[nodiscard]] bool is_empty() const { return changes_.empty(); }
  void queue_addition(const std::string& name, std::uint64_t id);
  void queue_removal(const std::string& name, std::uint64_t id);
  /// Drops all changes when the leadership ends; operators have to ask the next leader again.
  void clear() { changes_.clear(); }
  /// Submits the next step unless one is in progress. To be called at the leader, during a call of RaftLog. A
  /// server is added without a vote and becomes a voter once it has caught up. A failed step drops all
  /// changes.
  void advance(RaftNode& node);

 private:
  struct Change {
    std::uint64_t id = 0;
    std::string address;
    bool is_removal = false;
    bool in_progress = false;
  };
  /// A request to libraft, which owns it until the callback runs.
  struct Request {
    raft_change request{};
    VoterChanges* changes = nullptr;
  };

  [[nodiscard]] static bool is_done(const Change& change, const raft_server* server);
  void finish_front(const RaftNode& node);
  void submit_front(RaftNode& node, const raft_server* server);
  [[nodiscard]] static int send_request(RaftNode& node, const Change& change, const raft_server* server,
                                        raft_change* request);
  static void on_request_finished(raft_change* request, int status);
  void fail(int status);

  RaftContext& context_;
  std::deque<Change> changes_;
};

}  // namespace edge_proxy::consensus
