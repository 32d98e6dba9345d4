// SPDX-License-Identifier: MIT
/// @file
/// Decides which cache fills are sent to which kind of source. Each kind has its own fill admission
/// (admission/fill_admission.h), which weighs the cost of a fill against its expected score. Protects the
/// location's link, the parents and the origin against more fills than can complete in time.
#pragma once

#include <vector>

#include "admission/fill_admission.h"
#include "edge_proxy/router.h"
#include "routing/pending_request.h"

namespace edge_proxy::routing {

/// The source of a fill. `none`: the attempt has no fill. `parent_cached`: the parent serves only from its
/// cache.
enum class FillKind { none, parent, origin, parent_cached };

class FillPolicy {
 public:
  /// `settings` must outlive this object. The number of request classes is fixed at construction.
  explicit FillPolicy(const Settings& settings)
      : settings_(settings), in_time_ratio_by_class_(settings.classes.size(), 1) {}

  /// Records a new request that may need a fill.
  void record_request(const PendingRequest& pending);

  /// Whether a fill may be sent. `kind` must not be `none`.
  [[nodiscard]] bool admit(Time now, FillKind kind, const PendingRequest& pending);

  /// Returns the part of a source's concurrency limit that the request's fill may use. Prevents a large fill
  /// from displacing several small fills of higher priority. Drawback: large fills use less of a source whose
  /// speed doesn't depend on the size.
  [[nodiscard]] double capacity_ratio(const PendingRequest& pending) const;

  /// Records the utilization of the location's link from a load report. It reveals the traffic of the other
  /// routers of the location before responses become late. It stays 0 if it is not reported.
  void record_link_utilization(double utilization);

  // Results of attempts. `kind` is `none` for an attempt without a fill.
  void record_attempt_ended(Time now, FillKind kind);
  void record_overdue(FillKind kind);
  void record_cache_miss(FillKind kind);
  void record_rejected(FillKind kind);
  void record_hit(FillKind kind);
  void record_filled(FillKind kind, bool is_in_time, CacheStatus status);

  /// Records the time until the first byte of a fill, and whether the response was in time.
  void record_fill_time(const PendingRequest& pending, bool is_in_time, Time delay);

 private:
  [[nodiscard]] admission::FillAdmission& admission_for(FillKind kind);
  [[nodiscard]] double expected_value(const PendingRequest& pending) const;

  const Settings& settings_;
  admission::FillAdmission parent_fills_;
  admission::FillAdmission origin_fills_;
  admission::FillAdmission parent_cached_fills_;
  std::vector<double> in_time_ratio_by_class_;  // moving mean over attempts with a source
  double fill_delay_seconds_ = 0;               // moving mean of the time to the first byte
  double link_utilization_ = 0;                 // transfers on the link divided by its capacity
  double mean_work_ = 0;                        // moving mean over requests
  double mean_value_ = 0;
};

}  // namespace edge_proxy::routing
