// SPDX-License-Identifier: MIT
/// @file
/// The connections at the admin address. Each carries one call.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "codec/http_call.h"
#include "proxy/admin/admin_call.h"
#include "proxy/context.h"

namespace edge_proxy::proxy {

/// Parses the calls of the admin connections and writes the responses.
class AdminConnections {
 public:
  explicit AdminConnections(Context& context) : context_(context) {}

  /// Adds a connection. At the limit an old connection is closed first, so that callers that connect and send
  /// nothing cannot hold all descriptors.
  void on_accepted(ConnectionId connection);
  [[nodiscard]] bool owns(ConnectionId connection) const { return connections_.contains(connection); }
  /// Returns the call once it is complete. A malformed call is answered here.
  std::optional<AdminCall> on_bytes(ConnectionId connection, std::string_view bytes);
  /// Writes the response and shuts down the sending side; the caller closes the connection after reading it.
  void reply(ConnectionId connection, int status, std::string_view body);
  /// Removes a connection that the caller closed, or closes it.
  void end(ConnectionId connection, CloseReason reason, ClosedBy closed_by);
  /// Closes connections whose call did not arrive within kAdminCallTimeout, or that the caller did not close
  /// within kDrainTimeout after the response.
  void sweep();
  /// Closes connections until calls and replies are within their memory, unanswered and old ones first; one
  /// connection may always stay.
  void shed_excess_memory();
  void stop();

 private:
  struct AdminConnection {
    explicit AdminConnection(MemoryAccount& account) : memory(account, MemoryUse::admin_calls) {}

    Time opened_at{0};
    std::uint64_t call_count = 0;
    bool is_call_complete = false;
    std::optional<Time> answered_at;
    codec::HttpCallReader reader;
    MemoryCharge memory;  ///< the incomplete call and the unread reply
  };

  [[nodiscard]] bool is_full() const;
  [[nodiscard]] ConnectionId connection_to_evict() const;
  [[nodiscard]] std::optional<CloseReason> expiry_of(const AdminConnection& connection) const;

  Context& context_;
  std::map<ConnectionId, AdminConnection> connections_;
};

}  // namespace edge_proxy::proxy
