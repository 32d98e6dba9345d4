// SPDX-License-Identifier: MIT
/// @file
/// The results of health checks that have not been reported to the router yet.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "codec/cache_lines.h"
#include "edge_proxy/router.h"

namespace edge_proxy::proxy {

/// A first-in, first-out queue of results.
class HealthCheckResults {
 public:
  /// Returns a unique tag that identifies the response to the next health check.
  [[nodiscard]] std::string next_tag();
  /// Adds the result of a health check to which the endpoint responded after `duration`.
  void add_response(const std::string& endpoint, const codec::CacheResponse& response, Time duration);
  /// Adds one failed health check for each duration.
  void add_failures(const std::string& endpoint, const std::vector<Time>& durations);
  /// Removes and returns the oldest result.
  [[nodiscard]] std::optional<HealthChecked> take();

 private:
  std::deque<HealthChecked> results_;
  std::uint64_t last_tag_ = 0;
};

}  // namespace edge_proxy::proxy
