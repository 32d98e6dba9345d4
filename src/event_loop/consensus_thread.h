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
#include "proxy/reducer.h"
#include "storage/folder.h"

namespace edge_proxy::event_loop {

class ConsensusThread {
 public:
  /// `told` is called on the main loop.
  ConsensusThread(const config::PolicyConfig& config, std::uint64_t seed,
                  std::function<void(proxy::ConsensusOutput)> told);
  ~ConsensusThread();
  ConsensusThread(const ConsensusThread&) = delete;
  ConsensusThread& operator=(const ConsensusThread&) = delete;

  void perform(const proxy::ConsensusEffect& effect);

 private:
  using Task = std::function<void(consensus::RaftLog&, consensus::Time, proxy::ConsensusOutput&,
                                  consensus::RaftLog::Output&)>;

  void run();
  void deliver(proxy::ConsensusOutput out);
  void push(Task work);

  const config::PolicyConfig config_;
  const std::uint64_t seed_;
  std::function<void(proxy::ConsensusOutput)> on_output_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Task> tasks_;
  bool stopping_ = false;
  std::shared_ptr<ConsensusThread*>
      is_alive_;  // what is on its way to the loop finds nothing once this has gone
  std::thread thread_;
};

}  // namespace edge_proxy::event_loop
