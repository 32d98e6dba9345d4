// SPDX-License-Identifier: MIT
#include "proxy/upstream/upstream_pool.h"

#include <algorithm>
#include <utility>

namespace edge_proxy::proxy {
namespace {

using namespace std::chrono_literals;

/// An idle connection is closed this long before the endpoint would close it.
constexpr Time kIdleCloseMargin = 2s;
/// Delay of the completion of an attempt that the proxy ended. The attempt counts as in flight until the
/// endpoint has read the cancel, since the next attempt uses another connection and could arrive before it.
constexpr Time kCancelDelay = 10ms;

AttemptResult result_of(codec::CacheResponseStatus status) {
  using codec::CacheResponseStatus;
  switch (status) {
    case CacheResponseStatus::hit:
    case CacheResponseStatus::not_modified:
      return AttemptResult::served;
    case CacheResponseStatus::not_found:
      return AttemptResult::cache_miss;
    case CacheResponseStatus::shed:
      return AttemptResult::shed;
    case CacheResponseStatus::expired:
      return AttemptResult::not_sent;
    default:
      return AttemptResult::error;
  }
}

bool is_health_response(codec::CacheResponseStatus status) {
  return status == codec::CacheResponseStatus::healthy || status == codec::CacheResponseStatus::unhealthy;
}

}  // namespace

UpstreamPool::UpstreamPool(Context& context, const config::Config& config,
                           std::function<bool(const std::string&)> is_pending)
    : context_(context),
      connect_timeout_(config.connect_timeout),
      idle_timeout_(std::max(config.connection_idle - kIdleCloseMargin, config.connection_idle / 2)),
      max_requests_per_connection_(static_cast<std::size_t>(config.requests_per_connection)),
      supports_cancel_(config.settings.cancellation),
      is_pending_(std::move(is_pending)),
      endpoint_memory_(context.memory, MemoryUse::endpoints),
      attempts_(context.memory),
      written_by_class_(config.settings.classes.size()) {}

// ---- Endpoints ----

void UpstreamPool::apply(const codec::EndpointUpdate& update) {
  if (update.is_complete) endpoints_.mark_all_removed();
  for (const codec::ListedEndpoint& listed : update.endpoints) {
    if (endpoints_.is_replaced_by(listed)) {
      retire_connections(listed.endpoint.id, CloseReason::endpoint_replaced);
    }
    endpoints_.update(listed);
  }
  for (const std::string& id : endpoints_.removed()) retire_connections(id, CloseReason::endpoint_left);
  for (auto& [id, connection] : connections_) drop_stale_queued(connection);
  for (const ConnectionId id : connection_ids()) {
    close_if_writing(id, [this](const UpstreamRequest& request) { return !can_send(request); });
  }
  // The connections of removed endpoints are closed or being drained, and all attempts on them end with them.
  endpoints_.erase_removed();
  endpoint_memory_.set(endpoints_.size() * kEndpointBytes);
}

/// Closes the connections to an endpoint whose process is gone or was replaced. The list is read before other
/// sockets, so that responses of that process may have arrived and be unread: connections that may hold such
/// responses are drained first. An attempt that is not written completely can't have a response.
void UpstreamPool::retire_connections(const std::string& endpoint, CloseReason reason) {
  EndpointTable::Entry& entry = *endpoints_.find(endpoint);
  for (const ConnectionId id : std::set(entry.connections)) {
    UpstreamConnection& connection = connections_.at(id);
    if (!connection.may_hold_unread_answers()) {
      close(id, reason, ClosedBy::proxy);
      continue;
    }
    entry.connections.erase(id);
    connection.retire(reason);
    for (const AttemptKey& key : std::deque(connection.queued_attempts())) {
      complete(key, AttemptResult::not_sent);
    }
    context_.drain_and_close(id);
  }
}

bool UpstreamPool::can_send(const UpstreamRequest& request) const {
  return endpoints_.accepts_attempts(request.endpoint) && endpoints_.accepts_attempts(request.source);
}

void UpstreamPool::invalidate(const codec::Invalidation& invalidation) {
  attempts_.apply(invalidation, context_.now);
  for (const ConnectionId id : connection_ids()) {
    close_if_writing(id, [&invalidation](const UpstreamRequest& request) {
      return is_invalidated_by(request, invalidation);
    });
  }
}

// ---- Attempts ----

void UpstreamPool::start_attempt(UpstreamRequest request) {
  const AttemptKey key{request.request, request.attempt};
  const Time expires_at = request.expires_at;
  std::optional<ConnectionId> id;
  if (can_send(request) && expires_at > context_.now) id = connection_for(request.endpoint, request.request);
  attempts_.add(key, {.request = std::move(request), .connection = id});
  if (!id) {
    // The cause may be a lack of descriptors, which is no failure of the endpoint.
    complete(key, AttemptResult::not_sent);
    return;
  }
  context_.timers.add(expires_at, {TimerKind::attempt_timeout, key.request, key.attempt, 0});
  connections_.at(*id).queue_attempt(key);
  write_next(*id);
}

void UpstreamPool::cancel_attempt(const std::string& request, int number) {
  abandon_attempt({request, number}, AttemptResult::cancelled);
}

void UpstreamPool::time_out_attempt(const std::string& request, int number) {
  abandon_attempt({request, number}, AttemptResult::timed_out);
}

/// The timer may be that of an attempt of an earlier request with the same id.
void UpstreamPool::on_attempt_timeout(const AttemptKey& key) {
  const OutstandingAttempt* attempt = attempts_.find(key);
  if (attempt != nullptr && attempt->request.expires_at <= context_.now) {
    abandon_attempt(key, AttemptResult::timed_out);
  }
}

void UpstreamPool::abandon_attempt(const AttemptKey& key, AttemptResult result) {
  const OutstandingAttempt* attempt = attempts_.find(key);
  if (attempt == nullptr) return;
  if (!attempt->is_written) {
    complete(key, AttemptResult::not_sent);
    return;
  }
  const ConnectionId id = attempt->connection.value();
  connections_.at(id).abandon_open_attempt(key.request, supports_cancel_);
  if (result == AttemptResult::cancelled) {
    complete(key, result);
  } else {
    complete_later(key, result);
  }
  write_next(id);
}

/// Whether a queued attempt must not be written any more: its endpoint or source is no longer running, its
/// client no longer waits, or its time limit has passed. The limit keeps a retry with an idempotency key
/// within the deduplication window.
bool UpstreamPool::is_stale(const UpstreamRequest& request) const {
  return is_past_send_limit(request, context_.now) || !is_pending_(request.request) || !can_send(request);
}

/// Completes stale queued attempts as `not_sent`.
void UpstreamPool::drop_stale_queued(UpstreamConnection& connection) {
  std::vector<AttemptKey> stale;
  for (const AttemptKey& key : connection.queued_attempts()) {
    if (is_stale(attempts_.at(key).request)) stale.push_back(key);
  }
  for (const AttemptKey& key : stale) complete(key, AttemptResult::not_sent);
}

/// Closes the connection if the attempt that is being written on it must not be sent any more. An endpoint
/// that does not read for a while could otherwise start the attempt much later, after a drain or an
/// invalidation. The other attempts on the connection are lost.
void UpstreamPool::close_if_writing(ConnectionId id, const RequestPredicate& is_stale) {
  const auto key = connections_.at(id).attempt_being_written();
  if (!key) return;
  const OutstandingAttempt* attempt = attempts_.find(*key);
  if (attempt != nullptr && is_stale(attempt->request)) close(id, CloseReason::stalled, ClosedBy::proxy);
}

/// Removes the attempt from the table and from its connection; returns none if it has already ended.
std::optional<AttemptCompletion> UpstreamPool::end_attempt(const AttemptKey& key, AttemptResult result) {
  const OutstandingAttempt* attempt = attempts_.find(key);
  if (attempt == nullptr) return std::nullopt;
  if (attempt->connection) detach(key, *attempt);
  return attempts_.remove(key, result, context_.now);
}

/// Removes the attempt from its connection if that is still open.
void UpstreamPool::detach(const AttemptKey& key, const OutstandingAttempt& attempt) {
  const auto connection = connections_.find(*attempt.connection);
  if (connection == connections_.end()) return;
  if (attempt.is_written) {
    connection->second.remove_open_attempt(key.request);
    charge_received_bytes(connection->second);
  } else {
    connection->second.remove_queued_attempt(key);
  }
}

void UpstreamPool::complete(const AttemptKey& key, AttemptResult result, codec::CacheResponse response) {
  auto completion = end_attempt(key, result);
  if (!completion) return;
  completion->response = std::move(response);
  attempts_.add_completion(std::move(*completion));
}

/// Completes an attempt that the proxy ended, after kCancelDelay.
void UpstreamPool::complete_later(const AttemptKey& key, AttemptResult result) {
  auto completion = end_attempt(key, result);
  if (!completion) return;
  attempts_.add_delayed_completion(std::move(*completion));
  context_.timers.add(context_.now + kCancelDelay, {TimerKind::delayed_completion, {}, 0, 0});
}

std::size_t UpstreamPool::table_entries() const {
  std::size_t entries = attempts_in_flight();
  for (const auto& [id, connection] : connections_) entries += connection.table_entries();
  return entries;
}

bool UpstreamPool::take_completion(AttemptCompletion& completion) {
  auto oldest = attempts_.take_completion();
  if (oldest) completion = std::move(*oldest);
  return oldest.has_value();
}

// ---- Health checks ----

void UpstreamPool::check_health(const std::string& endpoint) {
  std::optional<ConnectionId> id;
  if (endpoints_.accepts_attempts(endpoint)) id = connection_for(endpoint, {});
  if (!id) {
    health_checks_.add_failures(endpoint, {Time{0}});
    return;
  }
  connections_.at(*id).queue_health_check(health_checks_.next_tag(), context_.now);
  write_next(*id);
}

bool UpstreamPool::take_health_result(HealthChecked& result) {
  auto oldest = health_checks_.take();
  if (oldest) result = std::move(*oldest);
  return oldest.has_value();
}

// ---- Opening and writing ----

std::optional<ConnectionId> UpstreamPool::connection_for(const std::string& endpoint,
                                                         const std::string& request) {
  EndpointTable::Entry& entry = *endpoints_.find(endpoint);
  const auto [best, should_open_another] = select_connection(
      entry.connections, connections_, {request, max_requests_per_connection_, context_.now});
  if (!should_open_another || !can_open_connection(entry)) return best;
  // An idle connection is closed for a new one only if no existing connection can take the attempt.
  if (!has_free_connection() && (best || !close_longest_idle())) return best;
  const ConnectionId opened = open_connection(entry);
  return best.value_or(opened);
}

bool UpstreamPool::can_open_connection(const EndpointTable::Entry& endpoint) const {
  return endpoint.connections.size() <
         max_connections_per_endpoint(context_.limits.upstream_connections, endpoints_.connected_count());
}

bool UpstreamPool::has_free_connection() const {
  return connections_.size() < static_cast<std::size_t>(context_.limits.upstream_connections);
}

ConnectionId UpstreamPool::open_connection(EndpointTable::Entry& endpoint) {
  const ConnectionId id = context_.connect(endpoint.address);
  connections_.try_emplace(id, endpoint.endpoint.id, context_.now, context_.memory);
  endpoint.connections.insert(id);
  context_.timers.add(context_.now + connect_timeout_, {TimerKind::connect_timeout, {}, 0, id});
  return id;
}

/// Starts the next write after the previous one has drained. An attempt counts as sent from its first byte
/// on; queued attempts can still be dropped because of drains, invalidations and disconnected clients.
void UpstreamPool::write_next(ConnectionId id) {
  UpstreamConnection& connection = connections_.at(id);
  if (!connection.can_write()) return;
  drop_stale_queued(connection);
  std::string bytes = connection.take_commands();
  bytes += take_attempt_bytes(connection);
  if (bytes.empty()) return;
  connection.on_write_started(bytes.size(), context_.now);
  context_.write(id, std::move(bytes));
}

/// Returns the bytes of the connection's next attempt, which counts as written from now on; empty if none is
/// queued.
std::string UpstreamPool::take_attempt_bytes(UpstreamConnection& connection) {
  const auto key = connection.take_queued_attempt(context_.now);
  if (!key) return {};
  OutstandingAttempt& attempt = attempts_.at(*key);
  attempt.is_written = true;
  connection.add_use(key->request, attempt.request.expires_at);
  ++written_by_class_.at(attempt.request.request_class);
  std::string bytes = encode(attempt.request, context_.now);
  attempt.request.body.clear();
  return bytes;
}

// ---- Events of connections ----

void UpstreamPool::on_connected(ConnectionId connection) {
  connections_.at(connection).on_connected(context_.now);
  write_next(connection);
}

void UpstreamPool::on_bytes(ConnectionId connection, std::string_view bytes) {
  UpstreamConnection& upstream = connections_.at(connection);
  upstream.on_bytes(bytes, context_.now);
  while (auto response = upstream.next_response()) on_response(upstream, std::move(*response));
  charge_received_bytes(upstream);
  if (upstream.read_error() == codec::LineError::none) return;
  // The start of the next response is unknown after a malformed one, so that the connection is closed.
  context_.log("member unreadable answer member=" + upstream.endpoint() +
               " error=" + std::string(name_of(upstream.read_error())));
  close(connection, CloseReason::malformed_response, ClosedBy::proxy);
}

/// The reservation for the client's reply covers the response until it is complete.
void UpstreamPool::charge_received_bytes(UpstreamConnection& connection) const {
  const auto key = connection.awaited_partial_response();
  const OutstandingAttempt* attempt = key ? attempts_.find(*key) : nullptr;
  connection.charge_received_bytes(attempt == nullptr ? 0 : attempt->request.reserved_response_bytes);
}

void UpstreamPool::on_response(UpstreamConnection& connection, codec::CacheResponse response) {
  if (is_health_response(response.status)) {
    const auto duration = connection.take_health_check(response.id, context_.now);
    if (duration) health_checks_.add_response(connection.endpoint(), response, *duration);
    return;
  }
  connection.on_answered(response.id);
  const auto key = connection.find_open_attempt(response.id);
  if (!key) return;  // a late response to an attempt that was abandoned
  const AttemptResult result = result_of(response.status);
  if (result == AttemptResult::served) {
    complete(*key, result, std::move(response));
  } else {
    complete(*key, result);
  }
}

void UpstreamPool::on_write_drained(ConnectionId connection) {
  connections_.at(connection).on_write_drained();
  write_next(connection);
}

void UpstreamPool::on_closed(ConnectionId connection, CloseReason reason) {
  close(connection, reason, ClosedBy::peer);
}

void UpstreamPool::on_loop_stall() {
  for (auto& [id, connection] : connections_) connection.on_loop_stall(context_.now);
}

void UpstreamPool::on_connect_timeout(ConnectionId connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end() || found->second.is_connected()) return;
  const std::string endpoint = found->second.endpoint();
  const Time opened_at = found->second.opened_at();
  close(connection, CloseReason::connect_timeout, ClosedBy::proxy);
  const EndpointTable::Entry* entry = endpoints_.find(endpoint);
  if (entry == nullptr) return;
  // The endpoint's host is probably gone: a new connection was not established, and nothing was received on
  // the old ones since it was tried. Attempts on them would otherwise wait until their clients give up.
  for (const ConnectionId id : std::set(entry->connections)) {
    if (connections_.at(id).is_silent_since(opened_at)) close(id, CloseReason::silent, ClosedBy::proxy);
  }
}

