// SPDX-License-Identifier: MIT
/// @file
/// Values of consensus as text for golden records: all fields, log texts left out.
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

/// Adds an input of a member's reducer, then each effect. An expired timer without any is left out:
/// there are too many of them.
void add_step(GoldenRecord& record, const std::string& member, edge_proxy::consensus::Time now,
              const edge_proxy::consensus::Input& input,
              const std::vector<edge_proxy::consensus::Effect>& effects,
              const edge_proxy::consensus::State& state);

/// Adds what came of a call of a member's log. Of bytes for its servers a checksum stands,
/// with those that libraft leaves undefined set to zero.
void add_log_output(GoldenRecord& record, const std::string& member,
                    const edge_proxy::consensus::RaftLog::Output& output);

}  // namespace golden
