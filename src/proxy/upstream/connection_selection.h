// SPDX-License-Identifier: MIT
/// @file
/// Decides which connection to an endpoint takes the next attempt, when another one should be opened, and
/// which one is closed to make room. Reads the connections and changes nothing.
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

/// What is to be written, and from what on a connection counts as full.
struct SelectionCriteria {
  const std::string& request;  ///< empty for a health check
  std::size_t max_requests_per_connection = 0;
  Time now{0};
};

/// The connection that takes the attempt.
struct ConnectionSelection {
  std::optional<ConnectionId> best;  ///< none: no open connection can take it
  /// Another connection should be opened, where the limits allow it.
  bool should_open_another = true;
};

/// The least busy of the endpoint's connections, one that is up before one that is coming up. Guards against
/// an answer that comes late or twice and is taken for that of a further attempt: a connection that was used
/// by the request before is left out, like one that is full or suspicious.
///
/// Guards requests against a malformed response, with which all that is open on its connection is lost: where
/// no connection is free, another is opened, so that soon each request has one of its own. Until then the
/// least busy one serves.
[[nodiscard]] ConnectionSelection select_connection(const std::set<ConnectionId>& candidates,
                                                    const UpstreamConnections& connections,
                                                    const SelectionCriteria& criteria);

/// How many connections one endpoint may have: an even share of the connections to all of them, but 4 to 32.
[[nodiscard]] std::size_t max_connections_per_endpoint(int max_connections, std::size_t connected_endpoints);

/// The connection that has served nobody for longest and can be closed for another one; none where all are
/// used or coming up.
[[nodiscard]] std::optional<ConnectionId> find_longest_idle(const UpstreamConnections& connections);

}  // namespace edge_proxy::proxy
