// SPDX-License-Identifier: MIT
/// @file
/// JSON report and metrics of membership for operators. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "membership/reducer.h"

namespace edge_proxy::membership {

/// One JSON object with the status of this proxy and of each member. Times are milliseconds before `now`.
[[nodiscard]] std::string report(const State& state, Time now);

struct Metric {
  std::string name;
  std::uint64_t value = 0;
  bool is_counter = false;  ///< counts from the start of the process; otherwise a gauge
};
[[nodiscard]] std::vector<Metric> metrics(const State& state, Time now);

}  // namespace edge_proxy::membership
