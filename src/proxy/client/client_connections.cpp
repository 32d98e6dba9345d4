// SPDX-License-Identifier: MIT
#include "proxy/client/client_connections.h"

#include <algorithm>

namespace edge_proxy::proxy {
namespace {

constexpr int kBusyRank = 4;

}  // namespace

void ClientConnections::on_accepted(ConnectionId connection) {
  ++context_.open_connections;
  ClientConnection front;
  front.protocol = make_thrift_protocol();
  front.opened_at = front.active_at = context_.now;
  front.message_started_at = context_.now;
  // Guards the descriptors that the connections to the caches need.
  const bool full =
      connections_.size() - draining_.size() >= static_cast<std::size_t>(context_.limits.client_connections);
  const std::optional<ConnectionId> other = full ? idlest_connection() : std::nullopt;
  connections_.emplace(connection, std::move(front));
  if (full) drain(other.value_or(connection), CloseReason::too_many);
  while (connections_.size() >
         static_cast<std::size_t>(context_.limits.client_connections + context_.limits.draining_connections))
    close_oldest_draining();
}

/// Guards the clients that ask against those that open connections by the hundred and say nothing: who has
/// said nothing for a while goes first, then the longest idle, which can ask again on a new one. A connection
/// that has only just come up goes late: its first request may be on the way.
std::optional<ConnectionId> ClientConnections::idlest_connection() const {
  const auto rank = [this](const ClientConnection& f) {
    if (f.draining_for || !is_idle(f)) return kBusyRank;
    if (f.has_sent_message) return 2;
    return context_.now - f.opened_at >= kFirstByteTimeout ? 1 : 3;
  };
  const auto worst =
      std::min_element(connections_.begin(), connections_.end(), [&](const auto& a, const auto& b) {
        return std::pair(rank(a.second), a.second.active_at) < std::pair(rank(b.second), b.second.active_at);
      });
  if (worst == connections_.end() || rank(worst->second) == kBusyRank) return std::nullopt;
  return worst->first;
}

void ClientConnections::close_oldest_draining() {
  const ConnectionId oldest = draining_.front();
  close(oldest, *connections_.at(oldest).draining_for, true);
}

void ClientConnections::free_descriptor() {
  if (!draining_.empty()) {
    close_oldest_draining();
  } else if (const auto other = idlest_connection()) {
    close(*other, CloseReason::too_many, true);
  }
}

std::vector<ClientCall> ClientConnections::on_bytes(ConnectionId connection, std::string_view on_bytes) {
  ClientConnection& front = connections_.at(connection);
  if (front.draining_for) {
    // Guards the memory and the time of all against one that goes on sending after it was turned away.
    front.discarded_bytes += on_bytes.size();
    if (front.discarded_bytes > kMaxDiscardedBytes) close(connection, *front.draining_for, true);
    return {};
  }
  front.active_at = context_.now;
  std::vector<ClientCall> calls = front.protocol->feed(on_bytes);
  front.has_sent_message = front.has_sent_message || !calls.empty();
  if (!calls.empty() || front.message_started_at.count() == 0) front.message_started_at = context_.now;
  if (front.has_sent_message && !front.protocol->has_partial_message()) front.message_started_at = Time{0};
  return calls;
}

bool ClientConnections::is_broken(ConnectionId connection) const {
  const auto found = connections_.find(connection);
  return found != connections_.end() && !found->second.draining_for && found->second.protocol->is_broken();
}

ClientProtocol* ClientConnections::protocol(ConnectionId connection) {
  const auto found = connections_.find(connection);
  return found == connections_.end() || found->second.draining_for ? nullptr : found->second.protocol.get();
}

void ClientConnections::reply(ConnectionId connection, std::string bytes) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  ClientConnection& front = found->second;
  front.active_at = context_.now;
  front.unsent_bytes += bytes.size();
  unsent_bytes_ += bytes.size();
  front.is_writing = true;
  context_.write(connection, std::move(bytes));
}

void ClientConnections::on_write_drained(ConnectionId connection) {
  ClientConnection& front = connections_.at(connection);
  front.active_at = context_.now;
  unsent_bytes_ -= front.unsent_bytes;
  front.unsent_bytes = 0;
  front.is_writing = false;
}

bool ClientConnections::is_backed_up(ConnectionId connection) const {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return false;
  return found->second.unsent_bytes > context_.limits.reject_unsent_bytes ||
         found->second.open_calls.size() >= kMaxOpenCalls;
}

