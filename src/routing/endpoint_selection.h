// SPDX-License-Identifier: MIT
/// @file
/// Endpoint selection by weighted rendezvous hashing with bounded load. Decides which cache, or which parent,
/// gets a request, from a key, the endpoints' weights and health, and this router's requests in flight. All
/// routers order the endpoints of a key alike, so that its copies lie at few places.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "edge_proxy/router.h"
#include "routing/endpoint_table.h"
#include "routing/slow_start.h"

namespace edge_proxy::routing {

struct SelectionQuery {
  Role role = Role::cache;
  std::uint64_t key = 0;
  double work = 0;                    ///< size of the request for slow start, in seconds of transfer
  std::vector<std::size_t> excluded;  ///< endpoints that had an attempt already
  double capacity_ratio = 1;          ///< part of a parent's concurrency limit that is open to the request
};

class EndpointSelector {
 public:
  /// The arguments have to outlive this object.
  EndpointSelector(const Settings& settings, EndpointTable& endpoints, const SlowStart& slow_start)
      : settings_(settings), endpoints_(endpoints), slow_start_(slow_start) {}

  /// The first usable endpoint in the key's order whose requests in flight are below its bound.
  [[nodiscard]] std::optional<std::size_t> select(Time now, const SelectionQuery& query) const;

 private:
  /// A usable endpoint with its score in the key's order.
  struct Candidate {
    double score = 0;
    std::size_t index = 0;
  };
  /// The endpoints of the role as a whole, and those that may be selected, best first.
  struct Candidates {
    double share_sum = 0;
    double in_flight = 0;
    std::vector<Candidate> ordered;
  };

  [[nodiscard]] Candidates find_candidates(Time now, const SelectionQuery& query,
                                           const std::vector<std::size_t>& group, double reference) const;
  [[nodiscard]] bool is_usable(Time now, EndpointStats& stats, double work) const;
  [[nodiscard]] double score(const EndpointStats& stats, std::uint64_t key, double reference) const;
  [[nodiscard]] double load_bound(const EndpointStats& stats, const SelectionQuery& query,
                                  const Candidates& candidates, double reference) const;

  const Settings& settings_;
  EndpointTable& endpoints_;
  const SlowStart& slow_start_;
};

}  // namespace edge_proxy::routing
