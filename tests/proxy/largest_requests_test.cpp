// SPDX-License-Identifier: MIT
// The largest requests of a class get their part of the answers, whatever is short: see crowded_world.h.
#include <gtest/gtest.h>

#include "support/crowded_world.h"

namespace edge_proxy::test {
namespace {

/// The operators' terms: of the tenth of a class's requests with the largest objects (under 400 of them: the
/// quarter), that part of the class's own share is answered, in time or late.
void largest_get_at_least(double part, const CrowdedScenario& drawn) {
  CrowdedScenario plan = drawn;
  for (plan.seed = 1; plan.seed <= 8; ++plan.seed) {
    const CrowdedResult result = CrowdedWorld(plan).run();
    for (std::size_t c = 0; c < result.all.size(); ++c) {
      EXPECT_GE(result.all[c], 0.3) << "class " << c << ", seed " << plan.seed << ": it says nothing";
      EXPECT_GE(result.largest[c], part * result.all[c]) << "class " << c << ", seed " << plan.seed;
    }
  }
}

TEST(LargestRequests, OnQuietDays) {
  largest_get_at_least(2.0 / 3, {.load = 0.5});
  largest_get_at_least(2.0 / 3, {.load = 0.5, .large_object_kb = 9000});
}

TEST(LargestRequests, UnderABurst) {
  largest_get_at_least(0.5, {.load = 1.2});
  largest_get_at_least(0.5, {.load = 1.5, .large_object_kb = 6000});
}

TEST(LargestRequests, WhenAllCopiesGoVoid) {
  // Guards them against a gate on fills that lets through the cheapest and never the others.
  largest_get_at_least(0.5, {.load = 0.6, .copies_lost = true});
  largest_get_at_least(0.5, {.load = 1.0, .parent_capacity = 0.5, .copies_lost = true});
}

TEST(LargestRequests, WhenTheParentsCanDoAnEighthAsWell) {
  largest_get_at_least(0.5, {.load = 0.8, .parent_capacity = 0.125, .copies_lost = true});
  largest_get_at_least(0.5,
                       {.load = 0.8, .parent_capacity = 0.125, .copies_lost = true, .large_object_kb = 8000});
}

}  // namespace
}  // namespace edge_proxy::test
