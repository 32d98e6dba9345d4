// SPDX-License-Identifier: MIT
/// @file
/// Settings of consensus. docs/consensus.md, "Values", explains the defaults.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "consensus/types.h"

namespace edge_proxy::consensus {

struct Settings {
  std::string name;
  std::vector<std::string> voters;   ///< lease requests go to these in turn while no leader is known
  Time lease{5'000'000};             ///< duration of a lease, by the holder's clock
  Time renew_interval{1'250'000};    ///< between lease requests
  Time urgent_interval{100'000};     ///< used instead while no lease is held or a change is in progress
  double max_clock_drift = 0.01;     ///< the rate of a clock is wrong by at most this fraction
  Time prepare_timeout{20'000'000};  ///< a reachable member that has not replied by then aborts the change
  Time call_timeout{8'000'000};      ///< an operator's call without a result is answered as unknown then
  std::size_t max_policy_bytes = 65'536;
  bool serve_when_partitioned = false;  ///< decide without a lease, which may break the invariant; counted
  /// Returns why this proxy cannot apply a policy: the key and the reason. None if it can.
  std::function<std::optional<std::string>(const std::string& policy)> check_policy;
};

}  // namespace edge_proxy::consensus
