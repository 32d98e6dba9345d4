// SPDX-License-Identifier: MIT
/// @file
/// What operators are shown of the peers. No I/O.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "membership/reducer.h"

namespace edge_proxy::membership {

/// One JSON object: where this proxy stands, and each member. Times are milliseconds before `now`.
std::string report(const State& state, Time now);

struct Metric {
  std::string name;
  std::uint64_t value = 0;
  bool is_counter = false;  ///< from the start; else what is so now
};
std::vector<Metric> metrics(const State& state, Time now);

}  // namespace edge_proxy::membership
