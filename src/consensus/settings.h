// SPDX-License-Identifier: MIT
/// @file
/// What agreement is set by. Defaults and their reasons: docs/consensus.md, "Values".
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "consensus/types.h"

namespace edge_proxy::consensus {

struct Settings {
  std::string name;
  std::vector<std::string> voters;   ///< whom to ask for the leader, until the log tells
  Time lease{5'000'000};             ///< under which a proxy decides, by its own clock
  Time renew_interval{1'250'000};    ///< asks anew this often
  Time urgent_interval{100'000};     ///< while it holds none, or a change is under way
  double max_clock_drift = 0.01;     ///< each clock is off by this part at most
  Time prepare_timeout{20'000'000};  ///< then a reachable member that has not answered ends the change
  Time call_timeout{8'000'000};      ///< then an operator is told that it is not known
  std::size_t max_policy_bytes = 65'536;
  bool serve_when_partitioned = false;  ///< decide without a lease: the promise is broken, and counted
  /// What is wrong with a policy for this proxy: the key and the reason; none where it can run it.
  std::function<std::optional<std::string>(const std::string& policy)> check_policy;
};

}  // namespace edge_proxy::consensus
