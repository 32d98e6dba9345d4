// SPDX-License-Identifier: MIT
/// @file
/// What passed in the last second, in the log, for whoever looks for a jam.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "edge_proxy/router.h"
#include "proxy/context.h"
#include "proxy/upstream/upstream_pool.h"

namespace edge_proxy::proxy {

class StatsLog {
 public:
  /// Since the last line.
  struct SecondCounters {
    int accepted = 0, attempts = 0, served = 0, served_locally = 0, rejected = 0, rejected_early = 0,
        failed = 0;
    bool operator==(const SecondCounters&) const = default;
  };
  /// What is so now.
  struct Gauges {
    std::size_t pending_requests = 0, attempts_in_flight = 0;
    Router::Stats router;
    std::size_t endpoints = 0, table_entries = 0;  ///< kept: beside what the module keeps
    int connections = 0;
  };

  SecondCounters counters;

  /// An attempt is over. One line where it ended wrong, so that its request can be followed by its id through
  /// all proxies. Guards the log against a trouble that ends hundreds of them a second: the sums are told all
  /// the same.
  void log_attempt(Context& context, const AttemptCompletion& log_attempt, AttemptResult ending);
  /// The lines of the second that is over.
  void log_second(Context& context, const Gauges& now);

 private:
  std::map<std::string, std::map<AttemptResult, int>> results_;  // by member
  int failed_attempt_lines_ = 0;
};

}  // namespace edge_proxy::proxy
