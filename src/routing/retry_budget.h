// SPDX-License-Identifier: MIT
/// @file
/// Retry budget and hedging delay. Decides how many retries and hedged requests go out beside first attempts,
/// and when a silent attempt is hedged. Guards against retries that add to an overload.
#pragma once

#include <algorithm>

#include "base/time_units.h"
#include "edge_proxy/router.h"

namespace edge_proxy::routing {

class RetryBudget {
 public:
  /// A new request earns a part of a retry.
  void record_request() { retries_ = std::min(kMaxRetries, retries_ + kRetriesPerRequest); }

  [[nodiscard]] bool has_retry() const { return retries_ >= 1; }
  void take_retry() { retries_ -= 1; }

 private:
  static constexpr double kRetriesPerRequest = 0.05;
  static constexpr double kMaxRetries = 2;  // saved up at most

  double retries_ = kMaxRetries;
};

/// Silence of an attempt after which a hedged request goes out.
[[nodiscard]] inline Time hedge_delay(Time latency_objective) {
  constexpr double kHedgeDelayRatio = 0.6;
  return from_seconds(kHedgeDelayRatio * to_seconds(latency_objective));
}

}  // namespace edge_proxy::routing
