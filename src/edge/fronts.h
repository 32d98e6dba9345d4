// SPDX-License-Identifier: MIT
/// @file
/// The clients' connections: calls in, answers out.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
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

  /// Whether the client has an open call under that number.
  [[nodiscard]] bool has_open(ConnectionId connection, CallTag tag) const;
  /// Ends a connection so that the client can read all that was written, a last answer included; the requests
  /// that were open on it. Every end that is decided here goes this way. Guards answers against the reset
  /// that follows a close over unread bytes: what still comes is thrown away until the client closes too.
  std::vector<std::string> leave(ConnectionId connection, CloseReason reason, std::string last = {});

  /// The connection has ended, or is cut off at once; the requests that were open on it.
  std::vector<std::string> end(ConnectionId connection, CloseReason reason, bool close_it);
  /// Ends what should end by now; the requests that were open there.
  std::vector<std::string> sweep();
  /// Ends all that owe nothing more and on which nothing has happened for a moment.
  void leave_quiet();
  /// Cuts off all that no answer is owed to, though not all was taken that was written.
  void cut_off_unowed();
  /// The system gave no descriptor for a connection: the client that can best be spared makes room at once.
  void make_room();
  [[nodiscard]] bool empty() const { return fronts_.empty(); }

 private:
  struct Front {
    std::unique_ptr<FrontProtocol> protocol;
    Time opened{0}, active{0};
    Time begun{0};         ///< of a message that is not whole yet; 0: there is none
    bool greeted = false;  ///< a whole message has come
    std::optional<CloseReason> leaving;
    std::size_t discarded = 0;
    std::uint64_t requests = 0;
    std::size_t unsent = 0;
    bool writing = false;
    std::map<CallTag, std::string> open;
  };

  [[nodiscard]] static bool idle(const Front& front) { return front.open.empty() && !front.writing; }
  /// The one that makes room for another, if there is one.
  [[nodiscard]] std::optional<ConnectionId> idlest() const;
  void end_oldest_leaving();

  Context& context_;
  std::map<ConnectionId, Front> fronts_;
  std::deque<ConnectionId> leaving_;  // oldest first
  std::size_t unsent_ = 0;
};

}  // namespace dahliahall::edge
