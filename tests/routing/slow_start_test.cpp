// SPDX-License-Identifier: MIT
// Slow start with many routers, simulated by slow_start_world.h. bench/slow_start_figures.cpp runs hundreds
// of seeds.
#include <gtest/gtest.h>

#include "support/slow_start_world.h"

namespace edge_proxy::test {
namespace {

void expect_within_limits(SlowStartScenario scenario, int seeds) {
  for (const int routers : {3, 20, 30}) {
    for (int seed = 1; seed <= seeds; ++seed) {
      scenario.routers = routers;
      scenario.seed = static_cast<std::uint64_t>(seed);
      const SlowStartResult result = SlowStartWorld(scenario).run();
      EXPECT_LE(result.cache_excess, 2) << routers << " routers, seed " << seed;
      EXPECT_LE(result.parent_excess, 2) << routers << " routers, seed " << seed;
      EXPECT_GE(result.cache_used, 0.05) << "the cache must receive requests as well";
      EXPECT_GE(result.parent_used, 0.05);
    }
  }
}

TEST(SlowStart, AllRoutersLearnOfTheEndpointsAtOnce) { expect_within_limits({}, 2); }

TEST(SlowStart, LargeObjectsAndARestartOfAllRouters) {
  SlowStartScenario scenario;
  scenario.large_object_kb = 12000;
  scenario.restarted_fraction = 1;
  expect_within_limits(scenario, 2);
}

TEST(SlowStart, RequestsWithoutASize) {
  // Guards against an overload of a cache that is warming up: requests without a size counted as zero work,
  // and the cache failed at 3.8 times its capacity (2.5 allowed).
  SlowStartScenario scenario;
  scenario.sizes_known = false;
  expect_within_limits(scenario, 2);
}

TEST(SlowStart, ThreeHundredRoutersWithSharesBelowOneRequest) {
  SlowStartScenario scenario;
  scenario.routers = 300;
  scenario.sizes_known = false;
  const SlowStartResult result = SlowStartWorld(scenario).run();
  EXPECT_LE(result.cache_excess, 2);
  EXPECT_LE(result.parent_excess, 2);
}

}  // namespace
}  // namespace edge_proxy::test
