// SPDX-License-Identifier: MIT
/// @file
/// The thread of the Raft log of the policy. It waits for the disk so that the main loop does not have to. It
/// runs only if the configuration has a section `policy`.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

#include "config/policy_config.h"
#include "proxy/reducer.h"
#include "storage/folder.h"

namespace edge_proxy::event_loop {

/// Queues consensus effects for the thread and delivers its output to the main loop.
class ConsensusThread {
 public:
  /// `on_output` is called on the main loop. `seed` is one source of the random election timeouts.
  ConsensusThread(const config::PolicyConfig& config, std::uint64_t seed,
                  std::function<void(proxy::ConsensusOutput)> on_output);
  /// Waits for the thread to end.
  ~ConsensusThread();
  ConsensusThread(const ConsensusThread&) = delete;
  ConsensusThread& operator=(const ConsensusThread&) = delete;

  /// Queues the effect, or drops it if too many are queued.
  void perform(const proxy::ConsensusEffect& effect);

 private:
  void run();
  bool lock_folder(storage::SystemFolder& folder);
  bool sleep_unless_stopping(std::chrono::milliseconds duration);
  [[nodiscard]] consensus::RaftLog::Settings raft_settings() const;
  std::optional<std::deque<proxy::ConsensusEffect>> wait_for_effects();
  void deliver(proxy::ConsensusOutput output);

  const config::PolicyConfig config_;
  const std::uint64_t seed_;
  std::function<void(proxy::ConsensusOutput)> on_output_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<proxy::ConsensusEffect> queued_effects_;  ///< guarded by mutex_
  bool stopping_ = false;                              ///< guarded by mutex_
  /// Points to null after the destruction of this object, so that output posted to the main loop is dropped.
  std::shared_ptr<ConsensusThread*> owner_;
  std::thread thread_;
};

}  // namespace edge_proxy::event_loop
