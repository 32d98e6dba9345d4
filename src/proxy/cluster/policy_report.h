// SPDX-License-Identifier: MIT
/// @file
/// The report and the metrics of the policy and its log for operators. This file uses no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "consensus/reducer.h"
#include "edge_proxy/router.h"
#include "proxy/admin/metric.h"

namespace edge_proxy::proxy {

/// The contents of the report that are not part of the consensus reducer's state.
struct PolicyReportContext {
  std::optional<consensus::Epoch> decision_epoch;      ///< none: requests are rejected
  std::uint64_t raft_id = 0;                           ///< Raft id of this proxy
  const std::map<std::string, std::uint64_t>& voters;  ///< Raft ids by member name
  Time now{0};
};

/// Returns the response body of `GET /v1/policy`: one JSON object and a line feed.
[[nodiscard]] std::string policy_report(const consensus::State& state, const PolicyReportContext& context);

/// Returns the metrics `policy.*`. `rejected`: the number of requests rejected because the proxy held no
/// lease.
[[nodiscard]] std::vector<Metric> policy_metrics(const consensus::State& state, bool is_deciding,
                                                 std::uint64_t rejected);

}  // namespace edge_proxy::proxy
