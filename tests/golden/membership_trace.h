// SPDX-License-Identifier: MIT
/// @file
/// Formats values of the membership module and of quota leases for golden records: all their fields, but no
/// log messages.
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
/// The updates of a full sync are sorted by their text because the message has them in hash table order.
std::string text_of(const edge_proxy::membership::Message& message);
std::string text_of(const edge_proxy::membership::Input& input);
std::string text_of(const edge_proxy::admission::QuotaLeases::QuotaShare& share);

/// Formats the observable state of the quota leases of one member.
std::string state_of(const edge_proxy::admission::QuotaLeases& leases,
                     edge_proxy::admission::QuotaLeases::Time now);

/// Records an input of a member's reducer, the effects that it returned, and the persistent state if one of
/// the effects is PersistState.
void add_step(GoldenRecord& record, const std::string& member, edge_proxy::membership::Time now,
              const edge_proxy::membership::Input& input,
              const std::vector<edge_proxy::membership::Effect>& effects,
              const edge_proxy::membership::State& state);

}  // namespace golden
