// SPDX-License-Identifier: MIT
/// @file
/// Comparisons of an endpoint with the others of its role. A fault of one endpoint shows against its group; a
/// fault that all share does not, and is blamed on none of them.
#pragma once

#include <cstddef>
#include <vector>

#include "routing/endpoint_table.h"

namespace edge_proxy::routing {

/// Latency of the healthy endpoints of a group: the lower quartile of the relative latencies; 0 for none.
[[nodiscard]] double reference_latency(const EndpointTable& endpoints, const std::vector<std::size_t>& group);

/// Whether the errors of an endpoint are its own, where no response says so: those of a source come back from
/// all caches alike. Guards the sources, and all fills, against paying for one cache that fails fast.
[[nodiscard]] bool has_outlier_error_rate(const EndpointTable& endpoints, const EndpointStats& stats);

}  // namespace edge_proxy::routing
