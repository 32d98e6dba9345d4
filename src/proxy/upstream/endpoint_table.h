// SPDX-License-Identifier: MIT
/// @file
/// The current endpoints and the connections to each of them.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "codec/discovery_events.h"
#include "proxy/reducer.h"

namespace edge_proxy::proxy {

/// The endpoints by id, in the state that the endpoint directory last reported.
class EndpointTable {
 public:
  struct Entry {
    Endpoint endpoint;
    std::string address;
    Time process_started{0};
    std::set<ConnectionId> connections;
  };

  /// Marks all endpoints as removed; called before a complete list is applied, which updates those it
  /// contains.
  void mark_all_removed();
  /// Whether the listed endpoint has another process or address than the known endpoint with the same id. The
  /// connections of the known one must not be used any more; they may remain silent forever.
  [[nodiscard]] bool is_replaced_by(const codec::ListedEndpoint& listed) const;
  void update(const codec::ListedEndpoint& listed);
  /// Returns the ids of the endpoints in the state `removed`.
  [[nodiscard]] std::vector<std::string> removed() const;
  /// Erases the endpoints in the state `removed`; without this, endpoints that are replaced over days would
  /// use more and more memory.
  void erase_removed();

  /// Returns null if no endpoint with this id is listed.
  [[nodiscard]] Entry* find(const std::string& id);
  /// Whether new attempts may use the endpoint, either as the target or as the source.
  [[nodiscard]] bool accepts_attempts(const std::string& id) const;
  /// Removes the connection from those of the endpoint.
  void remove_connection(const std::string& id, ConnectionId connection);

  [[nodiscard]] std::size_t size() const { return entries_.size(); }
  [[nodiscard]] std::size_t not_running_count() const;
  /// Number of endpoints with at least one connection.
  [[nodiscard]] std::size_t connected_count() const;

 private:
  std::map<std::string, Entry> entries_;
};

}  // namespace edge_proxy::proxy
