// SPDX-License-Identifier: MIT
/// @file
/// What the parts of the reducer share: the time of this input, the effects so far, timers and connection
/// identifiers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/timer_queue.h"
#include "proxy/reducer.h"
#include "proxy/resource_limits.h"

namespace edge_proxy::proxy {

/// What a timer is for, and which of its fields say what about.
enum class TimerKind {
  router_timer,        ///< a SetTimer of the router's: router_token
  request_expired,     ///< request
  attempt_timeout,     ///< request, attempt
  delayed_completion,  ///< completions that were held back a moment
  connect_timeout,     ///< connection
  sweep,               ///< closes idle and silent connections
  discovery_connect,   ///< opens the connection to the discovery service again
  log_stats,           ///< writes the statistics of the last second to the log
  close_idle,          ///< a step of the graceful shutdown, like those below
  stop_listening,
  stop_serving,
  stop_flushing
};
struct Timer {
  TimerKind kind = TimerKind::sweep;
  std::string request{};
  int attempt = 0;
  ConnectionId connection = 0;
  std::int64_t router_token = 0;

  /// A timer that concerns nothing in particular.
  static Timer of(TimerKind kind) { return {.kind = kind}; }
  static Timer router_timer(std::int64_t token) {
    return {.kind = TimerKind::router_timer, .router_token = token};
  }
  static Timer request_expired(std::string request) {
    return {.kind = TimerKind::request_expired, .request = std::move(request)};
  }
  static Timer attempt_timeout(std::string request, int attempt) {
    return {.kind = TimerKind::attempt_timeout, .request = std::move(request), .attempt = attempt};
  }
  static Timer connect_timeout(ConnectionId connection) {
    return {.kind = TimerKind::connect_timeout, .connection = connection};
  }
};

/// What a connection leaves in the log when it ends.
struct ConnectionRecord {
  std::string_view kind;  ///< front, admin, member or bulletin: as docs/oncall.md lists them
  ConnectionId id = 0;
  Time opened_at{0};
  std::uint64_t request_count = 0;
  std::string endpoint;  ///< of a connection to an endpoint
};

/// Whether a connection's bytes are read before those of all other sockets that are ready.
enum class ReadPriority : std::uint8_t { normal, high };

/// The state that all parts of the reducer share.
struct Context {
  explicit Context(const config::Config& config) : limits(config) {}

  ResourceLimits limits;
  Time now{0};                  ///< of the input that is being handled
  std::vector<Effect> effects;  ///< of that input, so far
  TimerQueue<Timer> timers;
  ConnectionId last_connection_id = 0;  ///< the newest that was opened from here
  int open_connections = 0;             ///< connections open or coming up

  // Each of these adds an effect.
  void log(std::string line);
  void write(ConnectionId connection, std::string bytes);
  /// Opens a connection to an address.
  ConnectionId connect(const std::string& address, ReadPriority priority = ReadPriority::normal);
  void close(ConnectionId connection);
  void drain_and_close(ConnectionId connection);
  void shutdown_write(ConnectionId connection);
  /// The end of a connection: closes it, unless the peer already has, and logs why.
  void log_closed(const ConnectionRecord& record, CloseReason reason, ClosedBy closed_by);
  void log_closed(const ConnectionRecord& record, CloseReason reason, bool close_connection) {
    log_closed(record, reason, close_connection ? ClosedBy::proxy : ClosedBy::peer);
  }
};

}  // namespace edge_proxy::proxy
