// SPDX-License-Identifier: MIT
#include "proxy/upstream/connection_selection.h"

#include <algorithm>

namespace edge_proxy::proxy {
namespace {

constexpr std::size_t kMinConnectionsPerEndpoint = 4;
constexpr std::size_t kMaxConnectionsPerEndpoint = 32;

bool can_take(const UpstreamConnection& connection, const SelectionCriteria& criteria) {
  return !connection.was_used_by(criteria.request) && !connection.has_too_many_unconfirmed() &&
         connection.attempt_count() < criteria.max_requests_per_connection &&
         !connection.is_unresponsive(criteria.now);
}

/// Whether `connection` is a better choice than `other`.
bool is_preferred(const UpstreamConnection& connection, const UpstreamConnection& other) {
  if (connection.is_connected() != other.is_connected()) return connection.is_connected();
  return connection.attempt_count() < other.attempt_count();
}

}  // namespace

ConnectionSelection select_connection(const std::set<ConnectionId>& candidates,
                                      const UpstreamConnections& connections,
                                      const SelectionCriteria& criteria) {
  std::optional<ConnectionId> best;
  for (const ConnectionId id : candidates) {
    const UpstreamConnection& connection = connections.at(id);
    if (!can_take(connection, criteria)) continue;
    if (!best || is_preferred(connection, connections.at(*best))) best = id;
  }
  if (!best) return {};
  const bool is_being_opened = std::any_of(candidates.begin(), candidates.end(), [&](ConnectionId id) {
    return !connections.at(id).is_connected();
  });
  return {best, connections.at(*best).attempt_count() > 0 && !is_being_opened};
}

std::size_t max_connections_per_endpoint(int max_connections, std::size_t connected_endpoints) {
  const auto endpoints = static_cast<std::ptrdiff_t>(std::max<std::size_t>(connected_endpoints, 1));
  const auto share = static_cast<std::size_t>(max_connections / endpoints);
  return std::clamp(share, kMinConnectionsPerEndpoint, kMaxConnectionsPerEndpoint);
}

std::optional<ConnectionId> find_longest_idle(const UpstreamConnections& connections) {
  std::optional<ConnectionId> longest;
  for (const auto& [id, connection] : connections) {
    if (!connection.is_connected() || !connection.is_idle()) continue;
    if (!longest || connection.last_active_at() < connections.at(*longest).last_active_at()) longest = id;
  }
  return longest;
}

}  // namespace edge_proxy::proxy
