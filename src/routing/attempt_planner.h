// SPDX-License-Identifier: MIT
/// @file
/// Chooses the route of the next attempt of a request: its endpoint, and the source from which a cache miss
/// is filled. Combines endpoint selection, fill admission and retry safety.
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
  std::size_t source = 0;       ///< the endpoint itself if no fill is allowed
  bool is_cached_only = false;  ///< the source is a parent that serves only from its cache
  double work = 0;              ///< size of the request for slow start, in seconds of transfer
};

/// The components that the planner consults. They must outlive it.
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
  explicit AttemptPlanner(const PlannerDependencies& dependencies) : dependencies_(dependencies) {}

  /// Returns the route of the next attempt, or nothing if no attempt is possible. `work` is the size of the
  /// request for slow start, in seconds of transfer.
  [[nodiscard]] std::optional<Route> plan(Time now, const PendingRequest& pending, double work);

  /// Builds the attempt for a route. Call it before the attempt is added to `pending.attempts`.
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
  [[nodiscard]] bool is_below_concurrency_limit(std::size_t endpoint) const;

  PlannerDependencies dependencies_;
};

}  // namespace edge_proxy::routing
