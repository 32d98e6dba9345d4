// SPDX-License-Identifier: MIT
/// @file
/// Slow start: limits the work sent to a cache or parent that has started recently. The limit follows from
/// the age of the endpoint, its capacity or the load of its role, and this router's share of it. Prevents
/// overload of an endpoint that is warming up. Drawback: at low load the limit is stricter than needed.
#pragma once

#include <cstdint>

#include "edge_proxy/router.h"
#include "routing/endpoint_table.h"

namespace edge_proxy::routing {

class SlowStart {
 public:
  /// `settings` and `endpoints` must outlive this object. `seed` desynchronizes the first requests that
  /// different routers send to a new endpoint.
  SlowStart(const Settings& settings, const EndpointTable& endpoints, std::uint64_t seed)
      : settings_(settings), endpoints_(endpoints), seed_(seed) {}

  /// Sets the time of the router's first event, from which the handover time runs.
  void start(Time now) { started_at_ = now; }

  /// Sets the part of its even share of the budgets that this router may use.
  void set_quota(const QuotaChanged& quota) { quota_ = quota; }

  [[nodiscard]] bool is_warming_up(Time now, const EndpointStats& stats) const;

  /// Whether the endpoint's budget allows one more request of `work`, in seconds of transfer.
  [[nodiscard]] bool admits(Time now, EndpointStats& stats, double work) const;

  /// Records `work` sent to the endpoint, as an attempt or as a fill of that size.
  void record_sent(Time now, EndpointStats& stats, double work) const;

  /// Records `work` served by an endpoint of the role.
  void record_served(Role role, double work);

  /// Updates the mean loads with the work served since the last call. Must be called once per second.
  void update_mean_load(Time now);

 private:
  /// The slow start settings for endpoints of one role.
  struct RoleSettings {
    double initial_capacity = 1;
    double overload_factor = 0;
    Time warm_up_time{0};
  };
  /// Work served by the endpoints of a role, in seconds of transfer per second.
  struct ServedLoad {
    double current_second = 0;
    double mean = 0;
  };

  [[nodiscard]] RoleSettings settings_for(Role role) const;
  [[nodiscard]] double load_share(const EndpointStats& stats) const;
  [[nodiscard]] double budget(Time now, const EndpointStats& stats) const;
  [[nodiscard]] bool admits_spaced_request(Time now, const EndpointStats& stats, double work,
                                           double budget) const;
  [[nodiscard]] bool is_mostly_warm(Time now, Role role) const;

  const Settings& settings_;
  const EndpointTable& endpoints_;
  std::uint64_t seed_;
  Time started_at_{0};
  QuotaChanged quota_;
  ServedLoad caches_;
  ServedLoad parents_;
};

}  // namespace edge_proxy::routing
