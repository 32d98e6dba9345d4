// SPDX-License-Identifier: MIT
#include <gtest/gtest.h>

#include "edge_proxy/router.h"
#include "support/routing_world.h"

namespace edge_proxy::test {
namespace {

// ---- Concurrency limits ----

TEST(Limits, LateRequestsAreGivenUpAndTheirAttemptsCancelled) {
  World world;
  for (int i = 0; i < 60; ++i) world.handle(world.request(1));
  const auto actions = world.advance(1100ms);  // the latency objective, and the same time again for fills
  EXPECT_GE(final_answer_count(actions), 20U);
  EXPECT_GE(actions_of<Cancel>(actions).size(), 20U);
}

TEST(Limits, LateResponsesLowerTheConcurrencyLimit) {
  World world;
  for (int round = 0; round < 40; ++round) {
    world.handle(world.request(1));
    for (const Attempt& attempt : actions_of<Attempt>(world.advance(600ms)))
      world.end_attempt(attempt, AttemptResult::cancelled, 1);
  }
  std::size_t open_attempts = 0;
  for (int i = 0; i < 100; ++i) open_attempts += actions_of<Attempt>(world.handle(world.request(1))).size();
  EXPECT_LT(open_attempts, 40U);
}

TEST(Limits, WithFullSourcesOnlyCachedCopiesAreRequested) {
  World world;
  for (std::uint64_t i = 0; i < 200; ++i) {
    auto sent = actions_of<Attempt>(world.handle(world.request(i)));
    for (int n = 0; !sent.empty(); ++n) {
      const bool fill = sent.front().source != sent.front().endpoint;
      sent = actions_of<Attempt>(world.end_attempt(sent.front(),
                                                   fill ? AttemptResult::shed : AttemptResult::cache_miss, n,
                                                   fill ? CacheStatus::source_shed : CacheStatus::unknown));
    }
  }
  const auto sent = actions_of<Attempt>(world.handle(world.request(1)));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent.front().source, sent.front().endpoint);
}

TEST(Limits, RecoverQuicklyAfterAnOverload) {
  // Guards against limits that recover too slowly: limits of 1 that rose by a fiftieth per response left the
  // caches idle.
  World world(default_settings(), {make_endpoint("cache-a", 0, 2)});
  for (int round = 0; round < 80; ++round) {
    auto sent = actions_of<Attempt>(world.handle(world.request(1)));
    for (int n = 0; !sent.empty(); ++n)
      sent =
          actions_of<Attempt>(world.end_attempt(sent.front(), AttemptResult::shed, n, CacheStatus::unknown));
  }
  const auto concurrent_attempts = [&world] {
    std::vector<Attempt> sent;
    for (int i = 0; i < 40; ++i) {
      for (const Attempt& attempt : actions_of<Attempt>(world.handle(world.request(1))))
        sent.push_back(attempt);
    }
    return sent;
  };
  for (int round = 0; round < 8; ++round) {
    for (const Attempt& attempt : concurrent_attempts())
      world.end_attempt(attempt, AttemptResult::served, 0, CacheStatus::hit);
  }
  EXPECT_GE(concurrent_attempts().size(), 6U);
}

TEST(Limits, LateHitLowersTheCacheLimitAndLateFillMostlyTheSourceLimit) {
  // Returns the numbers of concurrent fills and concurrent attempts at the cache after eight late responses.
  const auto capacity_after = [](CacheStatus cache_status) {
    World world(default_settings(), {make_endpoint("cache-a", 0, 2), make_endpoint("parent-a", 1, 0),
                                     make_endpoint("origin", 2, 0)});
    for (int late = 0; late < 8;) {
      const auto sent = actions_of<Attempt>(world.handle(world.request(1)));
      world.advance(510ms);
      if (!sent.empty()) {
        world.end_attempt(sent.front(), AttemptResult::served, 0, cache_status, 510ms);
        ++late;
      }
      world.end_cancelled_attempts();
    }
    std::size_t fills = 0, all = 0;
    for (int i = 0; i < 40; ++i) {
      for (const Attempt& attempt : actions_of<Attempt>(world.handle(world.request(1)))) {
        if (attempt.endpoint != "cache-a") continue;
        ++all;
        fills += attempt.source != attempt.endpoint ? 1 : 0;
      }
    }
    return std::pair{fills, all};
  };
  const auto hits = capacity_after(CacheStatus::hit), fills = capacity_after(CacheStatus::filled);
  EXPECT_GT(fills.second, hits.second);  // the cache gets half of the blame for late fills
  EXPECT_LT(fills.first, 12U);           // the source limit was 16 before
}

TEST(Limits, RejectionWithoutStatusIsBlamedMostlyOnTheSource) {
  // Guards against blaming the caches when parents fail without a status in the responses.
  const auto cache_attempts_after = [](bool with_source) {
    auto list = default_endpoints();
    if (!with_source) list.resize(3);
    World world(default_settings(), list);
    for (std::uint64_t i = 0; i < 30; ++i) {
      auto sent = actions_of<Attempt>(world.handle(world.request(i)));
      for (int n = 0; !sent.empty(); ++n) {
        sent = actions_of<Attempt>(
            world.end_attempt(sent.front(), AttemptResult::shed, n, CacheStatus::unknown));
      }
    }
    std::size_t at_caches = 0;
    for (std::uint64_t i = 0; i < 100; ++i) {
      for (const Attempt& attempt : actions_of<Attempt>(world.handle(world.request(i)))) {
        at_caches += attempt.endpoint.starts_with("cache") ? 1 : 0;
      }
    }
    return at_caches;
  };
  EXPECT_GT(cache_attempts_after(true), cache_attempts_after(false));
}

TEST(Limits, SlowFillContinuesWithSpareCapacity) {
  World world;
  world.handle(world.request(1));
  EXPECT_EQ(final_answer_count(world.advance(700ms)), 0U);
  EXPECT_EQ(final_answer_count(world.advance(1800ms)), 1U);
}

TEST(Limits, BusySourceStillAcceptsSmallFills) {
  // Guards against a large fill that displaces several small fills of a higher value on a full link.
  World world;
  Request large = world.request(1000);
  for (std::uint64_t i = 0; i < 40; ++i) {  // establishes the mean work and value
    world.serve(i, CacheStatus::filled);
    large = world.request(1000 + i);
    large.size_kb = 2000;
    for (const Attempt& attempt : actions_of<Attempt>(world.handle(large)))
      world.end_attempt(attempt, AttemptResult::served, 0, CacheStatus::filled);
  }
  const auto fills = [&world](double kb) {
    int sent = 0;
    for (std::uint64_t i = 0; i < 60; ++i) {
      Request request = world.request(5000 + i);
      request.size_kb = kb;
      for (const Attempt& attempt : actions_of<Attempt>(world.handle(request)))
        sent += attempt.source.starts_with("parent") || attempt.endpoint.starts_with("parent") ? 1 : 0;
    }
    return sent;
  };
  EXPECT_GT(fills(2000), 0);
  EXPECT_GT(fills(20), 0);  // the large fills leave capacity for small ones
}

TEST(Health, SlowCacheReceivesFewObjectsAndRecovers) {
  // Guards against a slow cache that keeps all its objects: with one request in flight at a time no
  // concurrency limit moves any object away.
  World world;
  const auto at_slow = [&world](Time took) {
    int count = 0;
    for (std::uint64_t object = 0; object < 150; ++object) {
      const auto sent = actions_of<Attempt>(world.handle(world.request(object)));
      if (sent.empty()) continue;
      const bool slow = sent.front().endpoint == "cache-a";
      count += slow ? 1 : 0;
      world.end_attempt(sent.front(), AttemptResult::served, 0, CacheStatus::hit, slow ? took : 50ms);
    }
    return count;
  };
  EXPECT_GE(at_slow(450ms), 10);
  EXPECT_LE(at_slow(450ms), 10);
  world.advance(60s);
  EXPECT_GE(at_slow(50ms), 35);
}

TEST(Retries, HedgedRequestUsesAnotherEndpointAndSource) {
  World world;
  const auto first = actions_of<Attempt>(world.handle(world.request(1)));
  const auto second = actions_of<Attempt>(world.advance(350ms));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(second.front().endpoint, first.front().endpoint);
  EXPECT_NE(second.front().source, first.front().source);
}

TEST(Retries, AreLimitedByTheBudget) {
  World world;
  std::size_t sent = 0;
  for (int i = 0; i < 200; ++i) {
    auto attempts = actions_of<Attempt>(world.handle(world.request(static_cast<std::uint64_t>(i))));
    for (int n = 0; n < 8 && !attempts.empty(); ++n) {
      ++sent;
      attempts = actions_of<Attempt>(
          world.end_attempt(attempts.front(), AttemptResult::shed, n, CacheStatus::unknown));
    }
  }
  EXPECT_LE(sent, 200U + 10U + 2U);
}

}  // namespace
}  // namespace edge_proxy::test
