// SPDX-License-Identifier: MIT
#include <gtest/gtest.h>

#include "edge_proxy/router.h"
#include "support/routing_world.h"

namespace edge_proxy::test {
namespace {

// ---- Fill admission ----

/// Sends requests for different objects, one per 100 ms, and calls `end` for the first attempt of each.
/// Returns how many of the last 40 first attempts had a source for a fill.
template <typename End>
std::size_t fills_in_last_40_requests(World& world, int requests, End end) {
  std::size_t fills = 0;
  for (int i = 0; i < requests; ++i) {
    const auto sent = actions_of<Attempt>(world.handle(world.request(static_cast<std::uint64_t>(i))));
    if (!sent.empty()) {
      if (requests - i <= 40 && sent.front().source != sent.front().endpoint && !sent.front().cached_only)
        ++fills;
      end(sent.front(), i);
    }
    world.advance(100ms);
    world.end_cancelled_attempts();
  }
  return fills;
}

TEST(Fills, AreDeniedWhileFillsAreLateAndRecoverQuickly) {
  // Guards against an overload of the origin. With hundreds of routers each one rarely has a fill in flight,
  // so that concurrency limits have no effect, and after an invalidation or with a slow origin the routers
  // sent more fills than the origin could serve.
  World world;
  const auto late = [&world](const Attempt& attempt, int) {
    const bool fill = attempt.source != attempt.endpoint;
    if (fill) world.advance(510ms);
    world.end_attempt(attempt, fill ? AttemptResult::served : AttemptResult::cache_miss, 0,
                      fill ? CacheStatus::filled : CacheStatus::unknown, 510ms);
  };
  EXPECT_LE(fills_in_last_40_requests(world, 100, late), 20U);  // a few remain for parents and the origin
  const auto in_time = [&world](const Attempt& attempt, int) {
    const bool fill = attempt.source != attempt.endpoint;
    world.end_attempt(attempt, fill ? AttemptResult::served : AttemptResult::cache_miss, 0,
                      fill ? CacheStatus::filled : CacheStatus::unknown);
  };
  EXPECT_GE(fills_in_last_40_requests(world, 140, in_time), 38U);
}

TEST(Fills, DeniedFromParentsDoNotGoToTheOrigin) {
  // Guards against an overload of the origin after all copies become invalid: hundreds of routers sent the
  // fills that were denied from the parents to the origin. The origin serves the parents' misses as well, and
  // hardly any response was in time.
  World world;
  std::size_t from_origin = 0, denied_fills = 0;
  for (int i = 0; i < 120; ++i) {
    const auto sent = actions_of<Attempt>(world.handle(world.request(static_cast<std::uint64_t>(i))));
    for (const Attempt& attempt : sent) {
      from_origin += attempt.source == "origin" && attempt.endpoint != "origin" ? 1 : 0;
      denied_fills += attempt.cached_only || attempt.source == attempt.endpoint ? 1 : 0;
      const bool fill = !attempt.cached_only && attempt.source != attempt.endpoint;
      if (fill) world.advance(510ms);
      world.end_attempt(attempt, fill ? AttemptResult::served : AttemptResult::cache_miss, 0,
                        fill ? CacheStatus::filled : CacheStatus::unknown, 510ms);
    }
    world.advance(100ms);
    world.end_cancelled_attempts();
  }
  EXPECT_GE(denied_fills, 20U);
  EXPECT_EQ(from_origin, 0U);
}

TEST(Fills, AreDeniedWhileFillsAreLateWithoutParents) {
  Settings settings = default_settings();
  settings.parent_kind = -1;
  World world(settings, {make_endpoint("cache-a", 0, 2), make_endpoint("cache-b", 0, 2),
                         make_endpoint("origin", 2, 0)});
  const auto late = [&world](const Attempt& attempt, int) {
    const bool fill = attempt.source != attempt.endpoint;
    if (fill) world.advance(510ms);
    world.end_attempt(attempt, fill ? AttemptResult::served : AttemptResult::cache_miss, 0,
                      fill ? CacheStatus::filled : CacheStatus::unknown, 510ms);
  };
  EXPECT_LE(fills_in_last_40_requests(world, 100, late), 15U);
}

TEST(Fills, RecoverAlthoughSomeResponsesAreLost) {
  // Guards against denying fills long after a slow origin has recovered: responses that are lost for hits and
  // fills alike must not count as failed fills.
  Settings settings = default_settings();
  settings.hedging = false;
  World world(settings);
  const auto end = [&world](const Attempt& attempt, bool late) {
    if (attempt.source == attempt.endpoint || attempt.cached_only) {
      world.end_attempt(attempt, AttemptResult::cache_miss, 0,
                        attempt.cached_only ? CacheStatus::source_miss : CacheStatus::unknown);
    } else {
      if (late) world.advance(510ms);
      world.end_attempt(attempt, AttemptResult::served, 0, CacheStatus::filled_by_origin,
                        late ? 510ms : 50ms);
    }
  };
  fills_in_last_40_requests(world, 100, [&end](const Attempt& attempt, int) { end(attempt, true); });
  const auto some_lost = [&end](const Attempt& attempt, int i) {
    if (i % 10 >= 2) end(attempt, false);
  };
  EXPECT_GE(fills_in_last_40_requests(world, 300, some_lost), 30U);
}

TEST(Fills, DeniedForASlowOriginStillUseParentCaches) {
  // Guards against rejecting objects that a parent has cached while fills are denied for a slow origin.
  World world;
  std::size_t cached_only_attempts = 0;
  for (int i = 0; i < 120; ++i) {
    const auto sent = actions_of<Attempt>(world.handle(world.request(static_cast<std::uint64_t>(i))));
    if (sent.empty()) continue;
    const Attempt& attempt = sent.front();
    if (attempt.source == attempt.endpoint) {
      world.end_attempt(attempt, AttemptResult::cache_miss, 0, CacheStatus::unknown);
    } else if (attempt.cached_only) {
      EXPECT_TRUE(attempt.source.starts_with("parent"));
      cached_only_attempts += i >= 80 ? 1 : 0;
      const auto after =
          world.end_attempt(attempt, i % 2 == 0 ? AttemptResult::served : AttemptResult::cache_miss, 0,
                            i % 2 == 0 ? CacheStatus::filled : CacheStatus::source_miss);
      EXPECT_TRUE(actions_of<Attempt>(after).empty());
    } else {
      world.advance(510ms);
      world.end_attempt(attempt, AttemptResult::served, 0, CacheStatus::filled_by_origin, 510ms);
    }
    world.advance(100ms);
    world.end_cancelled_attempts();
  }
  EXPECT_GE(cached_only_attempts, 20U);
}

TEST(Fills, AreFewerWhenLoadReportsShowAFullLink) {
  // Guards against overloaded links after a large invalidation: the demand on the links of some locations was
  // ten times their capacity while other links were half empty.
  const auto fills_at = [](std::optional<double> utilization) {
    World world;
    const auto end = [&world, utilization](const Attempt& attempt, int) {
      const bool fill = attempt.source != attempt.endpoint;
      Outcome outcome;
      outcome.request = attempt.request;
      outcome.endpoint = attempt.endpoint;
      outcome.result = fill ? AttemptResult::served : AttemptResult::cache_miss;
      outcome.cache_status = fill ? CacheStatus::filled : CacheStatus::unknown;
      outcome.duration = 50ms;
      outcome.request_finished = fill;
      if (utilization) outcome.report = LoadReport{{}, {}, {}, {}, utilization};
      world.handle(outcome);
    };
    return fills_in_last_40_requests(world, 100, end);
  };
  EXPECT_EQ(fills_at(std::nullopt), 40U);
  EXPECT_EQ(fills_at(1.0), 40U);
  EXPECT_LE(fills_at(10.0), 20U);
  EXPECT_GE(fills_at(10.0), 2U);
}

TEST(Fills, AttemptAtAParentNamesTheOriginAsSource) {
  // Guards against misses while all caches of a location are warming up or ejected: a parent that receives
  // the attempt itself serves only from its cache unless the attempt names another source.
  World world(default_settings(), {make_endpoint("parent-a", 1, 0), make_endpoint("origin", 2, 0)});
  const Attempt attempt = world.serve(1);
  EXPECT_EQ(attempt.endpoint, "parent-a");
  EXPECT_EQ(attempt.source, "origin");
}

}  // namespace
}  // namespace edge_proxy::test
