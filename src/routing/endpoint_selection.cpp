// SPDX-License-Identifier: MIT
#include "routing/endpoint_selection.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"
#include "routing/peer_group.h"
#include "routing/settings_queries.h"

namespace edge_proxy::routing {
namespace {

constexpr double kLoadBound = 4.0;  // maximum requests in flight at a cache, as a multiple of its even share

}  // namespace

std::optional<std::size_t> EndpointSelector::select(Time now, const SelectionQuery& query) const {
  const auto group = endpoints_.running(query.role);
  const double reference = reference_latency(endpoints_, group);
  const Candidates candidates = find_candidates(now, query, group, reference);
  for (const Candidate& candidate : candidates.ordered) {
    const EndpointStats& stats = endpoints_[candidate.index];
    if (stats.in_flight < std::max(1.0, load_bound(stats, query, candidates, reference))) {
      return candidate.index;
    }
  }
  return std::nullopt;
}

EndpointSelector::Candidates EndpointSelector::find_candidates(Time now, const SelectionQuery& query,
                                                               const std::vector<std::size_t>& group,
                                                               double reference) const {
  Candidates candidates;
  for (const std::size_t index : group) {
    EndpointStats& stats = endpoints_[index];
    candidates.share_sum += weight_of(settings_, stats.endpoint) / stats.health.slowness(reference);
    candidates.in_flight += stats.in_flight;
    if (!is_usable(now, stats, query.work)) continue;
    if (std::find(query.excluded.begin(), query.excluded.end(), index) != query.excluded.end()) continue;
    candidates.ordered.push_back({.score = score(stats, query.key, reference), .index = index});
  }
  std::sort(candidates.ordered.begin(), candidates.ordered.end(),
            [](const Candidate& left, const Candidate& right) { return left.score > right.score; });
  return candidates;
}

bool EndpointSelector::is_usable(Time now, EndpointStats& stats, double work) const {
  return stats.is_running() && !stats.health.is_ejected(now) && slow_start_.admits(now, stats, work);
}

/// Weighted rendezvous hashing: the score is -weight / ln(u), where the hash gives u uniform in (0, 1).
/// The weight is divided by the square of the slowness, so that all routers move the same objects away from a
/// slow endpoint.
double EndpointSelector::score(const EndpointStats& stats, std::uint64_t key, double reference) const {
  const double uniform = (top_53_bits(splitmix64(stats.hash ^ key)) + 0.5) / kTwoTo53;
  const double slowness = stats.health.slowness(reference);
  return -weight_of(settings_, stats.endpoint) / (slowness * slowness) / std::log(uniform);
}

double EndpointSelector::load_bound(const EndpointStats& stats, const SelectionQuery& query,
                                    const Candidates& candidates, double reference) const {
  const double slowness = stats.health.slowness(reference);
  if (query.role == Role::parent) return query.capacity_ratio * stats.limit.value() / slowness;
  const double share = weight_of(settings_, stats.endpoint) / slowness / candidates.share_sum;
  return std::min(kLoadBound * (candidates.in_flight + 1) * share, stats.limit.value());
}

}  // namespace edge_proxy::routing