// ---- Closing ----

/// Closes the connection and completes its attempts. Written attempts may have run; queued ones have not.
void UpstreamPool::close(ConnectionId id, CloseReason reason, ClosedBy closed_by) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  UpstreamConnection connection = std::move(found->second);
  connections_.erase(found);
  endpoints_.remove_connection(connection.endpoint(), id);
  context_.log_closed(
      {"member", id, connection.opened_at(), connection.request_count(), connection.endpoint()},
      connection.retired_for().value_or(reason), closed_by);
  const AttemptResult unsent_result =
      connection.is_connected() ? AttemptResult::not_sent : AttemptResult::unreachable;
  for (const AttemptKey& key : connection.queued_attempts()) complete(key, unsent_result);
  end_open_attempts(connection, reason, closed_by);
  health_checks_.add_failures(connection.endpoint(), connection.take_all_health_checks(context_.now));
}

void UpstreamPool::end_open_attempts(const UpstreamConnection& connection, CloseReason reason,
                                     ClosedBy closed_by) {
  const bool is_closed_by_proxy = closed_by == ClosedBy::proxy || connection.retired_for();
  for (const AttemptKey& key : connection.open_attempts()) {
    if (reason == CloseReason::malformed_response) {
      complete_later(key, AttemptResult::malformed_response);
    } else if (is_closed_by_proxy) {
      complete_later(key, AttemptResult::connection_lost);
    } else {
      complete(key, AttemptResult::connection_lost);
    }
  }
}

