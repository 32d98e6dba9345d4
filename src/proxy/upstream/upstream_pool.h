// SPDX-License-Identifier: MIT
/// @file
/// The connections to endpoints, and the attempts and health checks on them. The pool combines the endpoint
/// table, the connections, the attempt table, and the selection of connections (connection_selection.h).
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "proxy/context.h"
#include "proxy/upstream/attempt_table.h"
#include "proxy/upstream/connection_selection.h"
#include "proxy/upstream/endpoint_table.h"
#include "proxy/upstream/health_check_results.h"
#include "proxy/upstream/upstream_connection.h"
#include "proxy/upstream/upstream_request.h"

namespace edge_proxy::proxy {

/// Adds all of its effects to the context.
class UpstreamPool {
 public:
  /// `is_pending` returns whether a client still waits for the answer to a request.
  UpstreamPool(Context& context, const config::Config& config,
               std::function<bool(const std::string&)> is_pending);

  // ---- Endpoints ----
  /// Applies a change to the endpoint list, or a complete list.
  void apply(const codec::EndpointUpdate& update);
  /// Ensures that no attempt written from now on is answered from a copy older than the invalidation.
  void invalidate(const codec::Invalidation& invalidation);
  [[nodiscard]] std::size_t endpoint_count() const { return endpoints_.size(); }
  /// Number of listed endpoints that get no new attempts because they are draining or suspended.
  [[nodiscard]] std::size_t not_running_count() const { return endpoints_.not_running_count(); }

  // ---- Attempts and health checks ----
  void start_attempt(UpstreamRequest request);
  void cancel_attempt(const std::string& request, int number);
  void time_out_attempt(const std::string& request, int number);
  /// Times out the attempt if its time has passed.
  void on_attempt_timeout(const AttemptKey& key);
  /// Whether the attempt has not ended.
  [[nodiscard]] bool has_attempt(const AttemptKey& key) const { return attempts_.find(key) != nullptr; }
  /// Sends a health check; its result is an immediate failure if it can't be sent.
  void check_health(const std::string& endpoint);
  /// Removes the oldest completion; returns false if there is none.
  [[nodiscard]] bool take_completion(AttemptCompletion& completion);
  /// Removes the oldest result of a health check; returns false if there is none.
  [[nodiscard]] bool take_health_result(HealthChecked& result);
  /// Makes the oldest delayed completion available; called when its timer expires.
  void release_delayed_completion() { attempts_.release_delayed_completion(); }
  /// Number of attempts without a completion.
  [[nodiscard]] std::size_t attempts_in_flight() const { return attempts_.in_flight(); }
  /// Number of entries in the tables of attempts and of all connections.
  [[nodiscard]] std::size_t table_entries() const;
  /// Number of attempts written so far, by request class.
  [[nodiscard]] const std::vector<std::uint64_t>& written_by_class() const { return written_by_class_; }

  // ---- Connections ----
  [[nodiscard]] bool owns(ConnectionId connection) const { return connections_.contains(connection); }
  void on_connected(ConnectionId connection);
  void on_bytes(ConnectionId connection, std::string_view bytes);
  void on_write_drained(ConnectionId connection);
  /// Handles a connection that failed or was closed by the endpoint.
  void on_closed(ConnectionId connection, CloseReason reason);
  /// Restarts the silence timeouts after an event loop stall, since bytes that arrived during it are unread.
  void on_loop_stall();
  void on_connect_timeout(ConnectionId connection);
  /// Fails the health checks that have timed out, and closes idle and silent connections.
  void close_expired();
  /// Closes connections until the incomplete responses are within their memory: those whose response no
  /// attempt waits for, then those with the longest incomplete response.
  void shed_excess_memory();
  /// Closes all connections.
  void stop();

 private:
  using RequestPredicate = std::function<bool(const UpstreamRequest&)>;

  // Endpoints.
  void retire_connections(const std::string& endpoint, CloseReason reason);
  [[nodiscard]] bool can_send(const UpstreamRequest& request) const;

  // Attempts.
  void drop_stale_queued(UpstreamConnection& connection);
  [[nodiscard]] bool is_stale(const UpstreamRequest& request) const;
  void close_if_writing(ConnectionId id, const RequestPredicate& is_stale);
  void abandon_attempt(const AttemptKey& key, AttemptResult result);
  [[nodiscard]] std::optional<AttemptCompletion> end_attempt(const AttemptKey& key, AttemptResult result);
  void detach(const AttemptKey& key, const OutstandingAttempt& attempt);
  void complete(const AttemptKey& key, AttemptResult result, codec::CacheResponse response = {});
  void complete_later(const AttemptKey& key, AttemptResult result);

  // Connections.
  [[nodiscard]] std::optional<ConnectionId> connection_for(const std::string& endpoint,
                                                           const std::string& request);
  [[nodiscard]] bool can_open_connection(const EndpointTable::Entry& endpoint) const;
  [[nodiscard]] bool has_free_connection() const;
  ConnectionId open_connection(EndpointTable::Entry& endpoint);
  bool close_longest_idle();
  [[nodiscard]] std::vector<ConnectionId> connection_ids() const;
  [[nodiscard]] std::vector<ConnectionId> with_partial_response() const;
  void write_next(ConnectionId id);
  [[nodiscard]] std::string take_attempt_bytes(UpstreamConnection& connection);
  void on_response(UpstreamConnection& connection, codec::CacheResponse response);
  void charge_received_bytes(UpstreamConnection& connection) const;
  [[nodiscard]] std::optional<CloseReason> expiry_of(const UpstreamConnection& connection) const;
  void close(ConnectionId id, CloseReason reason, ClosedBy closed_by);
  void end_open_attempts(const UpstreamConnection& connection, CloseReason reason, ClosedBy closed_by);

  Context& context_;
  Time connect_timeout_;
  Time idle_timeout_;
  std::size_t max_requests_per_connection_;
  bool supports_cancel_;  // the endpoints accept cancel commands
  std::function<bool(const std::string&)> is_pending_;
  EndpointTable endpoints_;
  MemoryCharge endpoint_memory_;
  UpstreamConnections connections_;
  AttemptTable attempts_;
  HealthCheckResults health_checks_;
  std::vector<std::uint64_t> written_by_class_;
};

}  // namespace edge_proxy::proxy
