// SPDX-License-Identifier: MIT
/// @file
/// The policy's log on a thread of its own: it waits for the disk, the loop does not. Only where it is
/// configured.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "config/policy_config.h"
#include "edge/reducer.h"
#include "storage/folder.h"

namespace dahliahall::net {

class PolicyLog {
 public:
  /// `told` is called on the main loop.
  PolicyLog(const config::Policy& config, std::uint64_t seed,
            std::function<void(edge::ConsensusOutput)> told);
  ~PolicyLog();
  PolicyLog(const PolicyLog&) = delete;
  PolicyLog& operator=(const PolicyLog&) = delete;

  void perform(const edge::ConsensusEffect& effect);

 private:
  using Work =
      std::function<void(agreed::RaftLog&, agreed::Time, edge::ConsensusOutput&, agreed::RaftLog::Output&)>;

  void run();
  void tell(edge::ConsensusOutput out);
  void push(Work work);

  const config::Policy config_;
  const std::uint64_t seed_;
  std::function<void(edge::ConsensusOutput)> told_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Work> work_;
  bool stopping_ = false;
  std::shared_ptr<PolicyLog*> alive_;  // what is on its way to the loop finds nothing once this has gone
  std::thread thread_;
};

}  // namespace dahliahall::net
