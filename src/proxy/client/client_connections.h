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
#include "proxy/client/reply_backlog.h"
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
  /// Writes a reply. A call that is not an open one has no reservation: its reply is a `ReplyTo::other_call`.
  void reply(ConnectionId id, std::string bytes, ReplyTo call);
  /// The system has taken all bytes that were written to the client.
  void on_write_drained(ConnectionId id);
  /// The system has taken some of them.
  void on_write_progressed(ConnectionId id, std::size_t bytes);
  /// Whether the client has too many open calls or too many unread bytes for another request to be accepted.
  [[nodiscard]] bool is_backed_up(ConnectionId id) const;
  /// Whether memory for a reply of this size can be reserved for the client. A client without an open call
  /// may use more of it, so that clients with many requests are rejected before others.
  [[nodiscard]] bool can_reserve_reply(ConnectionId id, std::size_t bytes) const;
  /// Whether the reply to an open call may have this size: it is within the call's reservation, or there is
  /// memory for the rest.
  [[nodiscard]] bool has_room_for_reply(ConnectionId id, CallId call, std::size_t bytes) const;
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
  /// Closes clients that have stopped reading, the one that has read nothing for the longest time first,
  /// until all that peers hold is within the memory limit. Clients that go on reading keep their answers, for
  /// which memory was reserved. Returns the requests that were open on the closed ones.
  std::vector<std::string> close_stalled_readers();
  /// Records that a request was rejected since its reply might not fit: clients that have stopped reading are
  /// disconnected earlier until the next sweep.
  void on_reply_memory_short() { is_reply_memory_short_ = true; }

  /// `reply_bytes`: the memory that is reserved for the reply until the call is removed.
  void add_open_call(ConnectionId id, CallId call, const std::string& request, std::size_t reply_bytes);
  /// Removes an open call with its reservation and returns the id of its request; empty if there is no such
  /// call.
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
  struct OpenCall {
    std::string request;
    std::size_t reply_bytes = 0;  ///< reserved for the reply
  };
  struct ClientConnection {
    explicit ClientConnection(MemoryAccount& memory)
        : message_memory(memory, MemoryUse::client_messages), replies(memory) {}

    std::unique_ptr<ClientProtocol> protocol;  ///< null if nothing more is read
    Time opened_at{0}, active_at{0};
    Time message_started_at{0};  ///< start of the incomplete message, or of the wait for the first; 0: none
    bool has_sent_message = false;  ///< whether a complete message has been received
    std::optional<CloseReason> draining_for;
    std::size_t discarded_bytes = 0;
    std::uint64_t request_count = 0;
    MemoryCharge message_memory;  ///< the incomplete message
    ReplyBacklog replies;
    std::map<CallId, OpenCall> open_calls;
  };

  [[nodiscard]] static bool is_idle(const ClientConnection& client) {
    return client.open_calls.empty() && !client.replies.is_writing();
  }
  enum class CloseMode : std::uint8_t { drain, close };
  /// The reason and the way in which an expired connection is closed.
  struct Expiry {
    CloseReason reason;
    CloseMode mode;
  };
  [[nodiscard]] std::optional<Expiry> expiry_of(const ClientConnection& client) const;
  [[nodiscard]] std::optional<CloseReason> unread_limit_exceeded(const ClientConnection& client,
                                                                 Time inactive) const;
  [[nodiscard]] std::optional<ConnectionId> longest_stalled_reader() const;
  [[nodiscard]] std::string unread_details(const ClientConnection& client) const;
  /// The order of eviction: connections of the lowest rank are closed first.
  [[nodiscard]] int eviction_rank(const ClientConnection& client) const;
  /// Returns the connection to close in favour of a new one; none if all are busy.
  [[nodiscard]] std::optional<ConnectionId> connection_to_evict() const;
  void close_oldest_draining();

  Context& context_;
  std::map<ConnectionId, ClientConnection> connections_;
  std::deque<ConnectionId> draining_;  // oldest first
  bool is_reply_memory_short_ = false;
};

}  // namespace edge_proxy::proxy
