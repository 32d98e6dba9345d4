// SPDX-License-Identifier: MIT
/// @file
/// What operators are shown of the policy and its log. No I/O.
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

/// What the report shows beside the state of the consensus reducer.
struct PolicyReportContext {
  std::optional<consensus::Epoch> decision_epoch;      ///< none: nothing is decided
  std::uint64_t raft_id = 0;                           ///< this proxy's own
  const std::map<std::string, std::uint64_t>& voters;  ///< ids by name
  Time now{0};
};

/// The body of the answer to `GET /v1/policy`: one JSON object and a line feed.
[[nodiscard]] std::string policy_report(const consensus::State& state, const PolicyReportContext& context);

/// The figures `policy.*`. `rejected`: requests that were rejected since nothing was decided.
[[nodiscard]] std::vector<Metric> policy_metrics(const consensus::State& state, bool is_deciding,
                                                 std::uint64_t rejected);

}  // namespace edge_proxy::proxy
