// SPDX-License-Identifier: MIT
/// @file
/// Performs consensus effects on the Raft log of the policy, on the calling thread.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "consensus/raft_log.h"
#include "proxy/reducer.h"
#include "storage/journal.h"

namespace edge_proxy::event_loop {

/// Owns the Raft log and collects the results of its calls. Not thread-safe.
class ConsensusWorker {
 public:
  ConsensusWorker(const consensus::RaftLog::Settings& settings, storage::Journal& journal);

  /// Reads the log from the disk.
  void open();
  void perform(const proxy::ConsensusEffect& effect);
  /// Runs the timers that are due.
  void tick();
  /// The results of all calls since the last take_output(). None if there are none.
  [[nodiscard]] std::optional<proxy::ConsensusOutput> take_output();

 private:
  void perform(const consensus::AppendEntry& append);
  void perform(const consensus::CheckTerm& request);
  void perform(const consensus::PersistLearned& learned);
  void perform(const consensus::RaftMessage& message);
  void perform(const proxy::BootstrapReceived& bootstrap);
  void perform(const proxy::VoterChangeCall& call);
  bool add_voter(const std::string& name_and_id);

  std::string name_;
  consensus::Time lease_;
  consensus::RaftLog log_;
  std::map<std::string, std::uint64_t> reported_voters_;
  proxy::ConsensusOutput output_;          ///< made by this class; precedes the output of the log
  consensus::RaftLog::Output log_output_;  ///< made by the log
};

}  // namespace edge_proxy::event_loop
