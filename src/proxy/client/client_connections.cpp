// SPDX-License-Identifier: MIT
#include "proxy/client/client_connections.h"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace edge_proxy::proxy {
namespace {

// Ranks of connections in the order of eviction; see eviction_rank().
constexpr int kNotReadRank = 0;
constexpr int kNeverUsedRank = 1;
constexpr int kIdleRank = 2;
constexpr int kNewRank = 3;
constexpr int kBusyRank = 4;  // never evicted

}  // namespace

void ClientConnections::on_accepted(ConnectionId id) {
  ++context_.open_connections;
  ClientConnection client(context_.memory);
  client.protocol = make_thrift_protocol();
  client.opened_at = client.active_at = context_.now;
  client.message_started_at = context_.now;
  // The limit keeps descriptors free for the connections to the caches.
  const bool is_full =
      connections_.size() - draining_.size() >= static_cast<std::size_t>(context_.limits.client_connections);
  const std::optional<ConnectionId> evicted = is_full ? connection_to_evict() : std::nullopt;
  connections_.emplace(id, std::move(client));
  if (is_full) drain(evicted.value_or(id), CloseReason::too_many);
  const auto max_connections =
      static_cast<std::size_t>(context_.limits.client_connections + context_.limits.draining_connections);
  while (connections_.size() > max_connections) close_oldest_draining();
}

/// Clients that open hundreds of connections without sending anything must not displace those that send
/// requests. Connections that are not read any more are evicted first, then those without a message after
/// kFirstByteTimeout, then idle ones, the longest idle first, since their clients can reconnect. New
/// connections are evicted last, since their first request may be in transit.
int ClientConnections::eviction_rank(const ClientConnection& client) const {
  if (client.draining_for || !is_idle(client)) return kBusyRank;
  if (client.protocol == nullptr) return kNotReadRank;
  if (client.has_sent_message) return kIdleRank;
  return context_.now - client.opened_at >= kFirstByteTimeout ? kNeverUsedRank : kNewRank;
}

std::optional<ConnectionId> ClientConnections::connection_to_evict() const {
  const auto is_evicted_before = [this](const auto& one, const auto& other) {
    return std::pair(eviction_rank(one.second), one.second.active_at) <
           std::pair(eviction_rank(other.second), other.second.active_at);
  };
  const auto candidate = std::min_element(connections_.begin(), connections_.end(), is_evicted_before);
  if (candidate == connections_.end() || eviction_rank(candidate->second) == kBusyRank) return std::nullopt;
  return candidate->first;
}

void ClientConnections::close_oldest_draining() {
  const ConnectionId oldest = draining_.front();
  close(oldest, *connections_.at(oldest).draining_for, ClosedBy::proxy);
}

void ClientConnections::free_descriptor() {
  if (!draining_.empty()) {
    close_oldest_draining();
  } else if (const auto evicted = connection_to_evict()) {
    close(*evicted, CloseReason::too_many, ClosedBy::proxy);
  }
}

std::vector<ClientCall> ClientConnections::on_bytes(ConnectionId id, std::string_view bytes) {
  ClientConnection& client = connections_.at(id);
  if (client.protocol == nullptr) {
    // A client that keeps sending on a draining connection would use up memory and processing time.
    client.discarded_bytes += bytes.size();
    if (client.discarded_bytes > kMaxDiscardedBytes) close(id, CloseReason::memory_limit, ClosedBy::proxy);
    return {};
  }
  client.active_at = context_.now;
  std::vector<ClientCall> calls = client.protocol->feed(bytes);
  client.message_memory.set(client.protocol->buffered_bytes());
  client.has_sent_message = client.has_sent_message || !calls.empty();
  if (!calls.empty() || client.message_started_at.count() == 0) client.message_started_at = context_.now;
  if (client.has_sent_message && !client.protocol->has_partial_message()) client.message_started_at = Time{0};
  return calls;
}

bool ClientConnections::is_broken(ConnectionId id) const {
  const auto found = connections_.find(id);
  return found != connections_.end() && found->second.protocol != nullptr &&
         found->second.protocol->is_broken();
}

ClientProtocol* ClientConnections::protocol(ConnectionId id) {
  const auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : found->second.protocol.get();
}

void ClientConnections::reply(ConnectionId id, std::string bytes, ReplyTo call) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  ClientConnection& client = found->second;
  client.active_at = context_.now;
  client.replies.add(bytes.size(), call, context_.now);
  context_.write(id, std::move(bytes));
}

void ClientConnections::on_write_drained(ConnectionId id) {
  ClientConnection& client = connections_.at(id);
  client.active_at = context_.now;
  client.replies.on_drained();
}

void ClientConnections::on_write_progressed(ConnectionId id, std::size_t bytes) {
  ClientConnection& client = connections_.at(id);
  client.active_at = context_.now;
  client.replies.on_progress(bytes, context_.now);
}

