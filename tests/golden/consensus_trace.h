// SPDX-License-Identifier: MIT
/// @file
/// Values of consensus as text for golden records: all fields, log texts left out.
#pragma once

#include <string>
#include <vector>

#include "agreed/raft_log.h"
#include "agreed/reducer.h"
#include "golden/golden_record.h"

namespace golden {

std::string text_of(const dahliahall::agreed::Entry& entry);
std::string text_of(const dahliahall::agreed::Message& message);
std::string text_of(const dahliahall::agreed::Snapshot& snapshot);
std::string text_of(const dahliahall::agreed::Input& input);
std::string text_of(const dahliahall::agreed::LeaderActions& actions);

/// Adds an input of a member's reducer, then each effect. An expired timer without any is left out:
/// there are too many of them.
void add_step(GoldenRecord& record, const std::string& member, dahliahall::agreed::Time now,
              const dahliahall::agreed::Input& input, const std::vector<dahliahall::agreed::Effect>& effects,
              const dahliahall::agreed::State& state);

/// Adds what came of a call of a member's log. Of bytes for its servers a checksum stands,
/// with those that libraft leaves undefined set to zero.
void add_log_output(GoldenRecord& record, const std::string& member,
                    const dahliahall::agreed::RaftLog::Output& output);

}  // namespace golden
