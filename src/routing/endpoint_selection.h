// SPDX-License-Identifier: MIT
/// @file
/// Endpoint selection by weighted rendezvous hashing with bounded load. Selects the cache or the parent for a
/// request from a key, the weights and the health of the endpoints, and this router's requests in flight. All
/// routers rank the endpoints of a key in the same order, so that few endpoints hold copies of it.
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
  std::vector<std::size_t> excluded;  ///< endpoints of earlier attempts
  double capacity_ratio = 1;          ///< part of a parent's concurrency limit that the request may use
};

class EndpointSelector {
 public:
  /// The arguments must outlive this object.
  EndpointSelector(const Settings& settings, EndpointTable& endpoints, const SlowStart& slow_start)
      : settings_(settings), endpoints_(endpoints), slow_start_(slow_start) {}

  /// Returns the first usable endpoint in rendezvous order with fewer requests in flight than its load bound.
  [[nodiscard]] std::optional<std::size_t> select(Time now, const SelectionQuery& query) const;

 private:
  /// A usable endpoint with its rendezvous score.
  struct Candidate {
    double score = 0;
    std::size_t index = 0;
  };
  /// Sums over all running endpoints of the role, and the endpoints that may be selected, best first.
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
