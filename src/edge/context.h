// SPDX-License-Identifier: MIT
/// @file
/// What the parts of the reducer share: the time of this input, the effects so far, timers and connection
/// ids.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "edge/bounds.h"
#include "edge/reducer.h"
#include "timer_queue.h"

namespace dahliahall::edge {

enum class Due {
  module_wake,      // a Wake of the module's
  request_expired,  // id: the request
  attempt_timeout,  // id, number: the attempt
  late_ending,      // an ending that was held back a moment
  connect_timeout,  // connection
  sweep,            // idle and silent connections
  bulletin_connect,
  tell_load,  // a line in the log
  end_idle,
  stop_listening,
  stop_serving,
  stop_writing
};
struct Timer {
  Due what = Due::sweep;
  std::string id;
  int number = 0;
  ConnectionId connection = 0;
};

/// What a connection leaves in the log when it ends.
struct ConnectionRecord {
  std::string_view kind;  ///< front, member or bulletin
  ConnectionId id = 0;
  Time opened{0};
  std::uint64_t requests = 0;
  std::string member;  ///< of a member's connection
};

struct Context {
  explicit Context(const config::Config& config) : bounds(config) {}

  Bounds bounds;
  Time now{0};
  std::vector<Effect> effects;
  TimerQueue<Timer> timers;
  ConnectionId last_connection = 0;  ///< that was opened from here
  int sockets = 0;                   ///< connections open or coming up

  void log(std::string line);
  void write(ConnectionId connection, std::string bytes);
  ConnectionId connect(const std::string& address, bool first = false);
  void close(ConnectionId connection);
  void close_when_read(ConnectionId connection);
  void finish(ConnectionId connection);
  /// The end of a connection: closes it, unless the other side already has, and logs why.
  void ended(const ConnectionRecord& record, CloseReason reason, bool close_it);
};

}  // namespace dahliahall::edge
