// SPDX-License-Identifier: MIT
/// @file
/// Values derived from the settings that several components of the router need.
#pragma once

#include <algorithm>
#include <cstddef>

#include "edge_proxy/router.h"

namespace edge_proxy::routing {

/// Returns the number of routers in this router's zone, or of all routers if the zone has no entry.
[[nodiscard]] inline int routers_in_zone(const Settings& settings) {
  const auto zone = static_cast<std::size_t>(settings.zone);
  return zone < settings.routers_by_zone.size() ? settings.routers_by_zone[zone] : settings.router_count;
}

/// Whether the weights in the endpoint list describe the capacity of each endpoint.
[[nodiscard]] inline bool has_endpoint_sizes(const Settings& settings) {
  return settings.weights == WeightMeaning::nominal || settings.weights == WeightMeaning::rough;
}

/// Returns the weight of an endpoint; 1 if the weights in the list don't describe capacities.
[[nodiscard]] inline double weight_of(const Settings& settings, const Endpoint& endpoint) {
  constexpr double kMinWeight = 1e-3;
  return has_endpoint_sizes(settings) ? std::max(endpoint.weight, kMinWeight) : 1;
}

[[nodiscard]] inline std::size_t class_index(const Request& request) {
  return static_cast<std::size_t>(request.request_class);
}

[[nodiscard]] inline const RequestClass& class_of(const Settings& settings, const Request& request) {
  return settings.classes[class_index(request)];
}

/// Whether a request must run at the origin and leaves no copy in caches.
[[nodiscard]] inline bool runs_at_origin(const Settings& settings, const Request& request) {
  return request.write || class_of(settings, request).uncacheable;
}

}  // namespace edge_proxy::routing
