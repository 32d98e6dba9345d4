// SPDX-License-Identifier: MIT
/// @file
/// Popularity of parts of objects. Assigns each part a tier (gold, silver, bronze), and with it the rank at
/// which caches store the part, from this router's own requests in a sliding window. Prevents parts that are
/// requested once from displacing frequently requested parts in the caches.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>

#include "base/sliding_window_counter.h"
#include "edge_proxy/router.h"

namespace edge_proxy::routing {

class Popularity {
 public:
  /// `settings` must outlive this object. The length of the window is fixed at construction.
  explicit Popularity(const Settings& settings);

  /// Starts the window at `now`, the time of the router's first event.
  void start(Time now) { started_at_ = now; }

  /// Selects the gold parts from the current counts.
  void update_gold_parts(Time now);

  /// Counts a request for `part_key` unless it is a client retry, and returns the rank of the part: gold is
  /// `Rank::middle`, silver is `Rank::low`, and bronze is `Rank::uncached`.
  [[nodiscard]] Rank count_and_rank(Time now, std::uint64_t part_key, bool client_retry);

  /// Number of requests for `part_key` in the window.
  [[nodiscard]] std::size_t count(std::uint64_t part_key) const { return counts_.count(part_key); }

 private:
  const Settings& settings_;
  Time started_at_{0};
  SlidingWindowCounter counts_;
  std::set<std::uint64_t> gold_;
};

}  // namespace edge_proxy::routing
