// SPDX-License-Identifier: MIT
/// @file
/// Compares an endpoint with the other endpoints of its role. A fault of one endpoint makes it differ from
/// the others. A fault that all of them share doesn't, and so counts against none of them.
#pragma once

#include <cstddef>
#include <vector>

#include "routing/endpoint_table.h"

namespace edge_proxy::routing {

/// Returns the latency of the healthy endpoints of a group: the lower quartile of the relative latencies, or
/// 0 for an empty group.
[[nodiscard]] double reference_latency(const EndpointTable& endpoints, const std::vector<std::size_t>& group);

/// Whether the endpoint itself causes its errors, for responses that don't state the cause: errors of a
/// source come back through all caches at the same rate. Without this check one cache that fails fast would
/// lower the limits of the sources and stop all fills.
[[nodiscard]] bool has_outlier_error_rate(const EndpointTable& endpoints, const EndpointStats& stats);

}  // namespace edge_proxy::routing
