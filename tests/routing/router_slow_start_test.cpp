// SPDX-License-Identifier: MIT
#include <gtest/gtest.h>

#include "edge_proxy/router.h"
#include "support/routing_world.h"

namespace edge_proxy::test {
namespace {

// ---- Slow start ----

/// Returns the work, in seconds of transfer, that cache-a receives within two seconds, `since_start` after
/// its start. `with_rejected_load` adds requests that are all rejected before that.
double work_sent_to_warming_cache(Time since_start, bool with_rejected_load) {
  World world;
  for (int second = 0; second < 20; ++second) {
    for (std::uint64_t i = 0; i < 30; ++i) {
      world.serve(i);
      if (!with_rejected_load) continue;
      for (int more = 0; more < 4; ++more) {
        for (const Attempt& attempt : actions_of<Attempt>(world.handle(world.request(i))))
          world.end_attempt(attempt, AttemptResult::shed);
      }
    }
    world.advance(1s);
  }
  world.handle(EndpointList{ListKind::changes, {make_endpoint("cache-a", 0, 2, world.now - since_start)}});
  int sent = 0;
  for (int step = 0; step < 20; ++step) {
    for (std::uint64_t i = 0; i < 3; ++i)
      sent += world.serve(static_cast<std::uint64_t>(step) % 10 * 3 + i).endpoint == "cache-a" ? 1 : 0;
    world.advance(100ms);
  }
  return sent * 0.05;
}

TEST(SlowStartBudget, LimitsTheWorkSentToAWarmingCache) {
  // The caches serve 1.5 s of transfer per second, a third of it each. The budget is 2 x 0.25 x 0.5 x 2 s.
  EXPECT_LE(work_sent_to_warming_cache(0s, false), 0.5);
  EXPECT_GT(work_sent_to_warming_cache(0s, false), 0.0);
  EXPECT_GT(work_sent_to_warming_cache(20s, false), 0.6);
}

TEST(SlowStartBudget, DoesNotGrowWithRejectedWork) { EXPECT_LE(work_sent_to_warming_cache(0s, true), 0.5); }

TEST(SlowStartBudget, IsZeroForANewRouterWithoutWeights) {
  World world(default_settings(), {make_endpoint("cache-a", 0, 2, 999s), make_endpoint("origin", 2, 0)});
  for (std::uint64_t i = 0; i < 20; ++i) EXPECT_NE(world.serve(i).endpoint, "cache-a");
}

TEST(SlowStartBudget, FollowsNominalWeightsForANewRouter) {
  // Guards against an outage after a location and its routers restart together: new routers have no mean
  // load, so that they sent nothing to caches that were warming up and rejected nearly all requests for 18 s.
  Settings settings = default_settings();
  settings.weights = WeightMeaning::nominal;
  Endpoint warming_cache = make_endpoint("cache-a", 0, 2, 1000s);
  warming_cache.weight = 4;
  World world(settings, {warming_cache, make_endpoint("origin", 2, 0)});
  const auto sent_in_2s = [&world] {
    std::size_t sent = 0;
    for (std::uint64_t i = 0; i < 200; ++i) {
      sent += world.serve(i).endpoint == "cache-a" ? 1 : 0;
      world.advance(10ms);
    }
    return static_cast<double>(sent) * 0.05;
  };
  // The cache fails at 2 x 0.25 x 4 x 2 s of work at its start. During the handover time the process that
  // this router replaces may send as well.
  const double at_first = sent_in_2s();
  EXPECT_GT(at_first, 0.8);
  EXPECT_LT(at_first, 4 * 0.45);
  world.advance(2s);
  EXPECT_GT(sent_in_2s(), 2.0);
}

TEST(SlowStartBudget, ScalesWithTheQuotaShare) {
  // Guards the shares of the other routers: a router whose quota lease has expired must limit itself to its
  // reduced share immediately.
  const auto sent_in_2s = [](double part) {
    Settings settings = default_settings();
    settings.weights = WeightMeaning::nominal;
    Endpoint warming_cache = make_endpoint("cache-a", 0, 2, 1000s);
    warming_cache.weight = 4;
    World world(settings, {warming_cache, make_endpoint("origin", 2, 0)});
    world.advance(5s);
    world.handle(QuotaChanged{1, part});
    std::size_t sent = 0;
    for (std::uint64_t i = 0; i < 200; ++i) {
      sent += world.serve(i).endpoint == "cache-a" ? 1 : 0;
      world.advance(10ms);
    }
    return sent;
  };
  const std::size_t whole = sent_in_2s(1), half = sent_in_2s(0.5);
  EXPECT_GT(half, 0U);
  EXPECT_LE(half, whole * 6 / 10);
  EXPECT_EQ(sent_in_2s(0), 0U);
}

TEST(SlowStartBudget, BelowOneRequestSpacesRequestsInTime) {
  // Guards against a burst from hundreds of routers: the share of each stays below one request until the
  // cache counts as warm by its age, and then all routers would send at once.
  std::size_t sent = 0;
  World world;
  for (int second = 0; second < 20; ++second) {
    world.serve(static_cast<std::uint64_t>(second));  // 0.05 s of transfer per second over three caches
    world.advance(1s);
  }
  world.handle(EndpointList{ListKind::changes, {make_endpoint("cache-a", 0, 2, world.now)}});
  for (int step = 0; step < 80; ++step) {
    sent += world.serve(static_cast<std::uint64_t>(step)).endpoint == "cache-a" ? 1 : 0;
    world.advance(100ms);
  }
  EXPECT_GE(sent, 1U);
  EXPECT_LE(sent, 6U);
}

TEST(SlowStartBudget, SurvivesARestartOfAllCaches) {
  // Guards against budgets that drop to zero: while all caches are warming up, none of the served work comes
  // from warm caches, and a mean load that followed it would approach zero.
  World world;
  for (int second = 0; second < 20; ++second) {
    for (std::uint64_t i = 0; i < 30; ++i) world.serve(i);
    world.advance(1s);
  }
  auto list = default_endpoints();
  for (Endpoint& endpoint : list) endpoint.started = endpoint.kind == 0 ? world.now : Time{0};
  world.handle(EndpointList{ListKind::complete, list});
  world.advance(12s);
  std::size_t at_caches = 0;
  for (std::uint64_t i = 0; i < 30; ++i) at_caches += world.serve(i).endpoint.starts_with("cache") ? 1 : 0;
  EXPECT_GE(at_caches, 15U);
}

TEST(SlowStartBudget, SurvivesListedEndpointsThatFail) {
  // Guards against budgets that drop to zero while the caches of an unreachable location are still listed.
  // When they come back, they are warming up and face the full demand.
  World world;
  for (int second = 0; second < 20; ++second) {
    for (std::uint64_t i = 0; i < 30; ++i) world.serve(i);
    world.advance(1s);
  }
  for (int second = 0; second < 12; ++second) {
    for (std::uint64_t i = 0; i < 30; ++i) {
      for (const Attempt& attempt : actions_of<Attempt>(world.handle(world.request(i))))
        world.end_attempt(attempt, attempt.endpoint.starts_with("cache") ? AttemptResult::unreachable
                                                                         : AttemptResult::served);
    }
    world.advance(1s);
  }
  auto list = default_endpoints();
  for (Endpoint& endpoint : list) endpoint.started = endpoint.kind == 0 ? world.now : Time{0};
  world.handle(EndpointList{ListKind::complete, list});
  world.advance(8s);
  std::size_t at_caches = 0;
  for (std::uint64_t i = 0; i < 30; ++i) at_caches += world.serve(i).endpoint.starts_with("cache") ? 1 : 0;
  EXPECT_GE(at_caches, 15U);
}

}  // namespace
}  // namespace edge_proxy::test
