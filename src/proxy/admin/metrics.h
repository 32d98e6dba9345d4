// SPDX-License-Identifier: MIT
/// @file
/// The response body of `GET /v1/metrics` (docs/operations.md lists the metrics).
#pragma once

#include <span>
#include <string>
#include <vector>

#include "edge_proxy/router.h"
#include "proxy/admin/metric.h"
#include "proxy/client/pending_requests.h"
#include "proxy/upstream/upstream_pool.h"

namespace edge_proxy::proxy {

/// Returns the metrics of requests, attempts and endpoints in the order of the response.
[[nodiscard]] std::vector<Metric> collect_request_metrics(const PendingRequests& requests,
                                                          const UpstreamPool& upstream, const Router& router);

/// Returns one line for each metric: `svc.NAME:VALUE|c` for a counter, `|g` for a gauge.
[[nodiscard]] std::string format_metrics(std::span<const Metric> metrics);

}  // namespace edge_proxy::proxy