bool ClientConnections::is_backed_up(ConnectionId id) const {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return false;
  return found->second.replies.unread_bytes() > context_.limits.reject_unsent_bytes ||
         found->second.open_calls.size() >= kMaxOpenCallsPerConnection;
}

bool ClientConnections::can_reserve_reply(ConnectionId id, std::size_t bytes) const {
  const MemoryAccount& memory = context_.memory;
  const ClientConnection& client = connections_.at(id);
  if (client.open_calls.empty()) {
    return memory.has_room_for(MemoryUse::client_replies, bytes, kFirstRequestMemoryMultiple);
  }
  const std::size_t free = memory.free_bytes() - std::min(memory.free_bytes(), bytes);
  return memory.has_room_for(MemoryUse::client_replies, bytes) &&
         client.replies.held_bytes() + bytes <= kMaxClientRepliesToFreeMemory * free;
}

bool ClientConnections::has_room_for_reply(ConnectionId id, CallId call, std::size_t bytes) const {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return true;
  const auto open_call = found->second.open_calls.find(call);
  if (open_call == found->second.open_calls.end()) return true;
  const std::size_t reserved = open_call->second.reply_bytes;
  return bytes <= reserved || context_.memory.has_room_for(MemoryUse::client_replies, bytes - reserved,
                                                           kFirstRequestMemoryMultiple);
}

bool ClientConnections::has_open_call(ConnectionId id, CallId call) const {
  const auto found = connections_.find(id);
  return found != connections_.end() && found->second.open_calls.contains(call);
}

bool ClientConnections::has_open_calls(ConnectionId id) const {
  const auto found = connections_.find(id);
  return found != connections_.end() && !found->second.open_calls.empty();
}

std::vector<std::string> ClientConnections::drain(ConnectionId id, CloseReason reason,
                                                  std::string last_reply) {
  const auto found = connections_.find(id);
  if (found == connections_.end() || found->second.draining_for) return {};
  if (!last_reply.empty()) reply(id, std::move(last_reply), ReplyTo::other_call);
  context_.shutdown_write(id);
  ClientConnection& client = found->second;
  client.draining_for = reason;
  client.protocol.reset();  // no further message is read
  client.message_memory.set(0);
  draining_.push_back(id);
  client.active_at = context_.now;
  std::vector<std::string> open_requests;
  for (const auto& [id_of_call, call] : std::exchange(client.open_calls, {})) {
    client.replies.release(call.reply_bytes);
    open_requests.push_back(call.request);
  }
  return open_requests;
}

void ClientConnections::add_open_call(ConnectionId id, CallId call, const std::string& request,
                                      std::size_t reply_bytes) {
  ClientConnection& client = connections_.at(id);
  ++client.request_count;
  client.open_calls[call] = {request, reply_bytes};
  client.replies.reserve(reply_bytes);
}

std::string ClientConnections::remove_open_call(ConnectionId id, CallId call) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return {};
  auto& open_calls = found->second.open_calls;
  const auto open_call = open_calls.find(call);
  if (open_call == open_calls.end()) return {};
  std::string request = std::move(open_call->second.request);
  found->second.replies.release(open_call->second.reply_bytes);
  open_calls.erase(open_call);
  return request;
}

std::vector<std::string> ClientConnections::close(ConnectionId id, CloseReason reason, ClosedBy closed_by) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return {};
  const ClientConnection& client = found->second;
  std::vector<std::string> open_requests;
  for (const auto& [call_id, call] : client.open_calls) open_requests.push_back(call.request);
  if (client.draining_for) std::erase(draining_, id);
  context_.log_closed({"front", id, client.opened_at, client.request_count, {}, unread_details(client)},
                      client.draining_for.value_or(reason), closed_by);
  connections_.erase(found);
  return open_requests;
}

std::vector<std::string> ClientConnections::close_expired() {
  std::vector<std::pair<ConnectionId, CloseReason>> to_drain;
  std::vector<std::pair<ConnectionId, CloseReason>> to_close;
  for (const auto& [id, client] : connections_) {
    const std::optional<Expiry> expiry = expiry_of(client);
    if (!expiry) continue;
    auto& expired = expiry->mode == CloseMode::drain ? to_drain : to_close;
    expired.emplace_back(id, expiry->reason);
  }
  for (const auto& [id, reason] : to_drain) drain(id, reason);
  std::vector<std::string> open_requests;
  is_reply_memory_short_ = false;
  for (const auto& [id, reason] : to_close) {
    for (std::string& request : close(id, reason, ClosedBy::proxy)) {
      open_requests.push_back(std::move(request));
    }
  }
  return open_requests;
}

