// SPDX-License-Identifier: MIT
#include "routing/slow_start.h"

#include <algorithm>

#include "base/hash.h"
#include "base/time_units.h"
#include "routing/settings_queries.h"

namespace edge_proxy::routing {
namespace {

using namespace std::chrono_literals;

constexpr double kBudgetUtilization = 0.7;  // part of the budget that this router uses
// The same, while the process that this router replaces may still be sending.
constexpr double kHandoverBudgetUtilization = 0.3;
constexpr Time kHandoverTime = 4s;     // since the start of this router
constexpr double kMeanLoadGain = 0.1;  // weight of the newest second in the mean load
constexpr double kMinWeightSum = 1e-3;

}  // namespace

SlowStart::RoleSettings SlowStart::settings_for(Role role) const {
  if (role == Role::parent) {
    return {.initial_capacity = settings_.parent_initial_capacity,
            .overload_factor = settings_.parent_overload_factor,
            .warm_up_time = settings_.parent_warm_up_time};
  }
  return {.initial_capacity = settings_.initial_capacity,
          .overload_factor = settings_.overload_factor,
          .warm_up_time = settings_.warm_up_time};
}

bool SlowStart::is_warming_up(Time now, const EndpointStats& stats) const {
  const Time started = stats.endpoint.started;
  return started.count() != 0 && now - started < settings_for(stats.role).warm_up_time;
}

bool SlowStart::admits(Time now, EndpointStats& stats, double work) const {
  if (!is_warming_up(now, stats)) return true;
  const double current_budget = budget(now, stats);
  if (current_budget >= work) {
    return stats.warm_up_work.sum(now, settings_.overload_window) + work <= current_budget;
  }
  if (current_budget <= 0) return false;
  return admits_spaced_request(now, stats, work, current_budget);
}

/// Returns this router's share of the load that the endpoint would have after warm-up: a share of its
/// capacity if the endpoint list states it, else a share of the work that endpoints of its role have recently
/// served for this router. Requested work is no measure: it may far exceed what the endpoints can serve.
double SlowStart::load_share(const EndpointStats& stats) const {
  const bool is_parent = stats.role == Role::parent;
  const double weight = weight_of(settings_, stats.endpoint);
  if (has_endpoint_sizes(settings_)) {
    return weight / std::max(1, is_parent ? settings_.router_count : routers_in_zone(settings_));
  }
  double weight_sum = 0;
  for (const std::size_t index : endpoints_.running(stats.role)) {
    weight_sum += weight_of(settings_, endpoints_[index].endpoint);
  }
  return (is_parent ? parents_ : caches_).mean * weight / std::max(weight_sum, kMinWeightSum);
}

/// Returns the work that may be sent within the overload window: the load share, times the minimum part of
/// its capacity that the endpoint has at its age, times its overload factor, reduced by a margin.
double SlowStart::budget(Time now, const EndpointStats& stats) const {
  const RoleSettings role_settings = settings_for(stats.role);
  const double initial_capacity = role_settings.initial_capacity;
  const double age =
      std::max(0.0, to_seconds(now - stats.endpoint.started) / to_seconds(role_settings.warm_up_time));
  double load = load_share(stats);
  load *= stats.role == Role::parent ? quota_.parent_share : quota_.cache_share;
  const double utilization =
      now - started_at_ < kHandoverTime ? kHandoverBudgetUtilization : kBudgetUtilization;
  return utilization * role_settings.overload_factor * (initial_capacity + (1 - initial_capacity) * age) *
         load * to_seconds(settings_.overload_window);
}

/// A budget of less than one request per overload window allows one request in a longer interval, with an
/// offset that differs between routers. Otherwise hundreds of routers would send nothing until the endpoint
/// counts as warm, and then all of them would send at the same time.
bool SlowStart::admits_spaced_request(Time now, const EndpointStats& stats, double work,
                                      double budget) const {
  const double warm_up = to_seconds(settings_for(stats.role).warm_up_time);
  const Time interval =
      from_seconds(std::min(to_seconds(settings_.overload_window) * work / budget, warm_up));
  const double phase = top_53_bits(splitmix64(stats.hash ^ seed_)) / kTwoTo53;
  const Time started = stats.endpoint.started;
  const Time last_sent = stats.last_sent_in_warm_up_at;
  const Time min_wait = last_sent < started ? from_seconds(phase * to_seconds(interval)) : interval;
  return now - std::max(last_sent, started) >= min_wait;
}

void SlowStart::record_sent(Time now, EndpointStats& stats, double work) const {
  if (!is_warming_up(now, stats)) return;
  stats.warm_up_work.add(now, work);
  stats.last_sent_in_warm_up_at = now;
}

void SlowStart::record_served(Role role, double work) {
  if (role == Role::cache) caches_.current_second += work;
  if (role == Role::parent) parents_.current_second += work;
}

void SlowStart::update_mean_load(Time now) {
  // While most endpoints of a role are warming up, or fail although they are listed, the served work doesn't
  // show their capacity. If the mean followed it, the budgets would drop to zero after a restart of all
  // endpoints.
  if (is_mostly_warm(now, Role::cache)) {
    caches_.mean += kMeanLoadGain * (caches_.current_second - caches_.mean);
  }
  if (is_mostly_warm(now, Role::parent)) {
    parents_.mean += kMeanLoadGain * (parents_.current_second - parents_.mean);
  }
  caches_.current_second = 0;
  parents_.current_second = 0;
}

bool SlowStart::is_mostly_warm(Time now, Role role) const {
  const auto group = endpoints_.running(role);
  const auto warm =
      static_cast<std::size_t>(std::count_if(group.begin(), group.end(), [this, now](std::size_t index) {
        const EndpointStats& stats = endpoints_[index];
        return !is_warming_up(now, stats) && !stats.health.has_failed_repeatedly();
      }));
  return warm > 0 && 2 * warm >= group.size();
}

}  // namespace edge_proxy::routing
