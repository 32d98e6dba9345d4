// SPDX-License-Identifier: MIT
/// @file
/// Membership's and quota leases' values as text for golden records: all fields, log texts left out.
#pragma once

#include <string>
#include <vector>

#include "golden/golden_record.h"
#include "limits/shares.h"
#include "peers/reducer.h"

namespace golden {

std::string label_of(dahliahall::peers::MemberStatus status);
std::string label_of(dahliahall::peers::Reachability reachability);
std::string label_of(dahliahall::peers::PartitionStatus partition_status);
std::string label_of(dahliahall::peers::View::MergeResult merge_result);

std::string text_of(const dahliahall::peers::MemberUpdate& update);
/// Updates of a full sync stand in the order of their text: their own is that of a hash table.
std::string text_of(const dahliahall::peers::Message& message);
std::string text_of(const dahliahall::peers::Input& input);
std::string text_of(const dahliahall::limits::QuotaLeases::QuotaShare& share);

/// What the quota leases of one member show of themselves.
std::string state_of(const dahliahall::limits::QuotaLeases& leases,
                     dahliahall::limits::QuotaLeases::Time now);

/// Adds an input of a member, then each effect, then what is persisted where that changed.
void add_step(GoldenRecord& record, const std::string& member, dahliahall::peers::Time now,
              const dahliahall::peers::Input& input, const std::vector<dahliahall::peers::Effect>& effects,
              const dahliahall::peers::State& state);

}  // namespace golden
