// SPDX-License-Identifier: MIT
/// @file
/// State that the parts of the reducer share: the time of the current input, its effects so far, the timers
/// and the connection identifiers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/timer_queue.h"
#include "proxy/memory_account.h"
#include "proxy/reducer.h"
#include "proxy/resource_limits.h"

namespace edge_proxy::proxy {

/// The purpose of a timer. The comments name the fields of Timer that it uses.
enum class TimerKind {
  router_timer,        ///< a SetTimer of the router; uses router_token
  request_expired,     ///< uses request
  attempt_timeout,     ///< uses request and attempt
  delayed_completion,  ///< handles completions that were delayed
  connect_timeout,     ///< uses connection
  sweep,               ///< closes idle and silent connections
  discovery_connect,   ///< reconnects to the discovery service
  log_stats,           ///< writes the statistics of the last second to the log
  close_idle,          ///< this step and the following ones belong to the graceful shutdown
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

  /// Returns a timer whose kind uses no other field.
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

/// The data of a connection that is logged when it closes.
struct ConnectionRecord {
  std::string_view kind;  ///< front, admin, member or bulletin; docs/oncall.md describes them
  ConnectionId id = 0;
  Time opened_at{0};
  std::uint64_t request_count = 0;
  std::string endpoint;   ///< set for a connection to an endpoint
  std::string details{};  ///< further fields, each after a space
};

/// The bytes of connections with priority `high` are read before those of all other ready sockets.
enum class ReadPriority : std::uint8_t { normal, high };

/// The state that all parts of the reducer share.
struct Context {
  explicit Context(const config::Config& config) : limits(config), memory(limits.peer_memory_bytes) {}

  ResourceLimits limits;
  MemoryAccount memory;         ///< memory held on behalf of peers
  Time now{0};                  ///< time of the current input
  std::vector<Effect> effects;  ///< effects of the current input so far
  TimerQueue<Timer> timers;
  ConnectionId last_connection_id = 0;  ///< the newest connection that the reducer opened
  int open_connections = 0;             ///< open connections and connections being opened

  // Each of the following functions adds effects.
  void log(std::string line);
  void write(ConnectionId connection, std::string bytes);
  ConnectionId connect(const std::string& address, ReadPriority priority = ReadPriority::normal);
  void close(ConnectionId connection);
  void drain_and_close(ConnectionId connection);
  void shutdown_write(ConnectionId connection);
  void stop_reading(ConnectionId connection);
  /// Closes a connection, unless the peer has already closed it, and logs the reason.
  void log_closed(const ConnectionRecord& record, CloseReason reason, ClosedBy closed_by);
};

}  // namespace edge_proxy::proxy
