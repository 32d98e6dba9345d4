// SPDX-License-Identifier: MIT
/// @file
/// The connections at the admin address: one call each.
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

/// Reads calls from the admin connections and writes the answers.
class AdminConnections {
 public:
  explicit AdminConnections(Context& context) : context_(context) {}

  /// Guards the descriptors against callers that connect and send nothing: the oldest connection makes room
  /// for a new one.
  void on_accepted(ConnectionId connection);
  [[nodiscard]] bool owns(ConnectionId connection) const { return connections_.contains(connection); }
  /// The call, once it is complete. One that can't be read is answered here.
  std::optional<AdminCall> on_bytes(ConnectionId connection, std::string_view bytes);
  /// Writes the answer; the connection ends once the other side has read it.
  void reply(ConnectionId connection, int status, std::string_view body);
  /// The connection ends; `close_connection`: this side closes it.
  void end(ConnectionId connection, CloseReason reason, bool close_connection);
  /// Closes connections whose call did not come in kAdminCallTimeout, or whose answer was not taken in
  /// kDrainTimeout.
  void sweep();
  /// Closes all connections.
  void stop();

 private:
  struct AdminConnection {
    Time opened_at{0};
    std::uint64_t call_count = 0;
    std::optional<Time> answered_at;
    codec::HttpCallReader reader;
  };

  [[nodiscard]] bool is_full() const;
  [[nodiscard]] ConnectionId connection_to_evict() const;
  [[nodiscard]] std::optional<CloseReason> expiry_of(const AdminConnection& connection) const;

  Context& context_;
  std::map<ConnectionId, AdminConnection> connections_;
};

}  // namespace edge_proxy::proxy
