// SPDX-License-Identifier: MIT
/// @file
/// Membership as operators see it: a JSON report and metrics. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "membership/reducer.h"

namespace edge_proxy::membership {

/// One JSON object with this proxy's own status and each member. Times are milliseconds before `now`.
[[nodiscard]] std::string report(const State& state, Time now);

struct Metric {
  std::string name;
  std::uint64_t value = 0;
  bool is_counter = false;  ///< counts since the start; else a gauge
};
[[nodiscard]] std::vector<Metric> metrics(const State& state, Time now);

}  // namespace edge_proxy::membership
