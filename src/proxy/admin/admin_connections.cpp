// SPDX-License-Identifier: MIT
#include "proxy/admin/admin_connections.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "proxy/admin/http_status.h"

namespace edge_proxy::proxy {

void AdminConnections::on_accepted(ConnectionId connection) {
  ++context_.open_connections;
  if (is_full()) end(connection_to_evict(), CloseReason::too_many, ClosedBy::proxy);
  connections_.try_emplace(connection, context_.memory).first->second.opened_at = context_.now;
}

bool AdminConnections::is_full() const {
  return connections_.size() >= static_cast<std::size_t>(context_.limits.admin_connections);
}

/// Returns the oldest connection without a complete call, or else the oldest that was answered, or else the
/// oldest: connection ids increase with time. The answer of a complete call may take a while.
ConnectionId AdminConnections::connection_to_evict() const {
  const auto oldest = [this](auto condition) {
    return std::find_if(connections_.begin(), connections_.end(),
                        [condition](const auto& entry) { return condition(entry.second); });
  };
  auto evicted = oldest([](const AdminConnection& connection) {
    return !connection.is_call_complete && !connection.answered_at;
  });
  if (evicted == connections_.end()) {
    evicted = oldest([](const AdminConnection& connection) { return connection.answered_at.has_value(); });
  }
  return evicted != connections_.end() ? evicted->first : connections_.begin()->first;
}

std::optional<AdminCall> AdminConnections::on_bytes(ConnectionId connection, std::string_view bytes) {
  AdminConnection& sender = connections_.at(connection);
  sender.reader.feed(bytes);
  if (!sender.answered_at) sender.memory.set(sender.reader.buffered_bytes());
  if (const auto call = sender.reader.next()) {
    sender.is_call_complete = true;
    return read_admin_call(*call);
  }
  if (sender.reader.is_broken() && !sender.answered_at) reply(connection, kHttpBadRequest, "unreadable\n");
  return std::nullopt;
}

void AdminConnections::reply(ConnectionId connection, int status, std::string_view body) {
  AdminConnection& caller = connections_.at(connection);
  ++caller.call_count;
  caller.answered_at = context_.now;
  std::string response = codec::write_http_response(status, body);
  caller.memory.set(response.size());
  context_.write(connection, std::move(response));
  context_.shutdown_write(connection);
}

void AdminConnections::end(ConnectionId connection, CloseReason reason, ClosedBy closed_by) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  const AdminConnection& closing = found->second;
  context_.log_closed({"admin", connection, closing.opened_at, closing.call_count, {}}, reason, closed_by);
  connections_.erase(found);
}

void AdminConnections::sweep() {
  struct Expired {
    ConnectionId id = 0;
    CloseReason reason = CloseReason::idle;
  };
  std::vector<Expired> expired;
  for (const auto& [id, connection] : connections_) {
    if (const auto reason = expiry_of(connection)) expired.push_back({id, *reason});
  }
  for (const auto& [id, reason] : expired) end(id, reason, ClosedBy::proxy);
}

/// Returns the reason to close the connection; none if it has not expired.
std::optional<CloseReason> AdminConnections::expiry_of(const AdminConnection& connection) const {
  if (connection.answered_at) {
    if (context_.now - *connection.answered_at < kDrainTimeout) return std::nullopt;
    return CloseReason::idle;
  }
  if (context_.now - connection.opened_at < kAdminCallTimeout) return std::nullopt;
  return CloseReason::no_message;
}

void AdminConnections::shed_excess_memory() {
  while (connections_.size() > 1 && context_.memory.is_exceeded(MemoryUse::admin_calls)) {
    end(connection_to_evict(), CloseReason::memory_limit, ClosedBy::proxy);
  }
}

void AdminConnections::stop() {
  while (!connections_.empty()) end(connections_.begin()->first, CloseReason::stopping, ClosedBy::proxy);
}

}  // namespace edge_proxy::proxy
