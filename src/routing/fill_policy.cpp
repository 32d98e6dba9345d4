// SPDX-License-Identifier: MIT
#include "routing/fill_policy.h"

#include <algorithm>

#include "base/time_units.h"
#include "routing/settings_queries.h"

namespace edge_proxy::routing {
namespace {

using admission::FillAdmission;

constexpr double kMeanGain = 0.02;                // weight of a new request in the moving means
constexpr double kLowValueCapacityRatio = 0.5;    // for fills with a value below the mean for their size
constexpr double kLinkUtilizationGain = 0.3;      // weight of the newest load report
constexpr double kLinkOverloadUtilization = 1.5;  // fewer fills are admitted above this utilization
constexpr double kMinValue = 1e-6;                // avoids a division by zero in the cost

}  // namespace

void FillPolicy::record_request(const PendingRequest& pending) {
  mean_work_ += kMeanGain * (pending.work - mean_work_);
  mean_value_ += kMeanGain * (expected_value(pending) - mean_value_);
}

/// Returns the expected score of a fill. Classes with a short latency objective score little while the source
/// is slow, because few of their fills are in time.
double FillPolicy::expected_value(const PendingRequest& pending) const {
  return class_of(settings_, pending.request).priority_weight *
         in_time_ratio_by_class_[class_index(pending.request)];
}

bool FillPolicy::admit(Time now, FillKind kind, const PendingRequest& pending) {
  const double cost = (pending.work + fill_delay_seconds_) / std::max(expected_value(pending), kMinValue);
  const double max_ratio = kLinkOverloadUtilization / std::max(link_utilization_, kLinkOverloadUtilization);
  return admission_for(kind).admit(now, cost, max_ratio);
}

double FillPolicy::capacity_ratio(const PendingRequest& pending) const {
  const double value = expected_value(pending);
  const bool is_low_value =
      value * (mean_work_ + fill_delay_seconds_) < mean_value_ * (pending.work + fill_delay_seconds_);
  return is_low_value ? kLowValueCapacityRatio : 1;
}

void FillPolicy::record_link_utilization(double utilization) {
  link_utilization_ += kLinkUtilizationGain * (utilization - link_utilization_);
}

void FillPolicy::record_attempt_ended(Time now, FillKind kind) {
  for (FillAdmission* fills : {&parent_fills_, &origin_fills_, &parent_cached_fills_}) fills->decay(now);
  if (kind == FillKind::none || kind == FillKind::parent_cached) {
    parent_fills_.record_cached();
    origin_fills_.record_cached();
  }
  if (kind == FillKind::none) {
    parent_cached_fills_.record_cached();
  } else {
    admission_for(kind).record_source_asked();
  }
}

void FillPolicy::record_overdue(FillKind kind) {
  if (kind == FillKind::none || kind == FillKind::parent_cached) {
    parent_fills_.record_cached_timeout();
    origin_fills_.record_cached_timeout();
  }
  if (kind == FillKind::none) {
    parent_cached_fills_.record_cached_timeout();
  } else {
    admission_for(kind).record_timeout();
  }
}

void FillPolicy::record_cache_miss(FillKind kind) {
  if (kind == FillKind::none) parent_cached_fills_.record_denied();
  parent_fills_.record_denied();
  origin_fills_.record_denied();
}

void FillPolicy::record_rejected(FillKind kind) { admission_for(kind).record_rejected(); }

void FillPolicy::record_hit(FillKind kind) { admission_for(kind).record_hit(); }

void FillPolicy::record_filled(FillKind kind, bool is_in_time, CacheStatus status) {
  if (is_in_time) admission_for(kind).record_in_time();
  if (kind == FillKind::parent_cached || status == CacheStatus::filled_by_origin) return;
  // If the response is late although the origin was not involved, then the link or the parent is overloaded,
  // and fills from the parents' caches would be late as well.
  if (is_in_time) {
    parent_cached_fills_.record_in_time();
  } else {
    parent_cached_fills_.record_rejected();
  }
}

void FillPolicy::record_fill_time(const PendingRequest& pending, bool is_in_time, Time delay) {
  double& in_time_ratio = in_time_ratio_by_class_[class_index(pending.request)];
  in_time_ratio += kMeanGain * ((is_in_time ? 1 : 0) - in_time_ratio);
  // A full link slows large fills most, so that only small fills show the delay of the source.
  if (pending.work < mean_work_) {
    fill_delay_seconds_ += kMeanGain * (to_seconds(delay) - fill_delay_seconds_);
  }
}

FillAdmission& FillPolicy::admission_for(FillKind kind) {
  if (kind == FillKind::parent_cached) return parent_cached_fills_;
  return kind == FillKind::origin ? origin_fills_ : parent_fills_;
}

}  // namespace edge_proxy::routing
