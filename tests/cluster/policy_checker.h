// SPDX-License-Identifier: MIT
/// @file
/// Clients that ask all processes all the while, and the check over what the processes have logged of their
/// decisions.
#pragma once

#include <atomic>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "cluster/cluster.h"

namespace edge_proxy::test {

/// One request after the other to each process, `every` apart; answers are read and thrown away. Bounded by
/// its life.
class Clients {
 public:
  Clients(Fleet& fleet, std::chrono::milliseconds every);
  ~Clients();
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

 private:
  void run(std::chrono::milliseconds every);

  std::vector<int> ports_;
  std::atomic<bool> over_{false};
  std::thread thread_;
};

struct Checked {
  std::size_t decisions = 0;
  std::map<std::uint64_t, std::size_t> by_epoch;
  std::vector<std::string> violations;
};
/// Requests taken under an epoch after one was taken anywhere under the next, and attempts that began later
/// than `bound` after that.
Checked check_decisions(const std::vector<std::string>& logs, std::chrono::milliseconds bound);

}  // namespace edge_proxy::test
