// SPDX-License-Identifier: MIT
#include "routing/endpoint_health.h"

#include <algorithm>
#include <utility>

namespace edge_proxy::routing {
namespace {

using namespace std::chrono_literals;

constexpr double kLatencyGain = 0.1;            // weight of a new sample in the relative latency
constexpr double kLatencyRecoveryRatio = 0.05;  // part of the excess over the reference removed per call
constexpr double kErrorRateGain = 0.05;         // weight of a new attempt in the error rate
constexpr int kFailuresToEject = 3;             // consecutive
constexpr Time kMaxEjection = 8s;               // the ejection time doubles up to this maximum
constexpr double kSlowLatencyRatio = 2;         // an endpoint above this multiple of the reference is slow
constexpr double kMinReferenceLatency = 0.05;   // avoids a division by a reference close to zero

}  // namespace

void EndpointHealth::record_latency(double relative_latency) {
  relative_latency_ += kLatencyGain * (std::min(relative_latency, kWorstLatency) - relative_latency_);
}

void EndpointHealth::record_failure(Time now) {
  if (std::exchange(last_failure_at_, now) == now) return;
  ++consecutive_failures_;
  if (consecutive_failures_ < 2) return;
  record_latency(kWorstLatency);
  if (!has_failed_repeatedly()) return;
  ejected_until_ = now + ejection_backoff_;
  ejection_backoff_ = std::min(ejection_backoff_ * 2, kMaxEjection);
}

void EndpointHealth::record_success() {
  consecutive_failures_ = 0;
  ejected_until_ = Time{0};
  ejection_backoff_ = kInitialEjection;
}

void EndpointHealth::record_attempt(bool is_error) {
  error_rate_ += kErrorRateGain * ((is_error ? 1 : 0) - error_rate_);
}

void EndpointHealth::reset_for_restart() {
  relative_latency_ = 0;
  record_success();
}

void EndpointHealth::decay_latency_towards(double reference) {
  relative_latency_ += kLatencyRecoveryRatio * std::min(0.0, reference - relative_latency_);
}

bool EndpointHealth::has_failed_repeatedly() const { return consecutive_failures_ >= kFailuresToEject; }

double EndpointHealth::slowness(double reference) const {
  return std::max(1.0, relative_latency_ / std::max(reference, kMinReferenceLatency) / kSlowLatencyRatio);
}

}  // namespace edge_proxy::routing
