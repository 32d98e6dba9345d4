// SPDX-License-Identifier: MIT
/// @file
/// Computes the maximum age of a copy that may be served, from the request class's `max_age` and the newest
/// invalidation of the object or its group. Prevents responses from copies older than an invalidation.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/invalidation_times.h"
#include "edge_proxy/router.h"

namespace edge_proxy::routing {

/// Whether a stale copy within its grace time may be served. It is included if no fill is admitted: a stale
/// response scores less than a fresh one, but a rejection scores nothing.
enum class GraceTime { excluded, included };

class CopyAge {
 public:
  /// `settings` must outlive this object.
  explicit CopyAge(const Settings& settings) : settings_(settings) {}

  void record_invalidation(Time now, const Invalidation& invalidation);

  /// Returns the maximum age of a copy for the request; 0 means no limit.
  [[nodiscard]] Time max_copy_age(Time now, const Request& request, GraceTime grace) const;

  /// Number of stored invalidations.
  [[nodiscard]] std::size_t size() const { return by_object_.size() + by_group_.size(); }

 private:
  [[nodiscard]] Time retention() const;

  const Settings& settings_;
  InvalidationTimes<std::uint64_t> by_object_;
  InvalidationTimes<std::int64_t> by_group_;
};

}  // namespace edge_proxy::routing
