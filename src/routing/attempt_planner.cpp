// SPDX-License-Identifier: MIT
#include "routing/attempt_planner.h"

#include <utility>
#include <vector>

#include "base/hash.h"
#include "routing/settings_queries.h"

namespace edge_proxy::routing {
namespace {

/// Returns the indices of the endpoints (or sources) of the earlier attempts, which the next attempt
/// excludes. An endpoint whose response was malformed is not excluded: it has processed the request, so it
/// has the copy.
std::vector<std::size_t> earlier_indices(const PendingRequest& pending,
                                         std::size_t AttemptRecord::*index_field) {
  std::vector<std::size_t> indices;
  for (const AttemptRecord& attempt : pending.attempts) {
    if (!attempt.is_malformed) indices.push_back(attempt.*index_field);
  }
  return indices;
}

}  // namespace

std::optional<Route> AttemptPlanner::plan(Time now, const PendingRequest& pending, double work) {
  if (!has_attempts_left(now, pending)) return std::nullopt;
  const auto route = runs_at_origin(dependencies_.settings, pending.request)
                         ? plan_at_origin(now, pending, work)
                         : plan_cacheable(now, pending, work);
  if (!route || !dependencies_.safety.may_attempt(now, pending, route->endpoint)) return std::nullopt;
  return route;
}

bool AttemptPlanner::has_attempts_left(Time now, const PendingRequest& pending) const {
  return !pending.is_finished &&
         static_cast<int>(pending.attempts.size()) < dependencies_.settings.max_attempts &&
         now < pending.request.expires - dependencies_.settings.tick;
}

std::optional<Route> AttemptPlanner::plan_at_origin(Time now, const PendingRequest& pending,
                                                    double work) const {
  const auto origin = dependencies_.endpoints.origin();
  const auto endpoint = dependencies_.settings.direct_to_sources ? origin : choose_cache(now, pending, work);
  if (!endpoint || !origin) return std::nullopt;
  return Route{.endpoint = *endpoint, .source = *origin, .work = work};
}

std::optional<Route> AttemptPlanner::plan_cacheable(Time now, const PendingRequest& pending, double work) {
  const auto [source, is_cached_only] = choose_source(now, pending, work);
  auto endpoint = choose_cache(now, pending, work);
  if (!endpoint && dependencies_.settings.direct_to_sources) endpoint = source;
  if (!endpoint) return std::nullopt;
  // Without a source, because none can be selected or the fill is not admitted, the attempt is served only
  // from what the cache holds.
  return Route{.endpoint = *endpoint,
               .source = source.value_or(*endpoint),
               .is_cached_only = is_cached_only,
               .work = work};
}

/// If no parent can be selected, the fill goes to the origin while the origin is below its concurrency limit
/// (late responses lower it): it may have capacity when parents are lost or warming up. If admission denies a
/// fill from the parents, the fill does not go to the origin instead: the origin also serves the parents'
/// misses, and a fill that bypasses the parents leaves no copy for the other locations. A parent may still
/// serve what it has cached.
AttemptPlanner::SourceChoice AttemptPlanner::choose_source(Time now, const PendingRequest& pending,
                                                           double work) {
  const auto origin = dependencies_.endpoints.origin();
  const auto parent =
      dependencies_.selector.select(now, {.role = Role::parent,
                                          .key = splitmix64(pending.request.object),
                                          .work = work,
                                          .excluded = earlier_indices(pending, &AttemptRecord::source),
                                          .capacity_ratio = dependencies_.fills.capacity_ratio(pending)});
  if (parent) {
    if (dependencies_.fills.admit(now, FillKind::parent, pending)) return {.source = parent};
    if (dependencies_.fills.admit(now, FillKind::parent_cached, pending)) {
      return {.source = parent, .is_cached_only = true};
    }
    return {};
  }
  if (origin && is_below_concurrency_limit(*origin) &&
      dependencies_.fills.admit(now, FillKind::origin, pending)) {
    return {.source = origin};
  }
  return {};
}

std::optional<std::size_t> AttemptPlanner::choose_cache(Time now, const PendingRequest& pending,
                                                        double work) const {
  return dependencies_.selector.select(now, {.role = Role::cache,
                                             .key = pending.part_key,
                                             .work = work,
                                             .excluded = earlier_indices(pending, &AttemptRecord::endpoint)});
}

bool AttemptPlanner::is_below_concurrency_limit(std::size_t endpoint) const {
  const EndpointStats& stats = dependencies_.endpoints[endpoint];
  return stats.in_flight < stats.limit.value();
}

Attempt AttemptPlanner::build_attempt(Time now, const PendingRequest& pending, const Route& route) const {
  const Request& request = pending.request;
  const EndpointStats& endpoint = dependencies_.endpoints[route.endpoint];
  const EndpointStats& source = dependencies_.endpoints[route.source];
  const bool is_sent_to_cache = endpoint.role == Role::cache;
  const bool is_rank_uncached = pending.rank == Rank::uncached;
  const bool adds_fill = route.source != route.endpoint && !route.is_cached_only;
  Attempt attempt;
  attempt.request = request.id;
  attempt.endpoint = endpoint.endpoint.id;
  attempt.source = source.endpoint.id;
  attempt.rank = is_sent_to_cache ? pending.rank : Rank::uncached;
  attempt.max_copy_age = dependencies_.copy_age.max_copy_age(
      now, request, adds_fill ? GraceTime::excluded : GraceTime::included);
  attempt.parent_uncached = is_rank_uncached && source.role == Role::parent;
  attempt.stale_while_revalidate =
      is_sent_to_cache && !is_rank_uncached && class_of(dependencies_.settings, request).max_age.count() > 0;
  attempt.join_fill = is_sent_to_cache && !runs_at_origin(dependencies_.settings, request);
  attempt.cached_only = route.is_cached_only;
  attempt.send_within = dependencies_.safety.send_within(now, pending);
  // A parent that receives the attempt itself fills its misses only if the origin is named as its source.
  const auto origin = dependencies_.endpoints.origin();
  if (route.endpoint == route.source && endpoint.role == Role::parent && !attempt.cached_only && origin) {
    attempt.source = dependencies_.endpoints[*origin].endpoint.id;
  }
  return attempt;
}

}  // namespace edge_proxy::routing
