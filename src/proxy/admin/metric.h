// SPDX-License-Identifier: MIT
/// @file
/// A metric that the proxy exposes at its admin address.
#pragma once

#include <cstdint>
#include <string>

namespace edge_proxy::proxy {

enum class MetricKind {
  counter,  ///< counts events since the start of the process
  gauge     ///< current value at the time of the call
};

struct Metric {
  std::string name;  ///< without the common prefix
  std::uint64_t value = 0;
  MetricKind kind = MetricKind::gauge;
};

}  // namespace edge_proxy::proxy
