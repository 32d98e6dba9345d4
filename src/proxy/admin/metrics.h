// SPDX-License-Identifier: MIT
/// @file
/// The body of the answer to `GET /v1/metrics` (docs/operations.md lists the figures).
#pragma once

#include <span>
#include <string>
#include <vector>

#include "edge_proxy/router.h"
#include "proxy/admin/metric.h"
#include "proxy/client/pending_requests.h"
#include "proxy/upstream/upstream_pool.h"

namespace edge_proxy::proxy {

/// The figures on requests, attempts and endpoints, in the order in which they are listed.
[[nodiscard]] std::vector<Metric> collect_request_metrics(const PendingRequests& requests,
                                                          const UpstreamPool& upstream, const Router& router);

/// One line for each figure: `svc.NAME:VALUE|c` for a counter, `|g` for a gauge.
[[nodiscard]] std::string format_metrics(std::span<const Metric> metrics);

}  // namespace edge_proxy::proxy
