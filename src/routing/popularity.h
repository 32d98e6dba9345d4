// SPDX-License-Identifier: MIT
/// @file
/// Popularity of parts of objects. Decides the rank (gold, silver, bronze) at which caches keep a part, from
/// this router's own requests in a moving window. Guards the caches against parts that are asked for once and
/// would displace parts that are asked for often.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>

#include "base/sliding_window_counter.h"
#include "edge_proxy/router.h"

namespace edge_proxy::routing {

class Popularity {
 public:
  /// `settings` has to outlive this object. The window's length is fixed here.
  explicit Popularity(const Settings& settings);

  /// The router handles its first event at `now`: from here on the window fills.
  void start(Time now) { started_at_ = now; }

  /// Chooses the gold parts anew from the counts in the window.
  void update_gold_parts(Time now);

  /// Counts a request for `part_key` unless it repeats an earlier one, and ranks the part: gold is
  /// `Rank::middle`, silver `Rank::low`, bronze `Rank::uncached`.
  [[nodiscard]] Rank count_and_rank(Time now, std::uint64_t part_key, bool client_retry);

  /// Requests for `part_key` in the window.
  [[nodiscard]] std::size_t count(std::uint64_t part_key) const { return counts_.count(part_key); }

 private:
  const Settings& settings_;
  Time started_at_{0};
  SlidingWindowCounter counts_;
  std::set<std::uint64_t> gold_;
};

}  // namespace edge_proxy::routing
