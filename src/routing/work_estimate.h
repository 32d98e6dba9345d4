// SPDX-License-Identifier: MIT
/// @file
/// Estimates the work of a request, its transfer time in seconds, if requests don't state their size. The
/// estimate is the moving mean of the request class.
#pragma once

#include <cstddef>
#include <vector>

#include "edge_proxy/router.h"

namespace edge_proxy::routing {

class WorkEstimate {
 public:
  /// `settings` must outlive this object. The number of request classes is fixed at construction.
  explicit WorkEstimate(const Settings& settings)
      : settings_(settings), mean_by_class_(settings.classes.size(), 0) {}

  void record(std::size_t class_index, double work);

  /// Returns the moving mean of a class; 0 before the first record.
  [[nodiscard]] double mean(std::size_t class_index) const { return mean_by_class_[class_index]; }

  /// Returns the work of the request for slow start: the mean, or the latency objective of the class before
  /// the first response. A request that counted as zero work would not be limited at an endpoint that is
  /// warming up.
  [[nodiscard]] double slow_start_work(const Request& request) const;

 private:
  const Settings& settings_;
  std::vector<double> mean_by_class_;
};

}  // namespace edge_proxy::routing
