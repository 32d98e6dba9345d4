// SPDX-License-Identifier: MIT
#include "routing/work_estimate.h"

#include "base/time_units.h"
#include "routing/settings_queries.h"

namespace edge_proxy::routing {
namespace {

constexpr double kMeanGain = 0.02;  // weight of a new request in the mean

}  // namespace

void WorkEstimate::record(std::size_t class_index, double work) {
  double& mean = mean_by_class_[class_index];
  mean = mean == 0 ? work : mean + kMeanGain * (work - mean);
}

double WorkEstimate::slow_start_work(const Request& request) const {
  const double mean_work = mean(class_index(request));
  return mean_work > 0 ? mean_work : to_seconds(class_of(settings_, request).latency_objective);
}

}  // namespace edge_proxy::routing
