// SPDX-License-Identifier: MIT
/// @file
/// The clients' connections: calls in, answers out.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "edge/context.h"
#include "edge/front.h"

namespace dahliahall::edge {

class Fronts {
 public:
  explicit Fronts(Context& context) : context_(context) {}

  void accepted(ConnectionId connection);
  [[nodiscard]] bool owns(ConnectionId connection) const { return fronts_.count(connection) != 0; }
  /// The calls that are whole by now. A stream that broke is still owed the answers to those before.
  std::vector<FrontCall> bytes(ConnectionId connection, std::string_view bytes);
  [[nodiscard]] bool broken(ConnectionId connection) const;

  FrontProtocol* protocol(ConnectionId connection);
  void answer(ConnectionId connection, std::string bytes);
  void drained(ConnectionId connection);
  /// Whether so much waits to be sent there that nothing more should be taken on.
  [[nodiscard]] bool backed_up(ConnectionId connection) const;

  void take(ConnectionId connection, CallTag tag, const std::string& request);
  /// Forgets an open call; the request it stood for, or none.
  std::string release(ConnectionId connection, CallTag tag);

  /// Ends the connection; the requests that were open on it.
  std::vector<std::string> end(ConnectionId connection, CloseReason reason, bool close_it);
  /// Connections that should end, and why.
  std::vector<std::pair<ConnectionId, CloseReason>> overdue() const;
  /// All that owe nothing more.
  std::vector<ConnectionId> quiet() const;
  [[nodiscard]] bool empty() const { return fronts_.empty(); }

 private:
  struct Front {
    std::unique_ptr<FrontProtocol> protocol;
    Time opened{0}, active{0};
    std::uint64_t requests = 0;
    std::size_t unsent = 0;
    bool writing = false;
    std::map<CallTag, std::string> open;
  };

  Context& context_;
  std::map<ConnectionId, Front> fronts_;
  std::size_t unsent_ = 0;
};

}  // namespace dahliahall::edge
