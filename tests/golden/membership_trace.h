// SPDX-License-Identifier: MIT
/// @file
/// Membership's and quota leases' values as text for golden records: all fields, log texts left out.
#pragma once

#include <string>
#include <vector>

#include "admission/quota_leases.h"
#include "golden/golden_record.h"
#include "membership/reducer.h"

namespace golden {

std::string label_of(edge_proxy::membership::MemberStatus status);
std::string label_of(edge_proxy::membership::Reachability reachability);
std::string label_of(edge_proxy::membership::PartitionStatus partition_status);
std::string label_of(edge_proxy::membership::View::MergeResult merge_result);

std::string text_of(const edge_proxy::membership::MemberUpdate& update);
/// Updates of a full sync stand in the order of their text: their own is that of a hash table.
std::string text_of(const edge_proxy::membership::Message& message);
std::string text_of(const edge_proxy::membership::Input& input);
std::string text_of(const edge_proxy::admission::QuotaLeases::QuotaShare& share);

/// What the quota leases of one member show of themselves.
std::string state_of(const edge_proxy::admission::QuotaLeases& leases,
                     edge_proxy::admission::QuotaLeases::Time now);

/// Adds an input of a member, then each effect, then what is persisted where that changed.
void add_step(GoldenRecord& record, const std::string& member, edge_proxy::membership::Time now,
              const edge_proxy::membership::Input& input,
              const std::vector<edge_proxy::membership::Effect>& effects,
              const edge_proxy::membership::State& state);

}  // namespace golden
