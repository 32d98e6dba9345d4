// SPDX-License-Identifier: MIT
/// @file
/// A request in progress, with its attempts.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "edge_proxy/router.h"

namespace edge_proxy::routing {

struct AttemptRecord {
  std::size_t endpoint = 0;  ///< index in the endpoint table
  std::size_t source = 0;    ///< index in the endpoint table; equal to `endpoint` without a fill
  Time sent_at{0};
  bool is_open = true;               ///< no outcome yet
  bool is_latency_recorded = false;  ///< a latency was recorded while it was still open
  bool is_overdue = false;           ///< a late response was recorded while it was still open
  bool is_malformed = false;         ///< its response was unreadable, which is no fault of its endpoint
  bool is_cached_only = false;       ///< its source serves only from its cache

  [[nodiscard]] bool has_source() const { return source != endpoint; }
};

struct PendingRequest {
  Request request;
  std::uint64_t number = 0;    ///< tells it from an earlier request with the same id
  std::uint64_t part_key = 0;  ///< key of the part of the object, the unit that is counted and cached
  Rank rank = Rank::low;
  double work = 0;  ///< transfer time at the maximum rate, in seconds
  bool is_size_known = false;
  Time latency_objective{0};  ///< relative to the arrival
  std::vector<AttemptRecord> attempts;
  bool is_finished = false;  ///< the final answer was given; attempts may still be open
  bool is_streaming = false;

  [[nodiscard]] bool has_open_attempt() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const AttemptRecord& attempt) { return attempt.is_open; });
  }
  /// Whether the request is neither finished nor streaming, so that its timers still apply.
  [[nodiscard]] bool is_waiting() const { return !is_finished && !is_streaming; }
};

}  // namespace edge_proxy::routing
