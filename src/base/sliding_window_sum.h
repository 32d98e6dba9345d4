// SPDX-License-Identifier: MIT
/// @file
/// Sums amounts over a sliding time window.
#pragma once

#include <chrono>
#include <deque>
#include <utility>

namespace edge_proxy {

class SlidingWindowSum {
 public:
  using Time = std::chrono::microseconds;

  void add(Time now, double amount) {
    entries_.emplace_back(now, amount);
    sum_ += amount;
  }

  /// Returns the sum over the last `span` and drops older entries. An empty window resets the sum to 0, which
  /// discards accumulated rounding errors.
  double sum(Time now, Time span) {
    while (!entries_.empty() && entries_.front().first + span < now) {
      sum_ -= entries_.front().second;
      entries_.pop_front();
    }
    return entries_.empty() ? sum_ = 0 : sum_;
  }

 private:
  std::deque<std::pair<Time, double>> entries_;  ///< time of the entry, amount
  double sum_ = 0;
};

}  // namespace edge_proxy
