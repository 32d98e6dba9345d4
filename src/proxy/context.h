// SPDX-License-Identifier: MIT
/// @file
/// What the parts of the reducer share: the time of this input, the effects so far, timers and connection
/// ids.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/timer_queue.h"
#include "proxy/reducer.h"
#include "proxy/resource_limits.h"

namespace edge_proxy::proxy {

enum class TimerKind {
  router_timer,        // a Wake of the module's
  request_expired,     // id: the request
  attempt_timeout,     // id, number: the attempt
  delayed_completion,  // an ending that was held back a moment
  connect_timeout,     // connection
  sweep,               // idle and silent connections
  discovery_connect,
  log_stats,  // a line in the log
  close_idle,
  stop_listening,
  stop_serving,
  stop_flushing
};
struct Timer {
  TimerKind kind = TimerKind::sweep;
  std::string request;
  int attempt = 0;
  ConnectionId connection = 0;
};

/// What a connection leaves in the log when it ends.
struct ConnectionRecord {
  std::string_view kind;  ///< front, member or bulletin
  ConnectionId id = 0;
  Time opened_at{0};
  std::uint64_t request_count = 0;
  std::string endpoint;  ///< of a member's connection
};

struct Context {
  explicit Context(const config::Config& config) : limits(config) {}

  ResourceLimits limits;
  Time now{0};
  std::vector<Effect> effects;
  TimerQueue<Timer> timers;
  ConnectionId last_connection_id = 0;  ///< that was opened from here
  int open_connections = 0;             ///< connections open or coming up

  void log(std::string line);
  void write(ConnectionId connection, std::string bytes);
  ConnectionId connect(const std::string& address, bool high_priority = false);
  void close(ConnectionId connection);
  void drain_and_close(ConnectionId connection);
  void shutdown_write(ConnectionId connection);
  /// The end of a connection: closes it, unless the other side already has, and logs why.
  void log_closed(const ConnectionRecord& record, CloseReason reason, bool close_it);
};

}  // namespace edge_proxy::proxy
