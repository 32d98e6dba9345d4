// SPDX-License-Identifier: MIT
/// @file
/// The clients' connections: bytes in, calls out; replies in, bytes out. Which connections are kept, and
/// which end for idleness, for a backlog or to make room, is decided here.
#pragma once

#include <cstdint>
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

  void on_accepted(ConnectionId id);
  [[nodiscard]] bool owns(ConnectionId id) const { return connections_.contains(id); }
  /// The calls that are complete by now. On a malformed stream the calls before the fault are still answered.
  std::vector<ClientCall> on_bytes(ConnectionId id, std::string_view bytes);
  /// Whether its stream can't be read any further, and nothing has been done about it yet.
  [[nodiscard]] bool is_broken(ConnectionId id) const;

  /// None where the connection has ended, or is draining.
  ClientProtocol* protocol(ConnectionId id);
  void reply(ConnectionId id, std::string bytes);
  void on_write_drained(ConnectionId id);
  /// Whether the client has so many open calls, or has left so much unread, that nothing more is accepted.
  [[nodiscard]] bool is_backed_up(ConnectionId id) const;

  void add_open_call(ConnectionId id, CallId call, const std::string& request);
  /// Forgets an open call; the id of its request, or an empty one.
  std::string remove_open_call(ConnectionId id, CallId call);

  /// Whether the client has an open call of that id.
  [[nodiscard]] bool has_open_call(ConnectionId id, CallId call) const;
  /// Ends a connection so that the client can read all that was written, a last reply included; the requests
  /// that were open on it. Every end that is decided here goes this way. Guards replies against the reset
  /// that follows a close over unread bytes: what still comes is discarded until the client closes too.
  std::vector<std::string> drain(ConnectionId id, CloseReason reason, std::string last_reply = {});

  /// The client has closed the connection, or it is closed at once; the requests that were open on it.
  std::vector<std::string> close(ConnectionId id, CloseReason reason, ClosedBy closed_by);
  /// Ends the connections that should have ended by now; the requests that were open there.
  std::vector<std::string> close_expired();
  /// Drains all that are owed no reply and on which nothing has happened for a moment.
  void drain_quiet();
  /// Closes all that are owed no reply, though not all was read that was written.
  void disconnect_idle();
  /// The system gave no descriptor for a connection: the client that can best be spared is closed at once.
  void free_descriptor();
  [[nodiscard]] bool empty() const { return connections_.empty(); }

 private:
  struct ClientConnection {
    std::unique_ptr<ClientProtocol> protocol;
    Time opened_at{0}, active_at{0};
    Time message_started_at{0};     ///< of a message that is not complete yet; 0: there is none
    bool has_sent_message = false;  ///< a complete message has come
    std::optional<CloseReason> draining_for;
    std::size_t discarded_bytes = 0;
    std::uint64_t request_count = 0;
    std::size_t unsent_bytes = 0;
    bool is_writing = false;
    std::map<CallId, std::string> open_calls;
  };

  [[nodiscard]] static bool is_idle(const ClientConnection& client) {
    return client.open_calls.empty() && !client.is_writing;
  }
  /// Why and how a connection should end by now.
  enum class CloseMode : std::uint8_t { drain, close };
  struct Expiry {
    CloseReason reason;
    CloseMode mode;
  };
  [[nodiscard]] std::optional<Expiry> expiry_of(const ClientConnection& client) const;
  [[nodiscard]] bool exceeds_unread_limits(const ClientConnection& client, Time inactive) const;
  [[nodiscard]] ConnectionId connection_with_most_unsent() const;
  /// How well a connection can be spared for a new one: the lowest goes first.
  [[nodiscard]] int eviction_rank(const ClientConnection& client) const;
  /// The one that makes room for another, if there is one.
  [[nodiscard]] std::optional<ConnectionId> connection_to_evict() const;
  void close_oldest_draining();

  Context& context_;
  std::map<ConnectionId, ClientConnection> connections_;
  std::deque<ConnectionId> draining_;  // oldest first
  std::size_t unsent_bytes_ = 0;
};

}  // namespace edge_proxy::proxy
