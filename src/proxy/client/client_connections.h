// SPDX-License-Identifier: MIT
/// @file
/// The connections of the clients: parses received bytes into calls and writes replies. Decides which
/// connections are closed because they are idle, have too many unread replies or must make room for new ones.
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
  /// Returns the calls that the bytes complete. On a malformed stream these are the calls before the error,
  /// which are still answered.
  std::vector<ClientCall> on_bytes(ConnectionId id, std::string_view bytes);
  /// Whether the stream can't be parsed any further and the connection is not draining yet.
  [[nodiscard]] bool is_broken(ConnectionId id) const;

  /// Returns null if the connection is closed or draining.
  ClientProtocol* protocol(ConnectionId id);
  void reply(ConnectionId id, std::string bytes);
  void on_write_drained(ConnectionId id);
  /// Whether the client has too many open calls or too many unread bytes for another request to be accepted.
  [[nodiscard]] bool is_backed_up(ConnectionId id) const;
  /// Whether a reply of this size may be held for the client until it reads it. A client that has read all
  /// replies may always get one.
  [[nodiscard]] bool has_room_for_reply(ConnectionId id, std::size_t bytes) const;
  /// Returns the connections with incomplete messages in the order in which they lose them if they take too
  /// much memory: those without an accepted request first, and of these the one whose message has taken the
  /// most memory for the longest time, in byte seconds.
  [[nodiscard]] std::vector<ConnectionId> with_incomplete_message() const;
  /// Discards the incomplete message and reads nothing more from the client. The connection ends only when
  /// the message's time is over, so that clients that connect again and again gain nothing by it. No call may
  /// be open.
  void stop_reading(ConnectionId id);
  /// Returns the requests that are open on the connection.
  [[nodiscard]] std::vector<std::string> open_requests(ConnectionId id) const;
  /// Closes clients until the unread replies are within their memory, the one with most unread bytes first,
  /// but clients without an open call before all others. Returns the requests that were open on them.
  std::vector<std::string> close_excess_readers();

  void add_open_call(ConnectionId id, CallId call, const std::string& request);
  /// Removes an open call and returns the id of its request; empty if there is no such call.
  std::string remove_open_call(ConnectionId id, CallId call);

  [[nodiscard]] bool has_open_call(ConnectionId id, CallId call) const;
  [[nodiscard]] bool has_open_calls(ConnectionId id) const;
  /// Closes a connection in such a way that the client can read everything that was written, including the
  /// last reply. Returns the requests that were open on it. Bytes that still arrive are discarded until the
  /// client closes too: a close with unread bytes would send a reset, which may destroy unread replies.
  /// close() is used instead only for clients that do not read, to free a descriptor and at the end of a
  /// shutdown.
  std::vector<std::string> drain(ConnectionId id, CloseReason reason, std::string last_reply = {});

  /// Removes a connection that the client closed, or closes it at once. Returns the requests that were open
  /// on it.
  std::vector<std::string> close(ConnectionId id, CloseReason reason, ClosedBy closed_by);
  /// Closes the connections whose time limits have expired or whose unread replies exceed a limit. Returns
  /// the requests that were open on those closed at once.
  std::vector<std::string> close_expired();
  /// Drains the connections that have no pending reply and have been inactive for a quiet period.
  void drain_quiet();
  /// Closes all connections without open calls, even if the client has not read all replies.
  void disconnect_idle();
  /// Frees a descriptor after the system had none for a new connection: closes the oldest draining connection
  /// or else the first candidate for eviction at once.
  void free_descriptor();
  [[nodiscard]] bool empty() const { return connections_.empty(); }

 private:
  struct ClientConnection {
    explicit ClientConnection(MemoryAccount& memory)
        : message_memory(memory, MemoryUse::client_messages),
          reply_memory(memory, MemoryUse::client_replies) {}

    std::unique_ptr<ClientProtocol> protocol;  ///< null if nothing more is read
    Time opened_at{0}, active_at{0};
    Time message_started_at{0};  ///< start of the incomplete message, or of the wait for the first; 0: none
    bool has_sent_message = false;  ///< whether a complete message has been received
    std::optional<CloseReason> draining_for;
    std::size_t discarded_bytes = 0;
    std::uint64_t request_count = 0;
    MemoryCharge message_memory;  ///< the incomplete message
    MemoryCharge reply_memory;    ///< the replies that the client has not read
    bool is_writing = false;
    std::map<CallId, std::string> open_calls;
  };

  [[nodiscard]] static bool is_idle(const ClientConnection& client) {
    return client.open_calls.empty() && !client.is_writing;
  }
  enum class CloseMode : std::uint8_t { drain, close };
  /// The reason and the way in which an expired connection is closed.
  struct Expiry {
    CloseReason reason;
    CloseMode mode;
  };
  [[nodiscard]] std::optional<Expiry> expiry_of(const ClientConnection& client) const;
  [[nodiscard]] bool exceeds_unread_limits(const ClientConnection& client, Time inactive) const;
  [[nodiscard]] ConnectionId connection_with_most_unsent() const;
  /// The order of eviction: connections of the lowest rank are closed first.
  [[nodiscard]] int eviction_rank(const ClientConnection& client) const;
  /// Returns the connection to close in favour of a new one; none if all are busy.
  [[nodiscard]] std::optional<ConnectionId> connection_to_evict() const;
  void close_oldest_draining();

  Context& context_;
  std::map<ConnectionId, ClientConnection> connections_;
  std::deque<ConnectionId> draining_;  // oldest first
};

}  // namespace edge_proxy::proxy
