// SPDX-License-Identifier: MIT
/// @file
/// The time of the newest invalidation by the object or group to which it applies.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace edge_proxy {

/// Entries that one table of invalidations may have, about 128 KiB.
constexpr std::size_t kMaxInvalidationEntries = 2048;

/// A table of bounded size. Above its limit the older half is merged into one time that applies to every key,
/// so that no invalidation is lost: more copies count as invalidated, never fewer.
template <typename Key>
class InvalidationTimes {
 public:
  using Time = std::chrono::microseconds;

  explicit InvalidationTimes(std::size_t max_entries = kMaxInvalidationEntries) : max_entries_(max_entries) {}

  void record(const Key& key, Time invalidated_at) {
    Time& newest = by_key_.try_emplace(key, invalidated_at).first->second;
    newest = std::max(newest, invalidated_at);
    if (by_key_.size() > max_entries_) merge_older_half();
  }

  /// Forgets the invalidations until this time.
  void forget_until(Time expired_until) {
    std::erase_if(by_key_, [expired_until](const auto& entry) { return entry.second <= expired_until; });
    if (merged_until_ && *merged_until_ <= expired_until) merged_until_.reset();
  }

  /// Returns the time of the newest invalidation that applies to the key; none if there is none.
  [[nodiscard]] std::optional<Time> newest(const Key& key) const {
    const auto found = by_key_.find(key);
    if (found == by_key_.end()) return merged_until_;
    return merged_until_ ? std::max(found->second, *merged_until_) : found->second;
  }

  [[nodiscard]] std::size_t size() const { return by_key_.size(); }

 private:
  void merge_older_half() {
    std::vector<Time> times;
    times.reserve(by_key_.size());
    for (const auto& [key, time] : by_key_) times.push_back(time);
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    merged_until_ = std::max(merged_until_.value_or(*middle), *middle);
    std::erase_if(by_key_, [this](const auto& entry) { return entry.second <= *merged_until_; });
  }

  std::size_t max_entries_;
  std::map<Key, Time> by_key_;
  std::optional<Time> merged_until_;  // the newest merged invalidation
};

}  // namespace edge_proxy
