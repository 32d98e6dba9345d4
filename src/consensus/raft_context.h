// SPDX-License-Identifier: MIT
/// @file
/// The state of one proxy that libraft's callbacks use: time, random numbers, the disk, the applied state and
/// the output of the current call. RaftLog owns it.
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

  /// Adds a log line to the output of the current call. Outside a call the line is dropped.
  void log(std::string line);
  /// Records a failure, after which this proxy does not participate in the log. Only the first one is kept.
  void on_storage_failure(RaftStorage::Failure failure, const std::string& storage_error);
  /// Runs the deferred callbacks, including those that they defer in turn, until none is left.
  void run_deferred_callbacks();

  std::string name;
  std::uint64_t server_id = 0;  ///< 0 until the storage is open
  Time lease;                   ///< sent with each message: see decode()
  Time now;
  std::mt19937_64 random;
  std::string error;  ///< empty: no failure so far
  RaftStorage storage;
  PolicyStateMachine state_machine;  ///< the applied state, used for snapshots
  Index reported_index = 0;          ///< the applied entries up to here have been reported to the reducer
  std::deque<std::function<void()>> deferred_callbacks;
  RaftLogOutput* output = nullptr;  ///< of the current call; null outside a call
};

}  // namespace edge_proxy::consensus
