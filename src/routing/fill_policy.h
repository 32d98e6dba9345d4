// SPDX-License-Identifier: MIT
/// @file
/// Which cache fills go to which kind of source. Decides by fill admission (admission/fill_admission.h), kept
/// apart for each kind, from what a fill costs and is expected to score. Guards the location's link, the
/// parents and the origin against more fills than can be in time.
#pragma once

#include <vector>

#include "admission/fill_admission.h"
#include "edge_proxy/router.h"
#include "routing/pending_request.h"

namespace edge_proxy::routing {

/// `none`: the attempt has no source. `parent_cached`: the parent gives only what it has cached.
enum class FillKind { none, parent, origin, parent_cached };

class FillPolicy {
 public:
  /// `settings` has to outlive this object; the number of classes is fixed here.
  explicit FillPolicy(const Settings& settings)
      : settings_(settings), in_time_ratio_by_class_(settings.classes.size(), 1) {}

  /// A new request that may need a fill.
  void record_request(const PendingRequest& pending);

  /// Whether a fill may go out. `kind` is not `none`.
  [[nodiscard]] bool admit(Time now, FillKind kind, const PendingRequest& pending);

  /// Part of a source's concurrency limit that is open to the request's fill. Guards against large fills that
  /// crowd out several small ones of a higher priority. Drawback: a source to which size makes no difference
  /// is used less by the large ones.
  [[nodiscard]] double capacity_ratio(const PendingRequest& pending) const;

  /// Load of the location's link from a load report. Shows what the other routers of the location draw before
  /// anything is late; 0 where it is not reported.
  void record_link_utilization(double utilization);

  // What an attempt tells. It is without a fill where `kind` is `none`.
  void record_attempt_ended(Time now, FillKind kind);
  void record_overdue(FillKind kind);
  void record_cache_miss(FillKind kind);
  void record_rejected(FillKind kind);
  void record_hit(FillKind kind);
  void record_filled(FillKind kind, bool is_in_time, CacheStatus status);

  /// How long a fill took to its first byte, and whether its response was in time.
  void record_fill_time(const PendingRequest& pending, bool is_in_time, Time delay);

 private:
  [[nodiscard]] admission::FillAdmission& admission_for(FillKind kind);
  [[nodiscard]] double expected_value(const PendingRequest& pending) const;

  const Settings& settings_;
  admission::FillAdmission parent_fills_;
  admission::FillAdmission origin_fills_;
  admission::FillAdmission parent_cached_fills_;
  std::vector<double> in_time_ratio_by_class_;  // of the attempts with a source
  double fill_delay_seconds_ = 0;               // to the first byte of a fill, moving mean
  double link_utilization_ = 0;                 // transfers on the link over those that fit
  double mean_work_ = 0;                        // of a request, moving mean
  double mean_value_ = 0;
};

}  // namespace edge_proxy::routing
