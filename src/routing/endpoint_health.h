// SPDX-License-Identifier: MIT
/// @file
/// Health of one endpoint, from the results of this router's own attempts: outlier ejection with backoff,
/// relative latency and error rate. Keeps requests away from endpoints that are down, slow, stalled or
/// failing.
#pragma once

#include "edge_proxy/router.h"

namespace edge_proxy::routing {

/// Relative latency recorded for a failure, and the maximum of any sample, in latency objectives.
constexpr double kWorstLatency = 3;

class EndpointHealth {
 public:
  /// Records a response time, divided by the latency objective of the request.
  void record_latency(double relative_latency);

  /// Records a failed connection. Failures at the same time count as one, and a single failure has no effect:
  /// one broken connection that carried several attempts must not eject a healthy endpoint.
  void record_failure(Time now);

  /// Records a response. Ends the ejection and resets its backoff.
  void record_success();

  /// Updates the error rate with the result of an attempt.
  void record_attempt(bool is_error);

  /// Discards latency and failures of the previous process after the endpoint has restarted.
  void reset_for_restart();

  /// Lowers a relative latency above `reference` towards it. Without this an endpoint could stay classified
  /// as slow forever: it receives too few requests to show that it has recovered.
  void decay_latency_towards(double reference);

  [[nodiscard]] bool is_ejected(Time now) const { return now < ejected_until_; }
  [[nodiscard]] bool has_failed_repeatedly() const;
  /// Moving mean of the recorded relative latencies; 0 before the first one.
  [[nodiscard]] double relative_latency() const { return relative_latency_; }
  /// Moving mean fraction of the attempts that end in an error, 0 to 1.
  [[nodiscard]] double error_rate() const { return error_rate_; }

  /// Returns by what factor the endpoint is slower than tolerated relative to `reference`, the latency of the
  /// healthy endpoints of its role; 1 within the tolerance. A fault that all endpoints share (a slow origin,
  /// a full link) raises the reference, so that no endpoint is avoided for it. Drawback: a few late responses
  /// by chance move objects away from a healthy cache, and each of them is a miss at the next cache.
  [[nodiscard]] double slowness(double reference) const;

 private:
  static constexpr Time kInitialEjection = std::chrono::milliseconds(500);

  double relative_latency_ = 0;
  double error_rate_ = 0;
  int consecutive_failures_ = 0;
  Time last_failure_at_{-1};
  Time ejected_until_{0};
  Time ejection_backoff_{kInitialEjection};
};

}  // namespace edge_proxy::routing
