// SPDX-License-Identifier: MIT
/// @file
/// A request in its course, with its attempts.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "edge_proxy/router.h"

namespace edge_proxy::routing {

struct AttemptRecord {
  std::size_t endpoint = 0;  ///< index in the endpoint table
  std::size_t source = 0;    ///< the endpoint itself: no fill
  Time sent_at{0};
  bool is_open = true;               ///< no outcome yet
  bool is_latency_recorded = false;  ///< its silence has counted as a latency already
  bool is_overdue = false;           ///< it has counted as late already
  bool is_malformed = false;         ///< its response could not be read, through no fault of its endpoint
  bool is_cached_only = false;       ///< its source was asked only for what it has cached

  [[nodiscard]] bool has_source() const { return source != endpoint; }
};

struct PendingRequest {
  Request request;
  std::uint64_t part_key = 0;  ///< of the part of the object: what is counted and cached
  Rank rank = Rank::low;
  double work = 0;  ///< transfer time at the top rate, in seconds
  bool is_size_known = false;
  Time latency_objective{0};  ///< from its arrival
  std::vector<AttemptRecord> attempts;
  bool is_finished = false;  ///< it has its final answer; attempts may still be open
  bool is_streaming = false;

  [[nodiscard]] bool has_open_attempt() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const AttemptRecord& attempt) { return attempt.is_open; });
  }
  /// Neither finished nor streaming: a timer may still act on it.
  [[nodiscard]] bool is_waiting() const { return !is_finished && !is_streaming; }
};

}  // namespace edge_proxy::routing
