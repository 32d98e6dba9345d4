// SPDX-License-Identifier: MIT
/// @file
/// How the initial voters begin a log: together, and only where none of them has one.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "consensus/raft_context.h"
#include "consensus/raft_memory.h"

namespace edge_proxy::consensus {

/// Guards against a voter that lost its disk: it would begin the log again, and vote twice in a term.
class LogBootstrap {
 public:
  using Servers = RaftConfiguration::Servers;

  LogBootstrap(RaftContext& context, std::vector<std::string> initial_voters);

  /// At one that has no log, during a call: asks the other initial voters whether they have one, at
  /// intervals. The servers to begin the log with, once none of them has; empty before.
  [[nodiscard]] Servers poll();
  [[nodiscard]] bool is_initial_voter(const std::string& name) const;
  void set_without_log(const std::string& name, std::uint64_t id) { without_log_[name] = id; }
  void forget(const std::string& name) { without_log_.erase(name); }

 private:
  void send_requests();
  [[nodiscard]] Servers initial_servers() const;

  RaftContext& context_;
  std::vector<std::string> initial_voters_;
  std::map<std::string, std::uint64_t> without_log_;  // initial voters that have no log, and their ids
  Time next_request_{0};
};

}  // namespace edge_proxy::consensus
