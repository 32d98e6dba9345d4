// SPDX-License-Identifier: MIT
/// @file
/// Log lines on the attempts and requests of each second, for whoever looks for a bottleneck.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "edge_proxy/router.h"
#include "proxy/context.h"
#include "proxy/upstream/upstream_request.h"

namespace edge_proxy::proxy {

/// Counts through a second and logs the sums at its end.
class StatsLog {
 public:
  /// Events since the last line.
  struct SecondCounters {
    int accepted = 0;
    int attempts = 0;
    int served = 0;
    int served_locally = 0;
    int rejected = 0;
    int rejected_early = 0;  ///< without asking the router
    int failed = 0;
    bool operator==(const SecondCounters&) const = default;
  };
  /// Values at the moment of the line.
  struct Gauges {
    std::size_t pending_requests = 0;
    std::size_t attempts_in_flight = 0;
    Router::Stats router;
    std::size_t endpoints = 0;
    std::size_t table_entries = 0;  ///< beside those of the router
    int connections = 0;
  };

  SecondCounters counters;

  /// Counts an attempt that is over. One that was not served is logged, so that its request can be followed
  /// by its id through all proxies. Guards the log against a fault that ends hundreds of them a second: no
  /// more than kMaxFailedAttemptLinesPerSecond are, and the sums are logged all the same.
  void log_attempt(Context& context, const AttemptCompletion& attempt, AttemptResult result);
  /// Logs the second that is over and starts the next.
  void log_second(Context& context, const Gauges& gauges);

 private:
  using ResultCounts = std::map<AttemptResult, int>;

  void log_requests(Context& context, const Gauges& gauges) const;
  static void log_results(Context& context, const std::string& endpoint, const ResultCounts& counts);

  std::map<std::string, ResultCounts> results_;  // by endpoint
  int failed_attempt_lines_ = 0;
};

}  // namespace edge_proxy::proxy
