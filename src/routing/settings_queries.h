// SPDX-License-Identifier: MIT
/// @file
/// Values derived from the settings that several parts of the router need.
#pragma once

#include <algorithm>
#include <cstddef>

#include "edge_proxy/router.h"

namespace edge_proxy::routing {

/// Count of routers in this router's zone; of all routers where the zone has no entry.
[[nodiscard]] inline int routers_in_zone(const Settings& settings) {
  const auto zone = static_cast<std::size_t>(settings.zone);
  return zone < settings.routers_by_zone.size() ? settings.routers_by_zone[zone] : settings.router_count;
}

/// Whether the weights in the endpoint list tell the size of each endpoint.
[[nodiscard]] inline bool has_endpoint_sizes(const Settings& settings) {
  return settings.weights == WeightMeaning::nominal || settings.weights == WeightMeaning::rough;
}

/// Weight of an endpoint among its group; 1 where the list does not tell sizes.
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

/// Whether a request has to run at the origin and leaves no copy.
[[nodiscard]] inline bool runs_at_origin(const Settings& settings, const Request& request) {
  return request.write || class_of(settings, request).uncacheable;
}

}  // namespace edge_proxy::routing
