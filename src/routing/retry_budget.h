// SPDX-License-Identifier: MIT
/// @file
/// Retry budget and hedge delay. Limits how many retries and hedged requests are sent in addition to first
/// attempts, and defines when an unanswered attempt is hedged. Keeps retries from adding to an overload.
#pragma once

#include <algorithm>

#include "base/time_units.h"
#include "edge_proxy/router.h"

namespace edge_proxy::routing {

class RetryBudget {
 public:
  /// Adds the fraction of a retry that each new request earns.
  void record_request() { retries_ = std::min(kMaxRetries, retries_ + kRetriesPerRequest); }

  [[nodiscard]] bool has_retry() const { return retries_ >= 1; }
  void take_retry() { retries_ -= 1; }

 private:
  static constexpr double kRetriesPerRequest = 0.05;
  static constexpr double kMaxRetries = 2;  // maximum of saved retries

  double retries_ = kMaxRetries;
};

/// Returns how long an attempt may stay unanswered before a hedged request is sent.
[[nodiscard]] inline Time hedge_delay(Time latency_objective) {
  constexpr double kHedgeDelayRatio = 0.6;
  return from_seconds(kHedgeDelayRatio * to_seconds(latency_objective));
}

}  // namespace edge_proxy::routing
