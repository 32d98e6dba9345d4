// SPDX-License-Identifier: MIT
/// @file
/// The state of one connection to an endpoint: what waits to be written on it, what is being written, what
/// was written and has no answer yet, and when something was last heard.
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
#include "proxy/reducer.h"
#include "proxy/upstream/upstream_request.h"

namespace edge_proxy::proxy {

/// A connection that has been silent for this long although an answer is due takes nothing new: the machine
/// may have vanished, and only a new connection tells.
constexpr Time kSilenceLimit = std::chrono::seconds(1);
/// A health check without an answer for this long has failed.
constexpr Time kHealthCheckTimeout = std::chrono::milliseconds(250);

/// Does no I/O: the pool writes what it takes out here.
class UpstreamConnection {
 public:
  UpstreamConnection(std::string endpoint, Time now)
      : endpoint_(std::move(endpoint)), opened_at_(now), last_active_at_(now), last_received_at_(now) {}

  // ---- What it is ----
  [[nodiscard]] const std::string& endpoint() const { return endpoint_; }
  [[nodiscard]] Time opened_at() const { return opened_at_; }
  /// When something was last written or heard.
  [[nodiscard]] Time last_active_at() const { return last_active_at_; }
  /// Attempts written so far.
  [[nodiscard]] std::uint64_t request_count() const { return request_count_; }

  // ---- Predicates ----
  [[nodiscard]] bool is_connected() const { return is_connected_; }
  /// Nothing is written or waits to be written, and no answer is due.
  [[nodiscard]] bool is_idle() const;
  /// Something was asked, and nothing has been heard for kSilenceLimit.
  [[nodiscard]] bool is_unresponsive(Time now) const;
  /// It is up and was asked something, but nothing has been heard since before `since`.
  [[nodiscard]] bool is_silent_since(Time since) const;
  /// What was written wholly may have been answered already, in bytes that were not read yet.
  [[nodiscard]] bool may_hold_unread_answers() const;
  [[nodiscard]] bool can_write() const { return is_connected_ && !is_writing_; }
  /// It was asked for this request before, and somebody may still wait for the answer.
  [[nodiscard]] bool was_used_by(const std::string& request) const { return used_by_.contains(request); }
  /// Attempts written or queued.
  [[nodiscard]] std::size_t attempt_count() const { return open_attempts_.size() + queued_attempts_.size(); }

  // ---- Attempts ----
  /// Attempts not written yet, in the order in which they will be.
  [[nodiscard]] const std::deque<AttemptKey>& queued_attempts() const { return queued_attempts_; }
  /// Attempts written and without an answer, in the order of their requests.
  [[nodiscard]] std::vector<AttemptKey> open_attempts() const;
  [[nodiscard]] std::optional<AttemptKey> find_open_attempt(const std::string& request) const;
  /// The attempt in what is being written; none where nothing is, or only commands are.
  [[nodiscard]] std::optional<AttemptKey> attempt_being_written() const;
  void queue_attempt(const AttemptKey& key) { queued_attempts_.push_back(key); }
  void remove_queued_attempt(const AttemptKey& key) { std::erase(queued_attempts_, key); }
  void remove_open_attempt(const std::string& request) { open_attempts_.erase(request); }
  /// An attempt that was written is given up: its answer may still come.
  void abandon_open_attempt(const std::string& request, bool send_cancel);

  // ---- Health checks ----
  void queue_health_check(const std::string& tag, Time now);
  /// Takes out the health check with this tag: for how long it has been under way.
  [[nodiscard]] std::optional<Time> take_health_check(const std::string& tag, Time now);
  /// Takes out those that have timed out: for how long each has been under way.
  [[nodiscard]] std::vector<Time> take_expired_health_checks(Time now);
  /// Takes out all of them, for a connection that ends; likewise.
  [[nodiscard]] std::vector<Time> take_all_health_checks(Time now);

  // ---- Writing ----
  /// Starts the next write: takes out the commands to be written.
  [[nodiscard]] std::string take_commands();
  /// Moves the first of the queued attempts to the open ones, for this write; none where none is queued.
  [[nodiscard]] std::optional<AttemptKey> take_queued_attempt(Time now);
  /// Until when the request counts as one that used this connection.
  void set_used_until(const std::string& request, Time until) { used_by_[request] = until; }
  void on_write_started(Time now);
  void on_write_drained() { is_writing_ = false; }

  // ---- What happens to it ----
  void on_connected(Time now);
  void on_bytes(std::string_view bytes, Time now);
  [[nodiscard]] std::optional<codec::CacheResponse> next_response() { return reader_.next(); }
  [[nodiscard]] codec::LineError read_error() const { return reader_.error(); }
  /// The event loop stalled: bytes that came meanwhile are still to be read, so silence counts from now.
  void on_loop_stall(Time now) { last_received_at_ = now; }
  /// It ends for this reason, once what has come on it is read.
  void retire(CloseReason reason) { retired_for_ = reason; }
  [[nodiscard]] std::optional<CloseReason> retired_for() const { return retired_for_; }
  /// Drops requests for which nobody waits any longer.
  void forget_expired_uses(Time now);

 private:
  /// An answer is due.
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
  int unanswered_count_ = 0;  // attempts given up or timed out since anything was heard
  codec::CacheResponseReader reader_;
  std::map<std::string, int> open_attempts_;  // attempt numbers by request
  std::deque<AttemptKey> queued_attempts_;
  std::string commands_;                       // cancels and health checks to be written
  std::map<std::string, Time> health_checks_;  // when sent, by tag
  std::map<std::string, Time> used_by_;        // until when somebody waits, by request
};

}  // namespace edge_proxy::proxy
