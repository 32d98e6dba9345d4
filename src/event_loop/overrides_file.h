// SPDX-License-Identifier: MIT
/// @file
/// Stores admin overrides without making the main loop wait for the disk or for another process.
#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "event_loop/glib_source.h"
#include "event_loop/overrides_store.h"

namespace edge_proxy::event_loop {

/// Runs the updates of an OverridesStore one after the other on GLib's worker threads, and polls the file for
/// what other processes of this edge proxy have stored. Must be used on the main loop.
class OverridesFile {
 public:
  struct Callbacks {
    /// The time that changes of overrides are compared by.
    std::function<Time()> now;
    /// Receives changed overrides and the replies to calls, on the main loop and never during store().
    std::function<void(proxy::OverridesStored)> on_stored;
    std::function<void(const std::string&)> log;
  };
  /// An empty `path` stores nothing: changes succeed and end with the process.
  OverridesFile(const std::string& path, Callbacks callbacks);
  ~OverridesFile();
  OverridesFile(const OverridesFile&) = delete;
  OverridesFile& operator=(const OverridesFile&) = delete;

  /// Reads the file before the main loop starts.
  void load();
  /// Stores the change after those of earlier calls. Its reply follows within kOverrideStoreTimeout.
  void store(proxy::ConnectionId call, proxy::OverrideChange change);
  /// Adds what the table knows in the background.
  void merge(const proxy::OverrideTable& table);

 private:
  struct Job;
  using Clock = std::chrono::steady_clock;
  struct Waiting {
    std::shared_ptr<PendingOverride> call;
    Clock::time_point deadline;
  };

  void store_in_memory(const proxy::ConnectionId& call, const proxy::OverrideChange& change);
  void start_job();
  void on_finished(const Job& job);
  void on_deadline();
  void arm_deadline();
  void deliver(OverridesUpdate update);

  Callbacks callbacks_;
  std::shared_ptr<OverridesStore> store_;  ///< null: nothing is stored. In use by the job in progress
  proxy::OverrideTable table_;             ///< as it was last delivered
  proxy::OverrideTable to_merge_;
  PendingOverrides queued_;      ///< calls for the next job
  std::deque<Waiting> waiting_;  ///< calls without a reply, by deadline
  bool is_job_in_progress_ = false;
  Source poll_source_;
  Timer deadline_timer_;
  /// Set to null on destruction, so that a job that ends later doesn't access this object.
  std::shared_ptr<OverridesFile*> owner_;
};

}  // namespace edge_proxy::event_loop
