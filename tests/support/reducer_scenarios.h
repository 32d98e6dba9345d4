// SPDX-License-Identifier: MIT
/// @file
/// Helpers for the tests of the reducer in virtual time. scenario.h describes the language of the scenarios.
#pragma once

#include <string>
#include <vector>

#include "support/virtual_time_harness.h"

namespace edge_proxy::test {

/// Runs a scenario against a new reducer with these members in virtual time.
inline void run_scenario(const std::string& scenario,
                         const std::vector<std::string>& members = {"box-1", "up-1", "main"}) {
  VirtualTimeHarness harness(members);
  run_scenario(harness, scenario);
}

/// Returns the scenario line by which discovery sends an endpoint list.
inline std::string endpoint_list_event(int number, const std::string& members, bool complete = false) {
  return R"(bulletin send {"no":)" + std::to_string(number) + R"(,"roster":{"revision":2,"complete":)" +
         (complete ? "true" : "false") + R"(,"members":[)" + members + "]}}\n";
}

/// Changes a configuration so that endpoints take no cancels.
inline std::string without_cancels(std::string config) {
  const std::string key = R"("cancelling":true)";
  return config.replace(config.find(key), key.size(), R"("cancelling":false)");
}

}  // namespace edge_proxy::test
