// SPDX-License-Identifier: MIT
#include "routing/peer_group.h"

#include <algorithm>

namespace edge_proxy::routing {
namespace {

constexpr std::ptrdiff_t kQuartiles = 4;
constexpr double kOutlierErrorRateExcess = 0.3;  // over the lowest error rate of the group

}  // namespace

double reference_latency(const EndpointTable& endpoints, const std::vector<std::size_t>& group) {
  std::vector<double> latencies;
  latencies.reserve(group.size());
  for (const std::size_t index : group) latencies.push_back(endpoints[index].health.relative_latency());
  if (latencies.empty()) return 0;
  const auto last = static_cast<std::ptrdiff_t>(latencies.size() - 1);
  const auto quartile = latencies.begin() + last / kQuartiles;
  std::nth_element(latencies.begin(), quartile, latencies.end());
  return *quartile;
}

bool has_outlier_error_rate(const EndpointTable& endpoints, const EndpointStats& stats) {
  double lowest = 1;
  for (const std::size_t index : endpoints.running(stats.role)) {
    lowest = std::min(lowest, endpoints[index].health.error_rate());
  }
  return stats.health.error_rate() > lowest + kOutlierErrorRateExcess;
}

}  // namespace edge_proxy::routing