std::optional<ClientConnections::Expiry> ClientConnections::expiry_of(const ClientConnection& client) const {
  const Time inactive = context_.now - client.active_at;
  if (client.draining_for) {
    if (inactive < kDrainTimeout) return std::nullopt;
    return Expiry{*client.draining_for, CloseMode::close};
  }
  if (const auto reason = unread_limit_exceeded(client, inactive)) return Expiry{*reason, CloseMode::close};
  // Clients that send nothing or an incomplete message must not hold descriptors.
  const bool awaits_message = client.message_started_at.count() != 0 && client.open_calls.empty();
  if (awaits_message && context_.now - client.message_started_at >= kMessageTimeout) {
    return Expiry{client.protocol == nullptr ? CloseReason::memory_limit : CloseReason::no_message,
                  CloseMode::drain};
  }
  if (is_idle(client) && inactive >= kClientIdleTimeout) return Expiry{CloseReason::idle, CloseMode::drain};
  return std::nullopt;
}

/// Clients that send requests but never read the replies must not hold memory and descriptors. Replies to
/// accepted requests are bounded by their reservations, so that only others can be too many.
std::optional<CloseReason> ClientConnections::unread_limit_exceeded(const ClientConnection& client,
                                                                    Time inactive) const {
  if (client.replies.unreserved_bytes() > kMaxUnreservedReplyBytes) return CloseReason::backlog;
  const Time stalled = client.replies.stalled_for(context_.now);
  if (is_reply_memory_short_ && stalled >= kStalledReaderTimeout) return CloseReason::memory_limit;
  const bool is_waiting = client.replies.is_writing() && client.open_calls.empty();
  if (is_waiting && inactive >= context_.limits.unread_timeout) return CloseReason::backlog;
  return std::nullopt;
}

std::optional<ConnectionId> ClientConnections::longest_stalled_reader() const {
  const auto longest =
      std::max_element(connections_.begin(), connections_.end(), [this](const auto& one, const auto& other) {
        return one.second.replies.stalled_for(context_.now) < other.second.replies.stalled_for(context_.now);
      });
  if (longest == connections_.end()) return std::nullopt;
  if (longest->second.replies.stalled_for(context_.now) < kStalledReaderTimeout) return std::nullopt;
  return longest->first;
}

std::vector<std::string> ClientConnections::close_stalled_readers() {
  std::vector<std::string> open_requests;
  while (context_.memory.is_over_limit()) {
    const std::optional<ConnectionId> id = longest_stalled_reader();
    if (!id) break;
    for (std::string& request : close(*id, CloseReason::memory_limit, ClosedBy::proxy)) {
      open_requests.push_back(std::move(request));
    }
  }
  return open_requests;
}

/// Returns the fields of the log that show whether the client was still reading.
std::string ClientConnections::unread_details(const ClientConnection& client) const {
  if (!client.replies.is_writing()) return {};
  const auto stalled =
      std::chrono::duration_cast<std::chrono::milliseconds>(client.replies.stalled_for(context_.now));
  return " unread_bytes=" + std::to_string(client.replies.unread_bytes()) +
         " open=" + std::to_string(client.open_calls.size()) +
         " stalled_ms=" + std::to_string(stalled.count());
}

std::vector<ConnectionId> ClientConnections::with_incomplete_message() const {
  struct Holder {
    bool has_requests;
    double byte_seconds;
    ConnectionId id;
  };
  std::vector<Holder> holders;
  for (const auto& [id, client] : connections_) {
    if (client.protocol == nullptr || !client.protocol->has_partial_message()) continue;
    const std::chrono::duration<double> age = context_.now - client.message_started_at;
    const auto bytes = static_cast<double>(client.message_memory.bytes());
    holders.push_back({client.request_count > 0, bytes * age.count(), id});
  }
  std::sort(holders.begin(), holders.end(), [](const Holder& one, const Holder& other) {
    return std::tuple(one.has_requests, -one.byte_seconds, one.id) <
           std::tuple(other.has_requests, -other.byte_seconds, other.id);
  });
  std::vector<ConnectionId> ids;
  ids.reserve(holders.size());
  for (const Holder& holder : holders) ids.push_back(holder.id);
  return ids;
}

void ClientConnections::stop_reading(ConnectionId id) {
  ClientConnection& client = connections_.at(id);
  client.protocol.reset();
  client.message_memory.set(0);
  context_.stop_reading(id);
}

std::vector<std::string> ClientConnections::open_requests(ConnectionId id) const {
  std::vector<std::string> requests;
  const auto found = connections_.find(id);
  if (found == connections_.end()) return requests;
  for (const auto& [call_id, call] : found->second.open_calls) requests.push_back(call.request);
  return requests;
}

void ClientConnections::drain_quiet() {
  for (const auto& [id, client] : connections_) {
    if (!client.draining_for && is_idle(client) &&
        context_.now - client.active_at >= (client.has_sent_message ? kQuietPeriod : kInitialQuietPeriod)) {
      drain(id, CloseReason::stopping);
    }
  }
}

void ClientConnections::disconnect_idle() {
  std::vector<ConnectionId> without_open_calls;
  for (const auto& [id, client] : connections_) {
    if (client.open_calls.empty()) without_open_calls.push_back(id);
  }
  for (const ConnectionId id : without_open_calls) close(id, CloseReason::stopping, ClosedBy::proxy);
}

}  // namespace edge_proxy::proxy
