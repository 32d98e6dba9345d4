// SPDX-License-Identifier: MIT
/// @file
/// Adaptive concurrency limit of one endpoint, from which of its responses are in time. Guards against
/// congestion collapse, whatever fills the endpoint's slots: late work, a full link, a slow or overloaded
/// source. Drawback: a few late responses by chance hold back an endpoint that had capacity.
#pragma once

namespace edge_proxy::routing {

class ConcurrencyLimit {
 public:
  /// A response in time while `in_flight` others are out. Raises the limit only where it is in use.
  void increase(int in_flight);

  /// A late response or a rejection. `blame`: how likely this endpoint is its cause, 0 to 1.
  void decrease(double blame = 1);

  /// Whether one request more than `in_flight` meets the limit.
  [[nodiscard]] bool is_reached(int in_flight) const { return in_flight + 1 >= limit_; }

  /// Requests in flight that the endpoint answers in time; 1 at least.
  [[nodiscard]] double value() const { return limit_; }

 private:
  static constexpr double kInitialLimit = 16;

  double limit_ = kInitialLimit;
};

}  // namespace edge_proxy::routing
