// SPDX-License-Identifier: MIT
/// @file
/// Formats values of the consensus module for golden records: all their fields, but no log messages.
#pragma once

#include <string>
#include <vector>

#include "consensus/raft_log.h"
#include "consensus/reducer.h"
#include "golden/golden_record.h"

namespace golden {

std::string text_of(const edge_proxy::consensus::Entry& entry);
std::string text_of(const edge_proxy::consensus::Message& message);
std::string text_of(const edge_proxy::consensus::Snapshot& snapshot);
std::string text_of(const edge_proxy::consensus::Input& input);
std::string text_of(const edge_proxy::consensus::LeaderActions& actions);

/// Records an input of a member's reducer and the effects that it returned. An expired timer without effects
/// is omitted because such inputs are too frequent.
void add_step(GoldenRecord& record, const std::string& member, edge_proxy::consensus::Time now,
              const edge_proxy::consensus::Input& input,
              const std::vector<edge_proxy::consensus::Effect>& effects,
              const edge_proxy::consensus::State& state);

/// Records the output of a call of a member's Raft log. A message to another server is recorded as its size
/// and checksum, computed with the bytes that libraft leaves undefined set to zero.
void add_log_output(GoldenRecord& record, const std::string& member,
                    const edge_proxy::consensus::RaftLog::Output& output);

}  // namespace golden
