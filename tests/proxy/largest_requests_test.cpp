// SPDX-License-Identifier: MIT
// Tests that the requests for the largest objects of a class are answered in proportion to the other requests
// of the class under several kinds of overload. crowded_world.h describes the simulation.
#include <gtest/gtest.h>

#include "support/crowded_world.h"

namespace edge_proxy::test {
namespace {

/// Checks the operators' requirement for several seeds: of the tenth of a class's requests with the largest
/// objects (the quarter if there are fewer than 400 requests), at least `min_ratio` of the class's answered
/// share is answered, in time or late.
void expect_largest_share_at_least(double min_ratio, const CrowdedScenario& base) {
  CrowdedScenario scenario = base;
  for (scenario.seed = 1; scenario.seed <= 8; ++scenario.seed) {
    const CrowdedResult result = CrowdedWorld(scenario).run();
    for (std::size_t request_class = 0; request_class < result.all.size(); ++request_class) {
      EXPECT_GE(result.all[request_class], 0.3) << "class " << request_class << ", seed " << scenario.seed
                                                << ": too few answers for a valid comparison";
      EXPECT_GE(result.largest[request_class], min_ratio * result.all[request_class])
          << "class " << request_class << ", seed " << scenario.seed;
    }
  }
}

TEST(LargestRequests, GetTwoThirdsOfTheClassShareUnderNormalLoad) {
  expect_largest_share_at_least(2.0 / 3, {.load = 0.5});
  expect_largest_share_at_least(2.0 / 3, {.load = 0.5, .large_object_kb = 9000});
}

TEST(LargestRequests, GetHalfOfTheClassShareUnderOverload) {
  expect_largest_share_at_least(0.5, {.load = 1.2});
  expect_largest_share_at_least(0.5, {.load = 1.5, .large_object_kb = 6000});
}

TEST(LargestRequests, GetHalfOfTheClassShareAfterTheLossOfAllCopies) {
  // The limit on fills must not admit only the cheapest fills.
  expect_largest_share_at_least(0.5, {.load = 0.6, .copies_lost = true});
  expect_largest_share_at_least(0.5, {.load = 1.0, .parent_capacity = 0.5, .copies_lost = true});
}

TEST(LargestRequests, GetHalfOfTheClassShareWithParentsAtAnEighthOfTheirCapacity) {
  expect_largest_share_at_least(0.5, {.load = 0.8, .parent_capacity = 0.125, .copies_lost = true});
  expect_largest_share_at_least(
      0.5, {.load = 0.8, .parent_capacity = 0.125, .copies_lost = true, .large_object_kb = 8000});
}

}  // namespace
}  // namespace edge_proxy::test
