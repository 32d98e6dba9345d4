// SPDX-License-Identifier: MIT
#include "proxy/upstream/health_check_results.h"

#include <utility>

#include "proxy/upstream/load_report.h"

namespace edge_proxy::proxy {

std::string HealthCheckResults::next_tag() { return std::string("g").append(std::to_string(++last_tag_)); }

void HealthCheckResults::add_response(const std::string& endpoint, const codec::CacheResponse& response,
                                      Time duration) {
  const auto report = codec::field_in(response.fields, "report");
  results_.push_back({.endpoint = endpoint,
                      .answered = response.status == codec::CacheResponseStatus::healthy,
                      .duration = duration,
                      .report = report ? std::optional(read_load_report(*report)) : std::nullopt});
}

void HealthCheckResults::add_failures(const std::string& endpoint, const std::vector<Time>& durations) {
  for (const Time duration : durations) {
    results_.push_back(
        {.endpoint = endpoint, .answered = false, .duration = duration, .report = std::nullopt});
  }
}

std::optional<HealthChecked> HealthCheckResults::take() {
  if (results_.empty()) return std::nullopt;
  HealthChecked oldest = std::move(results_.front());
  results_.pop_front();
  return oldest;
}

}  // namespace edge_proxy::proxy
