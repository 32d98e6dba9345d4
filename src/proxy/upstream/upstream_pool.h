// SPDX-License-Identifier: MIT
/// @file
/// The connections to caches, and the attempts and probes on them.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "codec/cache_lines.h"
#include "proxy/context.h"

namespace edge_proxy::proxy {

/// What one attempt asks for. The texts are the bytes that the client sent.
struct UpstreamRequest {
  std::string request;
  int attempt = 0;
  std::string endpoint, source;
  codec::FieldList fields;  ///< all but the ones that depend on the moment of writing
  std::string body;
  std::size_t request_class = 0;
  std::uint64_t object = 0;
  std::int64_t group = 0;
  Time decided_at{0};
  Time expires_at{0};    ///< nobody waits for the answer any longer
  Time send_before{0};   ///< it may not be written later; 0: until then
  Time max_copy_age{0};  ///< as decided; 0: the class's fresh time
};

/// How an attempt ended. Each Order that was handed in gives exactly one.
struct AttemptCompletion {
  std::string request;
  int attempt = 0;
  std::string endpoint, source;
  AttemptResult result = AttemptResult::not_sent;
  Time duration{0};
  codec::CacheResponse response;  ///< of a served one
};

class UpstreamPool {
 public:
  /// `owed`: whether an answer is still owed to a request.
  UpstreamPool(Context& context, const config::Config& config,
               std::function<bool(const std::string&)> is_owed);

  // ---- Members ----
  void apply(const codec::EndpointUpdate& update);
  void invalidate(const codec::Invalidation& invalidation);

  // ---- Attempts and probes ----
  void start_attempt(UpstreamRequest request);
  void cancel_attempt(const std::string& request, int number);
  void time_out_attempt(const std::string& request, int number);
  void check_health(const std::string& endpoint);
  /// The next ending, oldest first; the caller tells the module of it.
  bool take_completion(AttemptCompletion& ended);
  bool take_health_result(HealthChecked& probed);
  /// Endings that were held back until now.
  void release_delayed_completion();

  // ---- Connections ----
  /// Attempts without an ending so far.
  [[nodiscard]] std::size_t attempts_in_flight() const {
    return attempts_.size() + delayed_completions_.size();
  }
  [[nodiscard]] std::size_t endpoint_count() const { return endpoints_.size(); }
  /// Listed members to which nothing new goes, because they drain or were taken out by hand.
  [[nodiscard]] std::size_t not_running_count() const;
  /// Attempts written so far, by class.
  [[nodiscard]] const std::vector<std::uint64_t>& written_by_class() const { return written_by_class_; }
  [[nodiscard]] bool owns(ConnectionId connection) const { return connections_.count(connection) != 0; }
  void on_connected(ConnectionId connection);
  void on_bytes(ConnectionId connection, std::string_view on_bytes);
  void on_write_drained(ConnectionId connection);
  /// The connection failed or was ended by the other side.
  void on_closed(ConnectionId connection, CloseReason reason);
  /// This program stood still: what has come meanwhile is still to be read.
  void on_loop_stall();
  void on_connect_timeout(ConnectionId connection);
  void close_expired();
  void stop();

 private:
  using AttemptKey = std::pair<std::string, int>;
  struct EndpointEntry {
    Endpoint endpoint;
    std::string address;
    Time process_started{0};
    std::set<ConnectionId> connections;
  };
  struct OutstandingAttempt {
    UpstreamRequest request;
    ConnectionId connection = 0;
    bool is_written = false;
  };
  struct UpstreamConnection {
    std::string endpoint;
    Time opened_at{0}, active_at{0}, heard_at{0};
    bool is_connected = false, is_writing = false;
    std::optional<AttemptKey> attempt_being_written;  ///< the attempt in what is being written
    std::optional<CloseReason> retired_for;           ///< it ends for this once what has come on it is read
    std::uint64_t request_count = 0;
    int unanswered_count = 0;  ///< given up or timed out since anything was heard
    codec::CacheResponseReader reader;
    std::map<std::string, int> open_attempts;                 ///< attempts written, by request
    std::deque<std::pair<std::string, int>> queued_attempts;  ///< attempts not written yet
    std::string commands;                                     ///< cancels and probes to be written
    std::map<std::string, Time> health_checks;
    std::map<std::string, Time> used_by_requests;  ///< requests it was asked for, until nobody waits for them
  };

  ConnectionId connection_for(EndpointEntry& endpoint, const std::string& request);
  ConnectionId open_connection(EndpointEntry& endpoint);
  [[nodiscard]] std::size_t max_connections_per_endpoint() const;
  [[nodiscard]] bool is_suspicious(const UpstreamConnection& link) const;
  [[nodiscard]] bool accepts_attempts(const std::string& endpoint) const;
  [[nodiscard]] bool can_send(const UpstreamRequest& request) const;
  bool close_idlest();
  [[nodiscard]] static bool is_idle(const UpstreamConnection& link);
  [[nodiscard]] std::vector<ConnectionId> connection_ids() const;
  void close_if_writing_stale(ConnectionId id, const std::function<bool(const UpstreamRequest&)>& stale);
  void write_next(ConnectionId id);
  std::string render(const UpstreamRequest& request) const;
  void complete(const AttemptKey& key, AttemptResult result, codec::CacheResponse response = {});
  void complete_later(const AttemptKey& key, AttemptResult result);
  void drop_stale_queued(ConnectionId id);
  void retire_connections(EndpointEntry& endpoint, CloseReason reason);
  void close(ConnectionId id, CloseReason reason, bool close_it);
  void on_answer(ConnectionId id, codec::CacheResponse answer);
  void abandon_attempt(const AttemptKey& key, AttemptResult result);

  Context& context_;
  Time connect_timeout_, idle_timeout_;
  std::size_t max_requests_per_connection_;
  ReportVia load_report_via_;
  bool cancellation_;
  std::function<bool(const std::string&)> is_owed_;
  std::map<std::string, EndpointEntry> endpoints_;
  std::map<ConnectionId, UpstreamConnection> connections_;
  std::map<AttemptKey, OutstandingAttempt> attempts_;
  std::deque<AttemptCompletion> completions_;
  std::deque<AttemptCompletion> delayed_completions_;
  std::deque<HealthChecked> health_results_;
  std::uint64_t last_health_check_ = 0;
  std::vector<std::uint64_t> written_by_class_;
};

}  // namespace edge_proxy::proxy
