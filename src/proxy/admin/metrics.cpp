// SPDX-License-Identifier: MIT
#include "proxy/admin/metrics.h"

#include <string_view>

namespace edge_proxy::proxy {
namespace {

constexpr std::string_view kPrefix = "svc.";

std::string_view suffix_of(MetricKind kind) { return kind == MetricKind::counter ? "|c" : "|g"; }

/// Adds the numbers of final answers to the requests of one class.
void add_class_metrics(std::vector<Metric>& metrics, const PendingRequests& requests,
                       std::size_t request_class) {
  const auto& answers = requests.answer_counts()[request_class];
  const std::string prefix = "calls." + requests.class_name(request_class) + ".";
  metrics.push_back({prefix + "success", answers.served, MetricKind::counter});
  metrics.push_back({prefix + "busy", answers.rejected, MetricKind::counter});
  metrics.push_back({prefix + "failure", answers.failed, MetricKind::counter});
}

}  // namespace

std::vector<Metric> collect_request_metrics(const PendingRequests& requests, const UpstreamPool& upstream,
                                            const Router& router) {
  std::vector<Metric> metrics;
  std::uint64_t written_requests = 0;
  for (std::size_t request_class = 0; request_class < requests.answer_counts().size(); ++request_class) {
    add_class_metrics(metrics, requests, request_class);
    written_requests += upstream.written_by_class()[request_class];
  }
  const std::size_t unavailable = upstream.not_running_count() + router.stats().ejected;
  metrics.push_back({"backend_calls", written_requests, MetricKind::counter});
  metrics.push_back({"inflight", requests.open_count(), MetricKind::gauge});
  metrics.push_back({"hosts_listed", upstream.endpoint_count(), MetricKind::gauge});
  metrics.push_back({"hosts_down", unavailable, MetricKind::gauge});
  return metrics;
}

std::string format_metrics(std::span<const Metric> metrics) {
  std::string text;
  for (const Metric& metric : metrics) {
    text.append(kPrefix).append(metric.name).append(":");
    text.append(std::to_string(metric.value)).append(suffix_of(metric.kind)).append("\n");
  }
  return text;
}

}  // namespace edge_proxy::proxy
