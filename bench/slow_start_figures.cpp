// SPDX-License-Identifier: MIT
// The figures of docs/fleet.md on slow start: the worst window over many seeds, by the number of routers and
// by how they come to know. Usage: slow_start_figures [SEEDS]
#include <cstdio>
#include <cstdlib>

#include "support/slow_start_world.h"

int main(int count, char** words) {
  using namespace edge_proxy;
  using test::SlowStartScenario;
  const int seeds = count > 1 ? std::atoi(words[1]) : 20;
  const auto plan = [](auto&& set) {
    SlowStartScenario p;
    set(p);
    return p;
  };
  const std::vector<std::pair<const char*, SlowStartScenario>> plans{
      {"at once", {}},
      {"over 2 s", plan([](auto& p) { p.update_spread_seconds = 2; })},
      {"a third restarted", plan([](auto& p) { p.restarted_fraction = 0.34; })},
      {"all restarted", plan([](auto& p) { p.restarted_fraction = 1; })},
      {"heavy", plan([](auto& p) { p.large_object_kb = 12000; })},
      {"light", plan([](auto& p) { p.large_object_kb = 800; })},
      {"connects in 0.4 s", plan([](auto& p) { p.connect_seconds = 0.4; })},
      {"the same, all restarted", plan([](auto& p) { p.connect_seconds = 0.4, p.restarted_fraction = 1; })},
      {"quiet", plan([](auto& p) { p.load = 0.4; })},
      {"no sizes", plan([](auto& p) { p.sizes_known = false; })},
      {"no sizes, restarted", plan([](auto& p) { p.sizes_known = false, p.restarted_fraction = 1; })},
      {"rough weights", plan([](auto& p) { p.weights = WeightMeaning::rough; })},
      {"no weights", plan([](auto& p) { p.weights = WeightMeaning::none; })},
      {"no weights, quiet", plan([](auto& p) { p.weights = WeightMeaning::none, p.load = 0.4; })},
      {"no weights or sizes", plan([](auto& p) { p.weights = WeightMeaning::none, p.sizes_known = false; })},
  };
  std::printf(
      "routers plan                     worst: cache parent  over 2: cache parent  used: cache parent  "
      "served\n");
  for (const int routers : {3, 20, 30, 300}) {
    for (const auto& [name, drawn] : plans) {
      double cache = -1e9, parent = -1e9, cache_used = 0, parent_used = 0, served = 0;
      int cache_over = 0, parent_over = 0;
      for (int seed = 1; seed <= seeds; ++seed) {
        SlowStartScenario p = drawn;
        p.routers = routers;
        p.seed = static_cast<std::uint64_t>(seed);
        const auto result = test::SlowStartWorld(p).run();
        cache = std::max(cache, result.cache_excess);
        parent = std::max(parent, result.parent_excess);
        cache_over += result.cache_excess > 2 ? 1 : 0;
        parent_over += result.parent_excess > 2 ? 1 : 0;
        cache_used += result.cache_used / seeds;
        parent_used += result.parent_used / seeds;
        served += result.served_ratio / seeds;
      }
      std::printf("%7d %-24s %12.2f %6.2f %14d %6d %12.2f %6.2f %7.3f\n", routers, name, cache, parent,
                  cache_over, parent_over, cache_used, parent_used, served);
      std::fflush(stdout);
    }
  }
}
