// SPDX-License-Identifier: MIT
/// @file
/// The oldest copy that a response may be served from. Decides from the class's fresh time and the newest
/// invalidation of the object or its group. Guards against serving a copy from before an invalidation.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "edge_proxy/router.h"

namespace edge_proxy::routing {

/// Whether a copy in its grace time may be served. Where no fill is admitted it is: it scores less than a
/// fresh one, and a rejection scores nothing.
enum class GraceTime { excluded, included };

class CopyAge {
 public:
  /// `settings` has to outlive this object.
  explicit CopyAge(const Settings& settings) : settings_(settings) {}

  void record_invalidation(Time now, const Invalidation& invalidation);

  /// 0: no bound but the class's own.
  [[nodiscard]] Time max_copy_age(Time now, const Request& request, GraceTime grace) const;

  /// Invalidations that are remembered.
  [[nodiscard]] std::size_t size() const { return by_object_.size() + by_group_.size(); }

 private:
  [[nodiscard]] bool is_in_effect(Time now, Time invalidated_at) const;

  const Settings& settings_;
  std::map<std::uint64_t, Time> by_object_;
  std::map<std::int64_t, Time> by_group_;
};

}  // namespace edge_proxy::routing
