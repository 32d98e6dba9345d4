// SPDX-License-Identifier: MIT
/// @file
/// A queue of timers in the order of their due times; timers with equal due times are in insertion order.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace edge_proxy {

template <typename T>
class TimerQueue {
 public:
  using Time = std::chrono::microseconds;

  void add(Time due, T item) { items_.emplace(std::pair{due, next_++}, std::move(item)); }

  [[nodiscard]] std::optional<Time> next_due() const {
    if (items_.empty()) return std::nullopt;
    return items_.begin()->first.first;
  }

  [[nodiscard]] std::size_t size() const { return items_.size(); }

  /// Removes the items for which `is_stale(item)` is true.
  template <typename IsStale>
  void erase_if(IsStale&& is_stale) {
    std::erase_if(items_, [&is_stale](const auto& entry) { return is_stale(entry.second); });
  }

  /// Removes and returns the first item that is due by `now`.
  std::optional<T> pop_due(Time now) {
    if (items_.empty() || items_.begin()->first.first > now) return std::nullopt;
    T item = std::move(items_.begin()->second);
    items_.erase(items_.begin());
    return item;
  }

 private:
  std::map<std::pair<Time, std::uint64_t>, T> items_;  ///< by due time and insertion number
  std::uint64_t next_ = 0;
};

}  // namespace edge_proxy
