// SPDX-License-Identifier: MIT
/// @file
/// The known endpoints, by index, with the state that the router keeps for each. Assigns the role of each
/// endpoint from the endpoint list, and frees the entries of removed endpoints.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/sliding_window_sum.h"
#include "edge_proxy/router.h"
#include "routing/concurrency_limit.h"
#include "routing/endpoint_health.h"

namespace edge_proxy::routing {

/// The role of an endpoint for this router. `other_zone`: a cache of another zone, which gets no requests.
enum class Role { cache, parent, origin, other_zone };

/// The state that the router keeps for one endpoint.
struct EndpointStats {
  Endpoint endpoint;
  std::uint64_t hash = 0;  ///< hash of its id, for rendezvous hashing
  Role role = Role::other_zone;
  bool is_in_use = false;  ///< false: the entry is free, and no id refers to it
  int references = 0;      ///< number of uses as endpoint or source by attempts of pending requests
  int in_flight = 0;       ///< this router's open attempts with it as endpoint or source
  EndpointHealth health;
  ConcurrencyLimit limit;
  SlidingWindowSum warm_up_work;  ///< work sent to it while it is warming up
  Time last_sent_in_warm_up_at{0};

  [[nodiscard]] bool is_running() const { return endpoint.state == EndpointState::running; }
};

/// An index stays valid while its endpoint is listed or referenced.
class EndpointTable {
 public:
  /// `settings` must outlive this object.
  explicit EndpointTable(const Settings& settings) : settings_(settings) {}

  /// Applies an endpoint list. Its kind must not be `ListKind::failed`.
  void apply(const EndpointList& list);

  [[nodiscard]] EndpointStats& operator[](std::size_t index) { return endpoints_[index]; }
  [[nodiscard]] const EndpointStats& operator[](std::size_t index) const { return endpoints_[index]; }

  /// Returns the indices of the running endpoints of a role in ascending order.
  [[nodiscard]] std::vector<std::size_t> running(Role role) const;
  [[nodiscard]] std::optional<std::size_t> origin() const;

  void add_reference(std::size_t index) { ++endpoints_[index].references; }
  void remove_reference(std::size_t index);

  /// Number of endpoints that are listed or still referenced.
  [[nodiscard]] std::size_t known_count() const { return index_by_id_.size(); }
  /// Number of table entries, including free entries.
  [[nodiscard]] std::size_t entry_count() const { return endpoints_.size(); }
  [[nodiscard]] std::size_t ejected_count(Time now) const;

 private:
  void update_endpoint(const Endpoint& endpoint);
  std::size_t find_or_add(const std::string& id);
  [[nodiscard]] Role role_of(const Endpoint& endpoint) const;
  void free_if_unused(std::size_t index);

  const Settings& settings_;
  std::vector<EndpointStats> endpoints_;
  std::vector<std::size_t> free_indices_;
  std::map<std::string, std::size_t> index_by_id_;
};

}  // namespace edge_proxy::routing
