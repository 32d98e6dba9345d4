// SPDX-License-Identifier: MIT
/// @file
/// The state of one connection to an endpoint: the attempts that are queued, being written or without an
/// answer, and the time of the last received byte.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
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
/// A connection takes no new attempts while this many abandoned ones may still be answered on it.
constexpr std::size_t kMaxUnconfirmedAttempts = 128;

/// Does no I/O; the pool writes the bytes that it takes from here.
class UpstreamConnection {
 public:
  UpstreamConnection(std::string endpoint, Time now, MemoryAccount& memory)
      : endpoint_(std::move(endpoint)),
        opened_at_(now),
        last_active_at_(now),
        last_received_at_(now),
        response_memory_(memory, MemoryUse::endpoint_responses),
        write_memory_(memory, MemoryUse::requests),
        use_memory_(memory, MemoryUse::requests) {}

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
  /// Whether an attempt of a request with this id was written here, and its answer may still arrive or the
  /// request may be pending. A new attempt here could receive the answer to that one.
  [[nodiscard]] bool was_used_by(const std::string& request) const { return uses_.contains(request); }
  /// Whether so many abandoned attempts may still be answered that the connection takes no new ones. It can
  /// be closed once no other attempt is open.
  [[nodiscard]] bool has_too_many_unconfirmed() const {
    return unconfirmed_.size() >= kMaxUnconfirmedAttempts;
  }
  /// Number of entries in all tables.
  [[nodiscard]] std::size_t table_entries() const {
    return open_attempts_.size() + queued_attempts_.size() + health_checks_.size() + uses_.size();
  }
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
  /// Records that the answer to an attempt of this request has arrived, abandoned or not. Endpoints read
  /// commands in order and answer no cancelled attempt, so that the cancels that were written before this
  /// attempt are confirmed: their answers can't arrive any more.
  void on_answered(const std::string& request);

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
  /// Records that the attempt taken last is written. `until`: no client waits for its answer any longer.
  void add_use(const std::string& request, Time until);
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
  /// Returns the attempt that waits for the incomplete response; none if its id is unknown or nothing waits.
  [[nodiscard]] std::optional<AttemptKey> awaited_partial_response() const;
  /// Charges the received bytes that `reserved_bytes`, the reservation for the awaited response, don't cover.
  void charge_received_bytes(std::size_t reserved_bytes);
  /// Returns when the first byte of the incomplete response arrived.
  [[nodiscard]] Time response_started_at() const { return response_started_at_; }
  [[nodiscard]] codec::LineError read_error() const { return reader_.error(); }
  /// Restarts the silence timeout after an event loop stall, since bytes that arrived during it are unread.
  void on_loop_stall(Time now) { last_received_at_ = now; }
  /// Marks the connection as closing for this reason after the bytes that have arrived are read.
  void retire(CloseReason reason) { retired_for_ = reason; }
  [[nodiscard]] std::optional<CloseReason> retired_for() const { return retired_for_; }
  /// Forgets the uses that nothing needs any more: those whose time has passed, and answered ones whose
  /// request `is_pending` denies.
  void forget_ended_uses(Time now, const std::function<bool(const std::string&)>& is_pending);

 private:
  /// An attempt that was written on this connection.
  struct Use {
    std::uint64_t number = 0;  ///< in the order of writing, from 1
    Time until{0};             ///< no client waits for the answer any longer
    bool is_answered = false;  ///< or its cancel is confirmed
  };
  /// A cancelled attempt whose cancel is not confirmed.
  struct Unconfirmed {
    std::string request;
    std::uint64_t last_written = 0;  ///< number of the attempt that was written last before the cancel
  };

  void confirm_cancels_before(std::uint64_t attempt_number);
  void update_use_memory();

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
  MemoryCharge use_memory_;                   // the uses and unconfirmed cancels
  std::map<std::string, int> open_attempts_;  // attempt numbers by request
  std::deque<AttemptKey> queued_attempts_;
  std::string commands_;                       // cancels and health checks to be written
  std::map<std::string, Time> health_checks_;  // send times by tag
  std::map<std::string, Use> uses_;            // by request
  std::deque<Unconfirmed> unconfirmed_;        // oldest first
};

}  // namespace edge_proxy::proxy
