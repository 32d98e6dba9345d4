// SPDX-License-Identifier: MIT
/// @file
/// A continuous client load on all processes, and a check of the decisions that the processes have logged.
#pragma once

#include <atomic>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "cluster/cluster.h"

namespace edge_proxy::test {

/// Sends requests to each process, `interval` apart, and discards the answers, until destruction.
class ClientLoad {
 public:
  ClientLoad(Fleet& fleet, std::chrono::milliseconds interval);
  ~ClientLoad();
  ClientLoad(const ClientLoad&) = delete;
  ClientLoad& operator=(const ClientLoad&) = delete;

 private:
  void run(std::chrono::milliseconds interval);

  std::vector<int> ports_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

/// The result of check_decisions().
struct DecisionCheck {
  std::size_t decisions = 0;
  std::map<std::uint64_t, std::size_t> by_epoch;
  std::vector<std::string> violations;
};
/// Finds requests that were accepted under an epoch after any process accepted one under a later epoch, and
/// attempts under the old epoch that began more than `bound` after that.
DecisionCheck check_decisions(const std::vector<std::string>& logs, std::chrono::milliseconds bound);

}  // namespace edge_proxy::test
