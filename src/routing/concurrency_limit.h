// SPDX-License-Identifier: MIT
/// @file
/// Adaptive concurrency limit of one endpoint: responses in time raise it, late responses and rejections
/// lower it. Prevents congestion collapse, no matter what occupies the endpoint: late requests, a full link,
/// or a slow or overloaded source. Drawback: a few late responses by chance restrict an endpoint that has
/// spare capacity.
#pragma once

namespace edge_proxy::routing {

class ConcurrencyLimit {
 public:
  /// Records a response in time, with `in_flight` other requests open. Raises the limit only if at least half
  /// of it is in use.
  void increase(int in_flight);

  /// Records a late response or a rejection. `blame` is the probability that this endpoint caused it, 0 to 1.
  void decrease(double blame = 1);

  /// Whether one request more than `in_flight` reaches the limit.
  [[nodiscard]] bool is_reached(int in_flight) const { return in_flight + 1 >= limit_; }

  /// Number of requests in flight that the endpoint is expected to answer in time; at least 1.
  [[nodiscard]] double value() const { return limit_; }

 private:
  static constexpr double kInitialLimit = 16;

  double limit_ = kInitialLimit;
};

}  // namespace edge_proxy::routing