/// Closes the connection that has been idle for the longest time, so that another one can be opened.
bool UpstreamPool::close_longest_idle() {
  const auto id = find_longest_idle(connections_);
  if (id) close(*id, CloseReason::too_many, ClosedBy::proxy);
  return id.has_value();
}

void UpstreamPool::close_expired() {
  struct Expired {
    ConnectionId id = 0;
    CloseReason reason = CloseReason::idle;
  };
  std::vector<Expired> expired;
  for (auto& [id, connection] : connections_) {
    health_checks_.add_failures(connection.endpoint(), connection.take_expired_health_checks(context_.now));
    connection.forget_ended_uses(context_.now, is_pending_);
    if (const auto reason = expiry_of(connection)) expired.push_back({id, *reason});
  }
  for (const auto& [id, reason] : expired) close(id, reason, ClosedBy::proxy);
}

/// Returns why the connection should be closed now; none if it should stay open.
std::optional<CloseReason> UpstreamPool::expiry_of(const UpstreamConnection& connection) const {
  if (!connection.is_idle() || !connection.is_connected()) return std::nullopt;
  if (connection.is_unresponsive(context_.now)) return CloseReason::silent;
  if (connection.has_too_many_unconfirmed()) return CloseReason::unconfirmed_cancels;
  if (!endpoints_.accepts_attempts(connection.endpoint())) return CloseReason::endpoint_left;
  if (context_.now - connection.last_active_at() >= idle_timeout_) return CloseReason::idle;
  return std::nullopt;
}

