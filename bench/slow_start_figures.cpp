// SPDX-License-Identifier: MIT
// Measures slow start in simulation: the worst window over many seeds, by the number of routers and by
// scenario, such as how the routers learn of the new endpoint. Usage: slow_start_figures [SEEDS]
#include <cstdio>
#include <cstdlib>

#include "support/slow_start_world.h"

int main(int argc, char** argv) {
  using namespace edge_proxy;
  using test::SlowStartScenario;
  const int seeds = argc > 1 ? std::atoi(argv[1]) : 20;
  const auto make_scenario = [](auto&& adjust) {
    SlowStartScenario scenario;
    adjust(scenario);
    return scenario;
  };
  const std::vector<std::pair<const char*, SlowStartScenario>> scenarios{
      {"update at once", {}},
      {"update over 2 s", make_scenario([](auto& scenario) { scenario.update_spread_seconds = 2; })},
      {"a third restarted", make_scenario([](auto& scenario) { scenario.restarted_fraction = 0.34; })},
      {"all restarted", make_scenario([](auto& scenario) { scenario.restarted_fraction = 1; })},
      {"large objects 12000 kB", make_scenario([](auto& scenario) { scenario.large_object_kb = 12000; })},
      {"large objects 800 kB", make_scenario([](auto& scenario) { scenario.large_object_kb = 800; })},
      {"connect 0.4 s", make_scenario([](auto& scenario) { scenario.connect_seconds = 0.4; })},
      {"connect 0.4 s, restart", make_scenario([](auto& scenario) {
         scenario.connect_seconds = 0.4, scenario.restarted_fraction = 1;
       })},
      {"low load", make_scenario([](auto& scenario) { scenario.load = 0.4; })},
      {"no sizes", make_scenario([](auto& scenario) { scenario.sizes_known = false; })},
      {"no sizes, restarted",
       make_scenario([](auto& scenario) { scenario.sizes_known = false, scenario.restarted_fraction = 1; })},
      {"rough weights", make_scenario([](auto& scenario) { scenario.weights = WeightMeaning::rough; })},
      {"no weights", make_scenario([](auto& scenario) { scenario.weights = WeightMeaning::none; })},
      {"no weights, low load",
       make_scenario([](auto& scenario) { scenario.weights = WeightMeaning::none, scenario.load = 0.4; })},
      {"no weights or sizes", make_scenario([](auto& scenario) {
         scenario.weights = WeightMeaning::none, scenario.sizes_known = false;
       })},
  };
  std::printf(
      "routers scenario                 worst: cache parent  over 2: cache parent  used: cache parent  "
      "served\n");
  for (const int routers : {3, 20, 30, 300}) {
    for (const auto& [name, base] : scenarios) {
      double cache_worst = -1e9, parent_worst = -1e9, cache_used = 0, parent_used = 0, served = 0;
      int cache_over_limit = 0, parent_over_limit = 0;
      for (int seed = 1; seed <= seeds; ++seed) {
        SlowStartScenario scenario = base;
        scenario.routers = routers;
        scenario.seed = static_cast<std::uint64_t>(seed);
        const auto result = test::SlowStartWorld(scenario).run();
        cache_worst = std::max(cache_worst, result.cache_excess);
        parent_worst = std::max(parent_worst, result.parent_excess);
        cache_over_limit += result.cache_excess > 2 ? 1 : 0;
        parent_over_limit += result.parent_excess > 2 ? 1 : 0;
        cache_used += result.cache_used / seeds;
        parent_used += result.parent_used / seeds;
        served += result.served_ratio / seeds;
      }
      std::printf("%7d %-24s %12.2f %6.2f %14d %6d %12.2f %6.2f %7.3f\n", routers, name, cache_worst,
                  parent_worst, cache_over_limit, parent_over_limit, cache_used, parent_used, served);
      std::fflush(stdout);
    }
  }
}
