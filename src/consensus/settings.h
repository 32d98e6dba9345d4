// SPDX-License-Identifier: MIT
/// @file
/// Settings of the consensus. Defaults and their reasons: docs/consensus.md, "Values".
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "consensus/types.h"

namespace edge_proxy::consensus {

struct Settings {
  std::string name;
  std::vector<std::string> voters;   ///< asked in turn while no leader is known
  Time lease{5'000'000};             ///< under which a proxy decides, by its own clock
  Time renew_interval{1'250'000};    ///< between requests for a lease
  Time urgent_interval{100'000};     ///< while it holds none, or a change is under way
  double max_clock_drift = 0.01;     ///< each clock is off by this part at most
  Time prepare_timeout{20'000'000};  ///< then a reachable member that has not answered ends the change
  Time call_timeout{8'000'000};      ///< then an operator's call is answered as unknown
  std::size_t max_policy_bytes = 65'536;
  bool serve_when_partitioned = false;  ///< decide without a lease: may break the invariant; counted
  /// What is wrong with a policy for this proxy: the key and the reason; none where it can run it.
  std::function<std::optional<std::string>(const std::string& policy)> check_policy;
};

}  // namespace edge_proxy::consensus
