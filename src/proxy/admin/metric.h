// SPDX-License-Identifier: MIT
/// @file
/// One figure among those that the proxy exposes at its admin address.
#pragma once

#include <cstdint>
#include <string>

namespace edge_proxy::proxy {

enum class MetricKind {
  counter,  ///< counts from the start of the process
  gauge     ///< the value at the moment of the call
};

struct Metric {
  std::string name;  ///< without the prefix that all figures share
  std::uint64_t value = 0;
  MetricKind kind = MetricKind::gauge;
};

}  // namespace edge_proxy::proxy