bool ClientConnections::has_open_call(ConnectionId connection, CallId tag) const {
  const auto found = connections_.find(connection);
  return found != connections_.end() && found->second.open_calls.count(tag) != 0;
}

std::vector<std::string> ClientConnections::drain(ConnectionId connection, CloseReason reason,
                                                  std::string last) {
  const auto found = connections_.find(connection);
  if (found == connections_.end() || found->second.draining_for) return {};
  if (!last.empty()) reply(connection, std::move(last));
  context_.shutdown_write(connection);
  ClientConnection& front = found->second;
  front.draining_for = reason;
  draining_.push_back(connection);
  front.active_at = context_.now;
  std::vector<std::string> open;
  for (const auto& [tag, request] : std::exchange(front.open_calls, {})) open.push_back(request);
  return open;
}

void ClientConnections::add_open_call(ConnectionId connection, CallId tag, const std::string& request) {
  ClientConnection& front = connections_.at(connection);
  ++front.request_count;
  front.open_calls[tag] = request;
}

std::string ClientConnections::remove_open_call(ConnectionId connection, CallId tag) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return {};
  const auto call = found->second.open_calls.find(tag);
  if (call == found->second.open_calls.end()) return {};
  std::string request = std::move(call->second);
  found->second.open_calls.erase(call);
  return request;
}

std::vector<std::string> ClientConnections::close(ConnectionId connection, CloseReason reason,
                                                  bool close_it) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return {};
  const ClientConnection& front = found->second;
  std::vector<std::string> open;
  for (const auto& [tag, request] : front.open_calls) open.push_back(request);
  unsent_bytes_ -= front.unsent_bytes;
  if (front.draining_for) std::erase(draining_, connection);
  context_.log_closed({"front", connection, front.opened_at, front.request_count, {}},
                      front.draining_for.value_or(reason), close_it);
  connections_.erase(found);
  return open;
}

std::vector<std::string> ClientConnections::close_expired() {
  std::vector<std::pair<ConnectionId, CloseReason>> leave_them, cut_them_off;
  ConnectionId worst = 0;
  std::size_t most = 0;
  for (const auto& [id, front] : connections_) {
    if (front.unsent_bytes > most) {
      most = front.unsent_bytes;
      worst = id;
    }
    const Time unheard = context_.now - front.active_at;
    if (front.draining_for) {
      if (unheard >= kDrainTimeout) cut_them_off.emplace_back(id, *front.draining_for);
    } else if (front.unsent_bytes > context_.limits.disconnect_unsent_bytes ||
               // Guards the descriptors against clients that ask and never read.
               (front.is_writing && front.open_calls.empty() && unheard >= context_.limits.unread_timeout)) {
      cut_them_off.emplace_back(id, CloseReason::backlog);
    } else if (front.message_started_at.count() != 0 && front.open_calls.empty() &&
               context_.now - front.message_started_at >= kMessageTimeout) {
      // Guards the descriptors against clients that say nothing, or half a message, and stay.
      leave_them.emplace_back(id, CloseReason::no_message);
    } else if (is_idle(front) && unheard >= kClientIdle) {
      leave_them.emplace_back(id, CloseReason::idle);
    }
  }
  if (cut_them_off.empty() && unsent_bytes_ > context_.limits.unsent_bytes)
    cut_them_off.emplace_back(worst, CloseReason::backlog);
  std::vector<std::string> open;
  for (const auto& [id, reason] : leave_them) drain(id, reason);
  for (const auto& [id, reason] : cut_them_off) {
    for (std::string& request : close(id, reason, true)) open.push_back(std::move(request));
  }
  return open;
}

void ClientConnections::drain_quiet() {
  for (const auto& [id, front] : connections_) {
    if (!front.draining_for && is_idle(front) &&
        context_.now - front.active_at >= (front.has_sent_message ? kQuietPeriod : kInitialQuietPeriod))
      drain(id, CloseReason::stopping);
  }
}

void ClientConnections::disconnect_idle() {
  std::vector<ConnectionId> due;
  for (const auto& [id, front] : connections_) {
    if (front.open_calls.empty()) due.push_back(id);
  }
  for (const ConnectionId id : due) close(id, CloseReason::stopping, true);
}

}  // namespace edge_proxy::proxy
