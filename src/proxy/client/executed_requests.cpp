// SPDX-License-Identifier: MIT
#include "proxy/client/executed_requests.h"

#include <algorithm>
#include <charconv>
#include <functional>

#include "proxy/resource_limits.h"

namespace edge_proxy::proxy {
namespace {

/// Returns the number that an id of 16 hex digits stands for.
std::uint64_t number_of(std::string_view request) {
  constexpr int kHexadecimal = 16;
  std::uint64_t number = 0;
  std::from_chars(request.data(), request.data() + request.size(), number, kHexadecimal);
  return number;
}

std::uint64_t hash_of(std::string_view key) { return std::hash<std::string_view>{}(key); }

}  // namespace

void ExecutedRequests::set_max_entries(std::size_t max_entries) {
  max_entries_ = max_entries;
  while (entries_.size() > max_entries_) forget_oldest();
  update_memory();
}

void ExecutedRequests::record(const ExecutedAttempt& attempt, Time now) {
  if (settings_.classes[attempt.request_class].idempotency == Idempotency::idempotent) return;
  const std::uint64_t id = number_of(attempt.request);
  const auto known = by_id_.find(id);
  if (known != by_id_.end()) {
    Entry& entry = *known->second;
    entry.first_decided_at = std::min(entry.first_decided_at, attempt.decided_at);
    entry.recorded_at = now;
    entries_.splice(entries_.end(), entries_, known->second);
    return;
  }
  if (entries_.size() >= max_entries_) forget_oldest();
  entries_.push_back({id, hash_of(attempt.key), attempt.decided_at, now});
  by_id_[id] = std::prev(entries_.end());
  update_memory();
}

/// Endpoints discard duplicates of a keyed request if they have the same key. Where not all endpoints know
/// the keys of all others, the repeat could reach one that does not.
RepeatPermission ExecutedRequests::permission_for(std::string_view request, std::size_t request_class,
                                                  std::string_view key, Time now) const {
  const RequestClass& properties = settings_.classes[request_class];
  if (properties.idempotency == Idempotency::idempotent) return {};
  const auto found = by_id_.find(number_of(request));
  if (found == by_id_.end()) return {};
  const Entry& earlier = *found->second;
  const bool is_duplicate_discarded = properties.idempotency == Idempotency::with_key &&
                                      properties.deduplication_scope == DeduplicationScope::all &&
                                      earlier.key_hash == hash_of(key);
  const Time window_end = earlier.first_decided_at + properties.deduplication_window;
  if (!is_duplicate_discarded || window_end <= now) return {.is_allowed = false, .send_before = std::nullopt};
  return {.is_allowed = true, .send_before = window_end};
}

void ExecutedRequests::forget_expired(Time now) {
  const Time longest_wait = kMaxDeadlines * longest_deadline(settings_);
  while (!entries_.empty() && now - entries_.front().recorded_at >= longest_wait) forget_oldest();
  update_memory();
}

void ExecutedRequests::forget_oldest() {
  if (entries_.empty()) return;
  by_id_.erase(entries_.front().id);
  entries_.pop_front();
}

void ExecutedRequests::update_memory() { memory_.set(entries_.size() * kExecutedRequestBytes); }

}  // namespace edge_proxy::proxy
