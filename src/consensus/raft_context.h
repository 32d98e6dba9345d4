// SPDX-License-Identifier: MIT
/// @file
/// What libraft's callbacks read and change at one proxy: time, random numbers, the disk, the applied state
/// and the result of the running call. Owned by RaftLog.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <string>

#include "consensus/policy_state_machine.h"
#include "consensus/raft_log_output.h"
#include "consensus/raft_storage.h"

namespace edge_proxy::consensus {

struct RaftContext {
  RaftContext(std::string own_name, Time lease_duration, storage::Journal& journal, Time start,
              std::uint64_t seed);

  /// Where no call runs, the line is lost.
  void log(std::string line);
  /// Records a failure after which this proxy takes no part in the log. The first one counts.
  void on_storage_failure(RaftStorage::Failure failure, const std::string& storage_error);
  /// Runs what libraft has put off, and what that puts off, until nothing is left.
  void run_deferred_callbacks();

  std::string name;
  std::uint64_t server_id = 0;  ///< 0 until the storage is open
  Time lease;                   ///< goes with each message: see decode()
  Time now;
  std::mt19937_64 random;
  std::string error;  ///< empty: none so far
  RaftStorage storage;
  PolicyStateMachine state_machine;  ///< what has been applied: for snapshots
  Index reported_index = 0;          ///< the reducer has been given what is applied up to here
  std::deque<std::function<void()>> deferred_callbacks;
  RaftLogOutput* output = nullptr;  ///< of the running call; null: none runs
};

}  // namespace edge_proxy::consensus
