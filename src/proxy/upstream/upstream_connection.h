// SPDX-License-Identifier: MIT
/// @file
/// The state of one connection to an endpoint: the attempts that are queued, being written or without an
/// answer, and the time of the last received byte.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "codec/cache_lines.h"
#include "proxy/memory_account.h"
#include "proxy/reducer.h"
#include "proxy/upstream/upstream_request.h"

namespace edge_proxy::proxy {

/// A connection that has been silent for this long although an answer is due takes no new attempts: the host
/// may be gone, which only a new connection can show.
constexpr Time kSilenceLimit = std::chrono::seconds(1);
/// A health check fails if no response arrives within this time.
constexpr Time kHealthCheckTimeout = std::chrono::milliseconds(250);

/// Does no I/O; the pool writes the bytes that it takes from here.
class UpstreamConnection {
 public:
  UpstreamConnection(std::string endpoint, Time now, MemoryAccount& memory)
      : endpoint_(std::move(endpoint)),
        opened_at_(now),
        last_active_at_(now),
        last_received_at_(now),
        response_memory_(memory, MemoryUse::endpoint_responses),
        write_memory_(memory, MemoryUse::requests) {}

  // ---- Properties ----
  [[nodiscard]] const std::string& endpoint() const { return endpoint_; }
  [[nodiscard]] Time opened_at() const { return opened_at_; }
  /// The time of the last write or received byte.
  [[nodiscard]] Time last_active_at() const { return last_active_at_; }
  /// Number of attempts written so far.
  [[nodiscard]] std::uint64_t request_count() const { return request_count_; }

  // ---- Predicates ----
  [[nodiscard]] bool is_connected() const { return is_connected_; }
  /// Whether no write is queued or in progress, and no answer is due.
  [[nodiscard]] bool is_idle() const;
  /// Whether an answer is due, and nothing has been received for kSilenceLimit.
  [[nodiscard]] bool is_unresponsive(Time now) const;
  /// Whether the connection is established and an answer is due, but nothing has been received after `since`.
  [[nodiscard]] bool is_silent_since(Time since) const;
  /// Whether attempts were written completely, so that unread bytes may contain their answers.
  [[nodiscard]] bool may_hold_unread_answers() const;
  [[nodiscard]] bool can_write() const { return is_connected_ && !is_writing_; }
  /// Whether an attempt of this request was written here, and a client may still wait for the answer.
  [[nodiscard]] bool was_used_by(const std::string& request) const { return used_by_.contains(request); }
  /// Number of attempts that are queued or without an answer.
  [[nodiscard]] std::size_t attempt_count() const { return open_attempts_.size() + queued_attempts_.size(); }

  // ---- Attempts ----
  /// Returns the attempts not written yet, in the order of writing.
  [[nodiscard]] const std::deque<AttemptKey>& queued_attempts() const { return queued_attempts_; }
  /// Returns the attempts that were written and have no answer, ordered by request.
  [[nodiscard]] std::vector<AttemptKey> open_attempts() const;
  [[nodiscard]] std::optional<AttemptKey> find_open_attempt(const std::string& request) const;
  /// Returns the attempt that is being written; none if there is no write or it contains only commands.
  [[nodiscard]] std::optional<AttemptKey> attempt_being_written() const;
  void queue_attempt(const AttemptKey& key) { queued_attempts_.push_back(key); }
  void remove_queued_attempt(const AttemptKey& key) { std::erase(queued_attempts_, key); }
  void remove_open_attempt(const std::string& request) { open_attempts_.erase(request); }
  /// Abandons a written attempt, whose answer may still arrive.
  void abandon_open_attempt(const std::string& request, bool send_cancel);

  // ---- Health checks ----
  void queue_health_check(const std::string& tag, Time now);
  /// Removes the health check with this tag and returns the time since it was sent.
  [[nodiscard]] std::optional<Time> take_health_check(const std::string& tag, Time now);
  /// Removes the health checks that have timed out and returns the time since each was sent.
  [[nodiscard]] std::vector<Time> take_expired_health_checks(Time now);
  /// Removes all health checks because the connection closes, and returns the time since each was sent.
  [[nodiscard]] std::vector<Time> take_all_health_checks(Time now);

  // ---- Writing ----
  /// Starts the next write: removes and returns the queued commands.
  [[nodiscard]] std::string take_commands();
  /// Moves the first queued attempt to the open ones for this write; returns none if none is queued.
  [[nodiscard]] std::optional<AttemptKey> take_queued_attempt(Time now);
  /// Sets the time until which was_used_by() holds for the request.
  void set_used_until(const std::string& request, Time until) { used_by_[request] = until; }
  /// `size`: number of bytes that are written.
  void on_write_started(std::size_t size, Time now);
  void on_write_drained();

  // ---- Events ----
  void on_connected(Time now);
  void on_bytes(std::string_view bytes, Time now);
  [[nodiscard]] std::optional<codec::CacheResponse> next_response();
  /// Whether an incomplete response has been received.
  [[nodiscard]] bool has_partial_response() const { return reader_.has_partial_response(); }
  /// Whether an attempt waits for the incomplete response.
  [[nodiscard]] bool is_partial_response_awaited() const;
  /// Returns when the first byte of the incomplete response arrived.
  [[nodiscard]] Time response_started_at() const { return response_started_at_; }
  [[nodiscard]] codec::LineError read_error() const { return reader_.error(); }
  /// Restarts the silence timeout after an event loop stall, since bytes that arrived during it are unread.
  void on_loop_stall(Time now) { last_received_at_ = now; }
  /// Marks the connection as closing for this reason after the bytes that have arrived are read.
  void retire(CloseReason reason) { retired_for_ = reason; }
  [[nodiscard]] std::optional<CloseReason> retired_for() const { return retired_for_; }
  /// Removes the uses by requests for which no client waits any longer.
  void forget_expired_uses(Time now);

 private:
  /// Whether an answer is due.
  [[nodiscard]] bool awaits_answer() const { return unanswered_count_ > 0 || !open_attempts_.empty(); }

  std::string endpoint_;
  Time opened_at_;
  Time last_active_at_;
  Time last_received_at_;
  bool is_connected_ = false;
  bool is_writing_ = false;
  std::optional<AttemptKey> attempt_being_written_;
  std::optional<CloseReason> retired_for_;
  std::uint64_t request_count_ = 0;
  int unanswered_count_ = 0;  // attempts abandoned since the last received byte
  codec::CacheResponseReader reader_;
  Time response_started_at_{0};
  MemoryCharge response_memory_;              // the incomplete response
  MemoryCharge write_memory_;                 // the bytes that are being written
  std::map<std::string, int> open_attempts_;  // attempt numbers by request
  std::deque<AttemptKey> queued_attempts_;
  std::string commands_;                       // cancels and health checks to be written
  std::map<std::string, Time> health_checks_;  // send times by tag
  std::map<std::string, Time> used_by_;        // end of the wait for the answer, by request
};

}  // namespace edge_proxy::proxy
