// SPDX-License-Identifier: MIT
/// @file
/// Decides which connection to an endpoint takes the next attempt, when another one should be opened, and
/// which one is closed to make room. These functions do not change the connections.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "proxy/upstream/upstream_connection.h"

namespace edge_proxy::proxy {

/// All connections to endpoints, in the order in which they were opened.
using UpstreamConnections = std::map<ConnectionId, UpstreamConnection>;

/// The request to be written, and the number of requests at which a connection is full.
struct SelectionCriteria {
  const std::string& request;  ///< empty for a health check
  std::size_t max_requests_per_connection = 0;
  Time now{0};
};

/// The connection that takes the attempt.
struct ConnectionSelection {
  std::optional<ConnectionId> best;  ///< none: no connection can take the attempt
  /// Whether another connection should be opened if the limits allow it.
  bool should_open_another = true;
};

/// Selects the connection with the fewest attempts; established connections take precedence over those being
/// opened. Full and unresponsive connections are skipped, as are those that the same request has used before:
/// a late or repeated answer to its previous attempt would be taken for the answer to the new one.
///
/// A malformed response loses all requests on its connection. Another connection is therefore opened if none
/// is free, so that each request soon has its own connection; until then, the least busy one takes it.
[[nodiscard]] ConnectionSelection select_connection(const std::set<ConnectionId>& candidates,
                                                    const UpstreamConnections& connections,
                                                    const SelectionCriteria& criteria);

/// Returns how many connections one endpoint may have: an equal share of all connections, within 4 to 32.
[[nodiscard]] std::size_t max_connections_per_endpoint(int max_connections, std::size_t connected_endpoints);

/// Returns the connection that has been idle for the longest time, which can be closed to make room; none if
/// all connections are in use or being opened.
[[nodiscard]] std::optional<ConnectionId> find_longest_idle(const UpstreamConnections& connections);

}  // namespace edge_proxy::proxy
