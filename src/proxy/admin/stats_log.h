// SPDX-License-Identifier: MIT
/// @file
/// Logs statistics of the attempts and requests of each second, for the analysis of bottlenecks.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "edge_proxy/router.h"
#include "proxy/context.h"
#include "proxy/upstream/upstream_request.h"

namespace edge_proxy::proxy {

/// Counts events for a second and logs the sums at its end.
class StatsLog {
 public:
  /// Numbers of events in the current second.
  struct SecondCounters {
    int accepted = 0;
    int attempts = 0;
    int served = 0;
    int served_locally = 0;
    int rejected = 0;
    int rejected_early = 0;  ///< rejected by the admission checks, without the router
    int failed = 0;
    bool operator==(const SecondCounters&) const = default;
  };
  /// Current values at the time of the log line.
  struct Gauges {
    std::size_t pending_requests = 0;
    std::size_t attempts_in_flight = 0;
    Router::Stats router;
    std::size_t endpoints = 0;
    std::size_t table_entries = 0;  ///< entries in tables other than the router's
    int connections = 0;
  };

  SecondCounters counters;

  /// Counts a completed attempt. An attempt that was not served is also logged, so that its request can be
  /// traced by its id through all proxies. A fault may fail hundreds of attempts per second, so at most
  /// kMaxFailedAttemptLinesPerSecond such lines are written; the sums are not limited.
  void log_attempt(Context& context, const AttemptCompletion& attempt, AttemptResult result);
  /// Logs the sums of the current second and resets them.
  void log_second(Context& context, const Gauges& gauges);

 private:
  using ResultCounts = std::map<AttemptResult, int>;

  void log_requests(Context& context, const Gauges& gauges) const;
  static void log_memory(Context& context, bool had_requests);
  static void log_results(Context& context, const std::string& endpoint, const ResultCounts& counts);

  std::map<std::string, ResultCounts> results_;  // by endpoint
  int failed_attempt_lines_ = 0;
};

}  // namespace edge_proxy::proxy
