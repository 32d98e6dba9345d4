// SPDX-License-Identifier: MIT
/// @file
/// The results of health checks, until the reducer takes them for the router.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "codec/cache_lines.h"
#include "edge_proxy/router.h"

namespace edge_proxy::proxy {

/// A queue of results, the oldest first.
class HealthCheckResults {
 public:
  /// A tag by which the response to the next health check is recognized; none is used twice.
  [[nodiscard]] std::string next_tag();
  /// The endpoint responded, `duration` after the health check was sent.
  void add_response(const std::string& endpoint, const codec::CacheResponse& response, Time duration);
  /// One failed health check for each duration.
  void add_failures(const std::string& endpoint, const std::vector<Time>& durations);
  /// Takes out the oldest result.
  [[nodiscard]] std::optional<HealthChecked> take();

 private:
  std::deque<HealthChecked> results_;
  std::uint64_t last_tag_ = 0;
};

}  // namespace edge_proxy::proxy
