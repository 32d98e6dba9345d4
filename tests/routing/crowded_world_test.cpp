// SPDX-License-Identifier: MIT
// Sixty routers in virtual time, which decide independently: their combined work and fills must stay within
// what an endpoint can serve.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>

#include "support/routing_world.h"

namespace edge_proxy::test {
namespace {

constexpr int kRouters = 60;
constexpr double kWork = 0.05;  // seconds of transfer per request

Settings many_router_settings() {
  Settings settings = default_settings();
  settings.router_count = kRouters;
  settings.routers_by_zone = {0, 0, kRouters};
  settings.weights = WeightMeaning::nominal;
  settings.cache_status_detail = CacheStatusDetail::none;
  settings.hedging = false;
  settings.direct_to_sources = false;
  return settings;
}

Endpoint with_weight(Endpoint endpoint, double weight) {
  endpoint.weight = weight;
  return endpoint;
}

std::vector<std::unique_ptr<World>> make_worlds(const std::vector<Endpoint>& list) {
  std::vector<std::unique_ptr<World>> worlds;
  for (int i = 0; i < kRouters; ++i)
    worlds.push_back(
        std::make_unique<World>(many_router_settings(), list, static_cast<std::uint64_t>(i + 1)));
  return worlds;
}

/// Returns the maximum, over all overload windows, of the work that all routers together sent to the endpoint
/// `warming_id`, divided by the work at which it fails.
double max_budget_utilization(const std::string& warming_id, double weight, double initial_capacity,
                              Time warm_up_time) {
  auto worlds =
      make_worlds({with_weight(make_endpoint("cache-a", 0, 2, warming_id == "cache-a" ? 1000s : 0s), 6),
                   with_weight(make_endpoint("cache-b", 0, 2), 6),
                   with_weight(make_endpoint("parent-a", 1, 0, warming_id == "parent-a" ? 1000s : 0s), 20),
                   with_weight(make_endpoint("parent-b", 1, 1), 20), make_endpoint("origin", 2, 0)});
  std::deque<std::pair<Time, double>> window;
  double max_utilization = 0, window_work = 0;
  std::uint64_t object = 0;
  for (int step = 0; step < warm_up_time / 100ms; ++step) {
    for (auto& world : worlds) {
      for (const Attempt& attempt : actions_of<Attempt>(world->handle(world->request(++object)))) {
        if (attempt.endpoint == warming_id || attempt.source == warming_id) {
          window.emplace_back(world->now, kWork);
          window_work += kWork;
        }
        world->end_attempt(attempt, AttemptResult::served, 0, CacheStatus::unknown);
      }
      world->advance(100ms);
    }
    const Time now = worlds.front()->now;
    for (; !window.empty() && window.front().first + 2s < now; window.pop_front())
      window_work -= window.front().second;
    const double age = std::min(1.0, std::chrono::duration<double>(now - 1000s) / warm_up_time);
    max_utilization = std::max(
        max_utilization, window_work / (2 * (initial_capacity + (1 - initial_capacity) * age) * weight * 2));
  }
  return max_utilization;
}

TEST(ManyRouters, TotalWorkStaysWithinTheLimitOfAWarmingCache) {
  // 600 requests per second, half of which belong to the cache that is warming up: 15 s of transfer per
  // second for a weight of 6.
  const double utilization = max_budget_utilization("cache-a", 6, 0.25, 16s);
  EXPECT_LE(utilization, 1.0);
  EXPECT_GE(utilization, 0.2);  // the endpoint must receive requests as well
}

TEST(ManyRouters, TotalWorkStaysWithinTheLimitOfAWarmingParent) {
  const double utilization = max_budget_utilization("parent-a", 20, 0.1, 20s);
  EXPECT_LE(utilization, 1.0);
  EXPECT_GE(utilization, 0.2);
}

TEST(ManyRouters, FillsStayLimitedWhenAllCopiesBecomeInvalid) {
  // Guards against fills that overload the origin after a large invalidation. All 300 requests per second
  // miss from the start. The origin answers 60 fills per second in time; with more fills it answers all of
  // them late.
  auto worlds = make_worlds({make_endpoint("cache-a", 0, 2), make_endpoint("cache-b", 0, 2),
                             make_endpoint("parent-a", 1, 0), make_endpoint("parent-b", 1, 1),
                             make_endpoint("origin", 2, 0)});
  constexpr int kOriginCapacity = 12;  // fills in a step of 200 ms
  std::vector<std::pair<World*, Attempt>> pending_one_step, pending_two_steps;
  std::uint64_t object = 0;
  int fills_after_first_steps = 0, max_initial_fills = 0;
  for (int step = 0; step < 150; ++step) {
    std::vector<std::pair<World*, Attempt>> fills;
    for (auto& world : worlds) {
      for (const Attempt& attempt : actions_of<Attempt>(world->handle(world->request(++object)))) {
        if (attempt.source == attempt.endpoint || attempt.cached_only) {
          world->end_attempt(attempt, AttemptResult::cache_miss, 0, CacheStatus::unknown, 1ms);
        } else {
          fills.emplace_back(world.get(), attempt);
        }
      }
    }
    const int fill_count = static_cast<int>(fills.size());
    if (step < 5) max_initial_fills = std::max(max_initial_fills, fill_count);
    if (step >= 50) fills_after_first_steps += fill_count;
    if (fill_count <= kOriginCapacity) {
      for (auto& [world, attempt] : fills)
        world->end_attempt(attempt, AttemptResult::served, 0, CacheStatus::unknown, 50ms);
      fills.clear();
    }
    for (auto& world : worlds) world->advance(200ms);
    for (auto& [world, attempt] : pending_two_steps)
      world->end_attempt(attempt, AttemptResult::served, 0, CacheStatus::unknown, 600ms);
    pending_two_steps = std::exchange(pending_one_step, std::move(fills));
    for (auto& world : worlds) world->end_cancelled_attempts();
  }
  EXPECT_GE(max_initial_fills, 50);
  EXPECT_LE(fills_after_first_steps / 100, 2 * kOriginCapacity);  // mean over 100 steps
  EXPECT_GE(fills_after_first_steps / 100, kOriginCapacity / 4);
}

}  // namespace
}  // namespace edge_proxy::test
