// SPDX-License-Identifier: MIT
#include "proxy/upstream/upstream_connection.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "proxy/resource_limits.h"

namespace edge_proxy::proxy {

bool UpstreamConnection::is_idle() const {
  return open_attempts_.empty() && queued_attempts_.empty() && health_checks_.empty() && commands_.empty();
}

bool UpstreamConnection::is_unresponsive(Time now) const {
  return awaits_answer() && now - last_received_at_ >= kSilenceLimit;
}

bool UpstreamConnection::is_silent_since(Time since) const {
  return is_connected_ && last_received_at_ < since && awaits_answer();
}

bool UpstreamConnection::may_hold_unread_answers() const {
  return is_connected_ && !is_writing_ && !open_attempts_.empty();
}

std::vector<AttemptKey> UpstreamConnection::open_attempts() const {
  std::vector<AttemptKey> keys;
  keys.reserve(open_attempts_.size());
  for (const auto& [request, attempt] : open_attempts_) keys.push_back({request, attempt});
  return keys;
}

std::optional<AttemptKey> UpstreamConnection::find_open_attempt(const std::string& request) const {
  const auto found = open_attempts_.find(request);
  if (found == open_attempts_.end()) return std::nullopt;
  return AttemptKey{found->first, found->second};
}

std::optional<AttemptKey> UpstreamConnection::attempt_being_written() const {
  return is_writing_ ? attempt_being_written_ : std::nullopt;
}

void UpstreamConnection::abandon_open_attempt(const std::string& request, bool send_cancel) {
  ++unanswered_count_;
  if (send_cancel) commands_ += codec::write_cancel(request);
  // The cancel is written before all attempts that follow. Without it, only the answer ends the wait.
  const std::uint64_t last_written = send_cancel ? request_count_ : std::numeric_limits<std::uint64_t>::max();
  unconfirmed_.push_back({request, last_written});
}

void UpstreamConnection::add_use(const std::string& request, Time until) {
  uses_[request] = {.number = request_count_, .until = until};
  update_use_memory();
}

void UpstreamConnection::on_answered(const std::string& request) {
  const auto found = uses_.find(request);
  if (found == uses_.end()) return;
  found->second.is_answered = true;
  std::erase_if(unconfirmed_, [&request](const Unconfirmed& cancel) { return cancel.request == request; });
  confirm_cancels_before(found->second.number);
}

void UpstreamConnection::confirm_cancels_before(std::uint64_t attempt_number) {
  while (!unconfirmed_.empty() && unconfirmed_.front().last_written < attempt_number) {
    const auto use = uses_.find(unconfirmed_.front().request);
    if (use != uses_.end()) use->second.is_answered = true;
    unconfirmed_.pop_front();
  }
}

void UpstreamConnection::update_use_memory() { use_memory_.set(uses_.size() * kAttemptUseBytes); }

// ---- Health checks ----

void UpstreamConnection::queue_health_check(const std::string& tag, Time now) {
  health_checks_[tag] = now;
  commands_ += codec::write_health_check(tag);
}

std::optional<Time> UpstreamConnection::take_health_check(const std::string& tag, Time now) {
  const auto found = health_checks_.find(tag);
  if (found == health_checks_.end()) return std::nullopt;
  const Time duration = now - found->second;
  health_checks_.erase(found);
  return duration;
}

std::vector<Time> UpstreamConnection::take_expired_health_checks(Time now) {
  std::vector<Time> durations;
  std::erase_if(health_checks_, [now, &durations](const auto& check) {
    const Time duration = now - check.second;
    if (duration < kHealthCheckTimeout) return false;
    durations.push_back(duration);
    return true;
  });
  return durations;
}

std::vector<Time> UpstreamConnection::take_all_health_checks(Time now) {
  std::vector<Time> durations;
  for (const auto& [tag, sent_at] : std::exchange(health_checks_, {})) durations.push_back(now - sent_at);
  return durations;
}

// ---- Writing ----

std::string UpstreamConnection::take_commands() {
  attempt_being_written_.reset();
  return std::exchange(commands_, {});
}

std::optional<AttemptKey> UpstreamConnection::take_queued_attempt(Time now) {
  if (queued_attempts_.empty()) return std::nullopt;
  AttemptKey key = std::move(queued_attempts_.front());
  queued_attempts_.pop_front();
  attempt_being_written_ = key;
  if (open_attempts_.empty()) last_received_at_ = now;  // silence counts from the first open attempt
  open_attempts_[key.request] = key.attempt;
  ++request_count_;
  return key;
}

void UpstreamConnection::on_write_started(std::size_t size, Time now) {
  is_writing_ = true;
  last_active_at_ = now;
  write_memory_.set(size);
}

void UpstreamConnection::on_write_drained() {
  is_writing_ = false;
  write_memory_.set(0);
}

// ---- Events ----

void UpstreamConnection::on_connected(Time now) {
  is_connected_ = true;
  last_received_at_ = last_active_at_ = now;
}

void UpstreamConnection::on_bytes(std::string_view bytes, Time now) {
  last_received_at_ = last_active_at_ = now;
  unanswered_count_ = 0;
  if (!reader_.has_partial_response()) response_started_at_ = now;
  reader_.feed(bytes);
}

std::optional<codec::CacheResponse> UpstreamConnection::next_response() {
  std::optional<codec::CacheResponse> response = reader_.next();
  if (response) response_started_at_ = last_received_at_;
  return response;
}

std::optional<AttemptKey> UpstreamConnection::awaited_partial_response() const {
  return find_open_attempt(std::string(reader_.partial_response_id()));
}

void UpstreamConnection::charge_received_bytes(std::size_t reserved_bytes) {
  const std::size_t bytes = reader_.buffered_bytes();
  response_memory_.set(bytes - std::min(bytes, reserved_bytes));
}

bool UpstreamConnection::is_partial_response_awaited() const {
  const std::string_view id = reader_.partial_response_id();
  return id.empty() ? !open_attempts_.empty() : open_attempts_.contains(std::string(id));
}

void UpstreamConnection::forget_ended_uses(Time now,
                                           const std::function<bool(const std::string&)>& is_pending) {
  std::erase_if(uses_, [&](const auto& use) {
    return use.second.until <= now || (use.second.is_answered && !is_pending(use.first));
  });
  std::erase_if(unconfirmed_, [this](const Unconfirmed& cancel) { return !uses_.contains(cancel.request); });
  update_use_memory();
}

}  // namespace edge_proxy::proxy
