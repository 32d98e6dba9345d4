// SPDX-License-Identifier: MIT
/// @file
/// The endpoints to which attempts can go now, and the connections to each.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "codec/discovery_events.h"
#include "proxy/reducer.h"

namespace edge_proxy::proxy {

/// The endpoints by id, as the endpoint directory last sent them.
class EndpointTable {
 public:
  struct Entry {
    Endpoint endpoint;
    std::string address;
    Time process_started{0};
    std::set<ConnectionId> connections;
  };

  /// Before a complete list is taken in: an endpoint that is not in it is removed.
  void mark_all_removed();
  /// Whether the listed endpoint has another process or address than the one known by its id. Guards against
  /// an id that was given to another one: the old connections, which may be silent for ever, are not its own.
  [[nodiscard]] bool is_replaced_by(const codec::ListedEndpoint& listed) const;
  void update(const codec::ListedEndpoint& listed);
  /// Those that were marked as removed, or listed so.
  [[nodiscard]] std::vector<std::string> removed() const;
  /// Guards the memory against endpoints that are replaced for days: those marked as removed are forgotten.
  void erase_removed();

  /// Null where no endpoint of this id is listed.
  [[nodiscard]] Entry* find(const std::string& id);
  /// Whether new attempts may go to the endpoint, or by way of it.
  [[nodiscard]] bool accepts_attempts(const std::string& id) const;
  /// The connection does not count as one of the endpoint's any more.
  void remove_connection(const std::string& id, ConnectionId connection);

  [[nodiscard]] std::size_t size() const { return entries_.size(); }
  [[nodiscard]] std::size_t not_running_count() const;
  /// Endpoints to which there is a connection.
  [[nodiscard]] std::size_t connected_count() const;

 private:
  std::map<std::string, Entry> entries_;
};

}  // namespace edge_proxy::proxy
