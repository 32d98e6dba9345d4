// SPDX-License-Identifier: MIT
/// @file
/// A sum of amounts over a moving window of time.
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

  double sum(Time now, Time span) {
    while (!entries_.empty() && entries_.front().first + span < now) {
      sum_ -= entries_.front().second;
      entries_.pop_front();
    }
    return entries_.empty() ? sum_ = 0 : sum_;
  }

 private:
  std::deque<std::pair<Time, double>> entries_;
  double sum_ = 0;
};

}  // namespace edge_proxy
