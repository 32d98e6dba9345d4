// SPDX-License-Identifier: MIT
/// @file
/// Creates the log: all initial voters start it together, and only if none of them has one.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "consensus/raft_context.h"
#include "consensus/raft_memory.h"

namespace edge_proxy::consensus {

/// Asking the other initial voters first prevents a voter that has lost its disk from creating the log again
/// and voting twice in a term.
class LogBootstrap {
 public:
  using Servers = RaftConfiguration::Servers;

  LogBootstrap(RaftContext& context, std::vector<std::string> initial_voters);

  /// To be called during a call of RaftLog at a proxy without a log. Asks the other initial voters
  /// periodically whether they have a log. Returns the servers to start the log with once all have replied
  /// that they have none; empty before.
  [[nodiscard]] Servers poll();
  [[nodiscard]] bool is_initial_voter(const std::string& name) const;
  void set_without_log(const std::string& name, std::uint64_t id) { without_log_[name] = id; }
  void forget(const std::string& name) { without_log_.erase(name); }

 private:
  void send_requests();
  [[nodiscard]] Servers initial_servers() const;

  RaftContext& context_;
  std::vector<std::string> initial_voters_;
  std::map<std::string, std::uint64_t>
      without_log_;  // initial voters known to have no log, and their server ids
  Time next_request_{0};
};

}  // namespace edge_proxy::consensus