std::vector<ConnectionId> UpstreamPool::with_partial_response() const {
  struct Holder {
    bool is_awaited;
    Time started_at;
    ConnectionId id;
    auto operator<=>(const Holder&) const = default;
  };
  std::vector<Holder> holders;
  for (const auto& [id, connection] : connections_) {
    if (!connection.has_partial_response()) continue;
    holders.push_back({connection.is_partial_response_awaited(), connection.response_started_at(), id});
  }
  std::sort(holders.begin(), holders.end());
  std::vector<ConnectionId> ids;
  ids.reserve(holders.size());
  for (const Holder& holder : holders) ids.push_back(holder.id);
  return ids;
}

void UpstreamPool::shed_excess_memory() {
  if (!context_.memory.is_exceeded(MemoryUse::endpoint_responses)) return;
  for (const ConnectionId id : with_partial_response()) {
    if (!context_.memory.is_exceeded(MemoryUse::endpoint_responses)) return;
    close(id, CloseReason::memory_limit, ClosedBy::proxy);
  }
}

std::vector<ConnectionId> UpstreamPool::connection_ids() const {
  std::vector<ConnectionId> ids;
  ids.reserve(connections_.size());
  for (const auto& [id, connection] : connections_) ids.push_back(id);
  return ids;
}

void UpstreamPool::stop() {
  while (!connections_.empty()) close(connections_.begin()->first, CloseReason::stopping, ClosedBy::proxy);
}

}  // namespace edge_proxy::proxy
