// SPDX-License-Identifier: MIT
// Many routers side by side in virtual time: what each does alone adds up.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>

#include "support/routing_world.h"

namespace edge_proxy::test {
namespace {

constexpr int kRouters = 60;
constexpr double kWork = 0.05;  // seconds of sending, of each request

Settings fleet_settings() {
  Settings s = default_settings();
  s.router_count = kRouters;
  s.routers_by_zone = {0, 0, kRouters};
  s.weights = WeightMeaning::nominal;
  s.cache_status_detail = CacheStatusDetail::none;
  s.hedging = false;
  s.direct_to_sources = false;
  return s;
}

Endpoint sized(Endpoint m, double weight) {
  m.weight = weight;
  return m;
}

std::vector<std::unique_ptr<World>> fleet(const std::vector<Endpoint>& list) {
  std::vector<std::unique_ptr<World>> worlds;
  for (int i = 0; i < kRouters; ++i)
    worlds.push_back(std::make_unique<World>(fleet_settings(), list, static_cast<std::uint64_t>(i + 1)));
  return worlds;
}

/// The most, over all windows of the rule's span, that the fleet's sum took of what pushes a member over.
double most_of_the_budget(const std::string& cold, double weight, double floor, Time warm) {
  auto worlds = fleet({sized(make_endpoint("cache-a", 0, 2, cold == "cache-a" ? 1000s : 0s), 6),
                       sized(make_endpoint("cache-b", 0, 2), 6),
                       sized(make_endpoint("parent-a", 1, 0, cold == "parent-a" ? 1000s : 0s), 20),
                       sized(make_endpoint("parent-b", 1, 1), 20), make_endpoint("origin", 2, 0)});
  std::deque<std::pair<Time, double>> sent;
  double most = 0, sum = 0;
  std::uint64_t object = 0;
  for (int step = 0; step < warm / 100ms; ++step) {
    for (auto& world : worlds) {
      for (const Attempt& a : actions_of<Attempt>(world->handle(world->request(++object)))) {
        if (a.endpoint == cold || a.source == cold) {
          sent.emplace_back(world->now, kWork);
          sum += kWork;
        }
        world->end_attempt(a, AttemptResult::served, 0, CacheStatus::unknown);
      }
      world->advance(100ms);
    }
    const Time now = worlds.front()->now;
    for (; !sent.empty() && sent.front().first + 2s < now; sent.pop_front()) sum -= sent.front().second;
    const double age = std::min(1.0, std::chrono::duration<double>(now - 1000s) / warm);
    most = std::max(most, sum / (2 * (floor + (1 - floor) * age) * weight * 2));
  }
  return most;
}

TEST(Fleet, TheSumStaysWithinWhatAColdCacheBears) {
  // 600 requests a second, half of them homed at the cold cache: 15 s of sending a second for a weight of 6.
  const double used = most_of_the_budget("cache-a", 6, 0.25, 16s);
  EXPECT_LE(used, 1.0);
  EXPECT_GE(used, 0.2);  // it is used, too
}

TEST(Fleet, TheSumStaysWithinWhatAColdParentBears) {
  const double used = most_of_the_budget("parent-a", 20, 0.1, 20s);
  EXPECT_LE(used, 1.0);
  EXPECT_GE(used, 0.2);
}

TEST(Fleet, FillsStayBoundedWhenAllCopiesGoVoidAtOnce) {
  // All 300 requests a second miss from the start; 60 fetches a second are in time, and while more are asked
  // of it the origin answers all of them late.
  auto worlds =
      fleet({make_endpoint("cache-a", 0, 2), make_endpoint("cache-b", 0, 2), make_endpoint("parent-a", 1, 0),
             make_endpoint("parent-b", 1, 1), make_endpoint("origin", 2, 0)});
  constexpr int kBears = 12;  // in a step of 200 ms
  std::vector<std::pair<World*, Attempt>> slow, slower;
  std::uint64_t object = 0;
  int asked_late_in_the_day = 0, most_at_first = 0;
  for (int step = 0; step < 150; ++step) {
    std::vector<std::pair<World*, Attempt>> asked;
    for (auto& world : worlds) {
      for (const Attempt& a : actions_of<Attempt>(world->handle(world->request(++object)))) {
        if (a.source == a.endpoint || a.cached_only) {
          world->end_attempt(a, AttemptResult::cache_miss, 0, CacheStatus::unknown, 1ms);
        } else {
          asked.emplace_back(world.get(), a);
        }
      }
    }
    const int fetches = static_cast<int>(asked.size());
    if (step < 5) most_at_first = std::max(most_at_first, fetches);
    if (step >= 50) asked_late_in_the_day += fetches;
    if (fetches <= kBears) {
      for (auto& [world, a] : asked)
        world->end_attempt(a, AttemptResult::served, 0, CacheStatus::unknown, 50ms);
      asked.clear();
    }
    for (auto& world : worlds) world->advance(200ms);
    for (auto& [world, a] : slower)
      world->end_attempt(a, AttemptResult::served, 0, CacheStatus::unknown, 600ms);
    slower = std::exchange(slow, std::move(asked));
    for (auto& world : worlds) world->end_cancelled_attempts();
  }
  EXPECT_GE(most_at_first, 50);
  EXPECT_LE(asked_late_in_the_day / 100, 2 * kBears);  // in the mean
  EXPECT_GE(asked_late_in_the_day / 100, kBears / 4);
}

}  // namespace
}  // namespace edge_proxy::test
