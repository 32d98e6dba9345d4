// SPDX-License-Identifier: MIT
// The key index against a scan of every key, at 1e5 and 1e6 keys (issue 9):
//   build/invalidation_index_bench --benchmark_filter=. [--benchmark_format=csv]
// Keys look like school/NNN/class-NN/photo-NNNN; each carries its class and its school as tags.
#include <benchmark/benchmark.h>

#include <cstdint>
#include <string>
#include <vector>

#include "invalidation/key_index.h"

namespace {

using edge_proxy::invalidation::KeyIndex;
using edge_proxy::invalidation::Selector;
using edge_proxy::invalidation::SelectorKind;

constexpr std::int64_t kSchools = 997;
constexpr std::int64_t kClassesPerSchool = 31;

/// An index of that many keys, built again only where the number changes.
const KeyIndex& index_with(std::int64_t keys) {
  static std::int64_t built = 0;
  static KeyIndex index;
  if (built != keys) {
    index = KeyIndex{};
    for (std::int64_t i = 0; i < keys; ++i) {
      const std::string school = std::to_string(i % kSchools);
      const std::string klass = school + "-" + std::to_string(i % kClassesPerSchool);
      index.put("school/" + school + "/class-" + klass + "/photo-" + std::to_string(i),
                {"class-" + klass, "school-" + school});
    }
    built = keys;
  }
  return index;
}

/// How the keys are looked up.
using Match = std::vector<std::string> (KeyIndex::*)(const Selector&) const;

void find_keys(benchmark::State& state, const Selector& selector, Match match) {
  const KeyIndex& index = index_with(state.range(0));
  std::size_t found = 0;
  for (auto _ : state) {
    const std::vector<std::string> keys = (index.*match)(selector);
    found = keys.size();
    benchmark::DoNotOptimize(keys.data());
  }
  state.counters["keys_found"] = static_cast<double>(found);
}

void by_index(benchmark::State& state, const Selector& selector) {
  find_keys(state, selector, &KeyIndex::match);
}
void by_scan(benchmark::State& state, const Selector& selector) {
  find_keys(state, selector, &KeyIndex::match_by_scan);
}

constexpr std::int64_t kFewKeys = 100'000;
constexpr std::int64_t kManyKeys = 1'000'000;

const Selector kTag{SelectorKind::tag, "class-12-5"};
const Selector kPrefix{SelectorKind::prefix, "school/12/class-12-5/"};
const Selector kGlob{SelectorKind::glob, "school/12/*/photo-1*"};

BENCHMARK_CAPTURE(by_index, tag_index, kTag)->Arg(kFewKeys)->Arg(kManyKeys)->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(by_scan, tag_scan, kTag)->Arg(kFewKeys)->Arg(kManyKeys)->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(by_index, prefix_index, kPrefix)
    ->Arg(kFewKeys)
    ->Arg(kManyKeys)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(by_scan, prefix_scan, kPrefix)
    ->Arg(kFewKeys)
    ->Arg(kManyKeys)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(by_index, glob_index, kGlob)->Arg(kFewKeys)->Arg(kManyKeys)->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(by_scan, glob_scan, kGlob)->Arg(kFewKeys)->Arg(kManyKeys)->Unit(benchmark::kMicrosecond);

}  // namespace

BENCHMARK_MAIN();
