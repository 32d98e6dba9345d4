// SPDX-License-Identifier: MIT
/// @file
/// Health of one endpoint: outlier ejection with backoff, relative latency and error rate, from how this
/// router's own attempts at it end. Guards against endpoints that are down, slow, stalled or failing.
#pragma once

#include "edge_proxy/router.h"

namespace edge_proxy::routing {

/// A failure counts as a response at this many times the latency objective; no sample counts for more.
constexpr double kWorstLatency = 3;

class EndpointHealth {
 public:
  /// Takes in a response time divided by the request's latency objective.
  void record_latency(double relative_latency);

  /// A failed connection. What is lost at one moment is one failure, and one alone changes nothing: guards
  /// against ejecting a healthy endpoint for one broken connection that carried several attempts.
  void record_failure(Time now);

  /// A response: ends the ejection and resets its backoff.
  void record_success();

  /// An attempt ended, in an error or otherwise.
  void record_attempt(bool is_error);

  /// The endpoint is a new process: what was learnt of the old one no longer holds.
  void reset_for_restart();

  /// Moves a latency above `reference` towards it. Guards against an endpoint that counts as slow for ever:
  /// it gets few requests and could not show that it has recovered.
  void decay_latency_towards(double reference);

  [[nodiscard]] bool is_ejected(Time now) const { return now < ejected_until_; }
  [[nodiscard]] bool has_failed_repeatedly() const;
  /// Moving mean of the samples; 0 before the first one.
  [[nodiscard]] double relative_latency() const { return relative_latency_; }
  /// Moving share of the attempts that end in an error, 0 to 1.
  [[nodiscard]] double error_rate() const { return error_rate_; }

  /// How many times slower the endpoint is than `reference`, the latency of the healthy endpoints of its
  /// group; 1 unless it is much slower. A fault that all share (a slow origin, a full link) raises the
  /// reference, so that nobody is passed over for it. Drawback: a few late responses by chance move objects
  /// away from a healthy cache, and each of them is a miss at the next one.
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
