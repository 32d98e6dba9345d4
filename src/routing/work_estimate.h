// SPDX-License-Identifier: MIT
/// @file
/// Estimate of a request's work, its transfer time in seconds, where requests do not tell their size: the
/// moving mean of its class.
#pragma once

#include <cstddef>
#include <vector>

#include "edge_proxy/router.h"

namespace edge_proxy::routing {

class WorkEstimate {
 public:
  /// `settings` has to outlive this object; the number of classes is fixed here.
  explicit WorkEstimate(const Settings& settings)
      : settings_(settings), mean_by_class_(settings.classes.size(), 0) {}

  void record(std::size_t class_index, double work);

  /// Moving mean of a class; 0 before the first record.
  [[nodiscard]] double mean(std::size_t class_index) const { return mean_by_class_[class_index]; }

  /// What the request counts for in slow start: the mean, or the class's latency objective before the first
  /// response. Guards an endpoint that is warming up where requests do not tell their size: what counted for
  /// nothing would not be limited.
  [[nodiscard]] double slow_start_work(const Request& request) const;

 private:
  const Settings& settings_;
  std::vector<double> mean_by_class_;
};

}  // namespace edge_proxy::routing
