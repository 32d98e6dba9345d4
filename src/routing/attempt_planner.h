// SPDX-License-Identifier: MIT
/// @file
/// The route of the next attempt of a request: its endpoint, and the source from which a miss is filled.
/// Decides from endpoint selection, fill admission and retry safety.
#pragma once

#include <cstddef>
#include <optional>

#include "edge_proxy/router.h"
#include "routing/copy_age.h"
#include "routing/endpoint_selection.h"
#include "routing/endpoint_table.h"
#include "routing/fill_policy.h"
#include "routing/pending_request.h"
#include "routing/retry_safety.h"

namespace edge_proxy::routing {

struct Route {
  std::size_t endpoint = 0;
  std::size_t source = 0;       ///< the endpoint itself: no fill
  bool is_cached_only = false;  ///< the source, a parent, gives only what it has cached
  double work = 0;              ///< for slow start, in seconds of transfer
};

/// The parts from which routes are planned. They have to outlive the planner.
struct PlannerDependencies {
  const Settings& settings;
  const EndpointTable& endpoints;
  const EndpointSelector& selector;
  const RetrySafety& safety;
  const CopyAge& copy_age;
  FillPolicy& fills;
};

class AttemptPlanner {
 public:
  explicit AttemptPlanner(const PlannerDependencies& dependencies) : deps_(dependencies) {}

  /// The next attempt's route; nothing where there is none. `work`: size of the request for slow start.
  [[nodiscard]] std::optional<Route> plan(Time now, const PendingRequest& pending, double work);

  /// The attempt for a route, before it is among the request's attempts.
  [[nodiscard]] Attempt build_attempt(Time now, const PendingRequest& pending, const Route& route) const;

 private:
  struct SourceChoice {
    std::optional<std::size_t> source;
    bool is_cached_only = false;
  };

  [[nodiscard]] bool has_attempts_left(Time now, const PendingRequest& pending) const;
  [[nodiscard]] std::optional<Route> plan_at_origin(Time now, const PendingRequest& pending,
                                                    double work) const;
  [[nodiscard]] std::optional<Route> plan_cacheable(Time now, const PendingRequest& pending, double work);
  [[nodiscard]] SourceChoice choose_source(Time now, const PendingRequest& pending, double work);
  [[nodiscard]] std::optional<std::size_t> choose_cache(Time now, const PendingRequest& pending,
                                                        double work) const;
  [[nodiscard]] bool is_below_limit(std::size_t endpoint) const;

  PlannerDependencies deps_;
};

}  // namespace edge_proxy::routing
