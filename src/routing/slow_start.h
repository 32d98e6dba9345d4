// SPDX-License-Identifier: MIT
/// @file
/// Slow start: how much work a cache or parent gets that has started a short while ago. Decides from its age,
/// its size or the load of its group, and this router's share of it. Guards against overloading an endpoint
/// before it is warm. Drawback: at low load it holds back more than needed.
#pragma once

#include <cstdint>

#include "edge_proxy/router.h"
#include "routing/endpoint_table.h"

namespace edge_proxy::routing {

class SlowStart {
 public:
  /// `settings` and `endpoints` have to outlive this object. `seed` spreads the routers' first requests.
  SlowStart(const Settings& settings, const EndpointTable& endpoints, std::uint64_t seed)
      : settings_(settings), endpoints_(endpoints), seed_(seed) {}

  /// The router handles its first event at `now`.
  void start(Time now) { started_at_ = now; }

  /// Sets which part of its even share of the budgets this router may use.
  void set_quota(const QuotaChanged& quota) { quota_ = quota; }

  [[nodiscard]] bool is_warming_up(Time now, const EndpointStats& stats) const;

  /// Whether the endpoint's budget has capacity for one more request of `work`, in seconds of transfer.
  [[nodiscard]] bool admits(Time now, EndpointStats& stats, double work) const;

  /// `work` was sent to the endpoint, or a fill of that size asked of it.
  void record_sent(Time now, EndpointStats& stats, double work) const;

  /// An endpoint of the role served `work`.
  void record_served(Role role, double work);

  /// Folds what was served since the last call, one second ago, into the usual load.
  void update_mean_load(Time now);

 private:
  /// The site's rule for the role of an endpoint.
  struct RoleSettings {
    double initial_capacity = 1;
    double overload_factor = 0;
    Time warm_up_time{0};
  };
  /// Work served by the endpoints of a role, in seconds of transfer for each second.
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
