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

#include "proxy/client/client_protocol.h"
#include "proxy/context.h"

namespace edge_proxy::proxy {

class ClientConnections {
 public:
  explicit ClientConnections(Context& context) : context_(context) {}

  void on_accepted(ConnectionId connection);
  [[nodiscard]] bool owns(ConnectionId connection) const { return connections_.count(connection) != 0; }
  /// The calls that are whole by now. A stream that broke is still owed the answers to those before.
  std::vector<ClientCall> on_bytes(ConnectionId connection, std::string_view on_bytes);
  [[nodiscard]] bool is_broken(ConnectionId connection) const;

  ClientProtocol* protocol(ConnectionId connection);
  void reply(ConnectionId connection, std::string bytes);
  void on_write_drained(ConnectionId connection);
  /// Whether so much waits to be sent there that nothing more should be taken on.
  [[nodiscard]] bool is_backed_up(ConnectionId connection) const;

  void add_open_call(ConnectionId connection, CallId tag, const std::string& request);
  /// Forgets an open call; the request it stood for, or none.
  std::string remove_open_call(ConnectionId connection, CallId tag);

  /// Whether the client has an open call under that number.
  [[nodiscard]] bool has_open_call(ConnectionId connection, CallId tag) const;
  /// Ends a connection so that the client can read all that was written, a last answer included; the requests
  /// that were open on it. Every end that is decided here goes this way. Guards answers against the reset
  /// that follows a close over unread bytes: what still comes is thrown away until the client closes too.
  std::vector<std::string> drain(ConnectionId connection, CloseReason reason, std::string last = {});

  /// The connection has ended, or is cut off at once; the requests that were open on it.
  std::vector<std::string> close(ConnectionId connection, CloseReason reason, bool close_it);
  /// Ends what should end by now; the requests that were open there.
  std::vector<std::string> close_expired();
  /// Ends all that owe nothing more and on which nothing has happened for a moment.
  void drain_quiet();
  /// Cuts off all that no answer is owed to, though not all was taken that was written.
  void disconnect_idle();
  /// The system gave no descriptor for a connection: the client that can best be spared makes room at once.
  void free_descriptor();
  [[nodiscard]] bool empty() const { return connections_.empty(); }

 private:
  struct ClientConnection {
    std::unique_ptr<ClientProtocol> protocol;
    Time opened_at{0}, active_at{0};
    Time message_started_at{0};     ///< of a message that is not whole yet; 0: there is none
    bool has_sent_message = false;  ///< a whole message has come
    std::optional<CloseReason> draining_for;
    std::size_t discarded_bytes = 0;
    std::uint64_t request_count = 0;
    std::size_t unsent_bytes = 0;
    bool is_writing = false;
    std::map<CallId, std::string> open_calls;
  };

  [[nodiscard]] static bool is_idle(const ClientConnection& front) {
    return front.open_calls.empty() && !front.is_writing;
  }
  /// The one that makes room for another, if there is one.
  [[nodiscard]] std::optional<ConnectionId> idlest_connection() const;
  void close_oldest_draining();

  Context& context_;
  std::map<ConnectionId, ClientConnection> connections_;
  std::deque<ConnectionId> draining_;  // oldest first
  std::size_t unsent_bytes_ = 0;
};

}  // namespace edge_proxy::proxy
