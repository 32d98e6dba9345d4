// SPDX-License-Identifier: MIT
/// @file
/// Counts keys over a sliding time window with bounded memory.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

namespace edge_proxy {

/// Holds the newest `capacity` entries of the last `span`; add() and trim() drop older entries.
class SlidingWindowCounter {
 public:
  using Time = std::chrono::microseconds;

  SlidingWindowCounter(Time span, std::size_t capacity) : span_(span), capacity_(capacity) {}

  void add(Time now, std::uint64_t key) {
    entries_.emplace_back(now, key);
    ++counts_[key];
    trim(now);
  }

  void trim(Time now) {
    while (!entries_.empty() && (entries_.front().first + span_ < now || entries_.size() > capacity_)) {
      const auto found = counts_.find(entries_.front().second);
      if (--found->second == 0) counts_.erase(found);
      entries_.pop_front();
    }
  }

  [[nodiscard]] std::size_t count(std::uint64_t key) const {
    const auto found = counts_.find(key);
    return found == counts_.end() ? 0 : found->second;
  }

  [[nodiscard]] std::size_t entries() const { return entries_.size(); }

  /// Returns the `limit` keys with the highest counts. Ties are broken by key, so that the order is
  /// deterministic.
  [[nodiscard]] std::vector<std::uint64_t> top(std::size_t limit) const {
    std::vector<std::pair<std::uint64_t, std::size_t>> counts(counts_.begin(), counts_.end());
    const auto top_end = counts.begin() + static_cast<std::ptrdiff_t>(std::min(limit, counts.size()));
    std::partial_sort(counts.begin(), top_end, counts.end(), [](const auto& a, const auto& b) {
      return a.second != b.second ? a.second > b.second : a.first < b.first;
    });
    std::vector<std::uint64_t> keys;
    for (auto it = counts.begin(); it != top_end; ++it) keys.push_back(it->first);
    return keys;
  }

 private:
  Time span_;
  std::size_t capacity_;
  std::deque<std::pair<Time, std::uint64_t>> entries_;  ///< time of the entry, key
  std::unordered_map<std::uint64_t, std::size_t> counts_;
};

}  // namespace edge_proxy
