// SPDX-License-Identifier: MIT
// Compares a lookup in the key index with a scan of all keys, at 1e5 and 1e6 keys:
//   build/invalidation_index_bench --benchmark_filter=. [--benchmark_format=csv]
// Keys have the form school/NNN/class-NN/photo-NNNN. Each key has its class and its school as tags.
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

/// Returns an index of that many keys. It is rebuilt only when the number changes.
const KeyIndex& index_of_size(std::int64_t key_count) {
  static std::int64_t built_size = 0;
  static KeyIndex index;
  if (built_size != key_count) {
    index = KeyIndex{};
    for (std::int64_t i = 0; i < key_count; ++i) {
      const std::string school = std::to_string(i % kSchools);
      const std::string class_name = school + "-" + std::to_string(i % kClassesPerSchool);
      index.put("school/" + school + "/class-" + class_name + "/photo-" + std::to_string(i),
                {"class-" + class_name, "school-" + school});
    }
    built_size = key_count;
  }
  return index;
}

/// The member function under test.
using MatchFunction = std::vector<std::string> (KeyIndex::*)(const Selector&) const;

void find_keys(benchmark::State& state, const Selector& selector, MatchFunction match) {
  const KeyIndex& index = index_of_size(state.range(0));
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

constexpr std::int64_t kSmallKeyCount = 100'000;
constexpr std::int64_t kLargeKeyCount = 1'000'000;

const Selector kTagSelector{SelectorKind::tag, "class-12-5"};
const Selector kPrefixSelector{SelectorKind::prefix, "school/12/class-12-5/"};
const Selector kGlobSelector{SelectorKind::glob, "school/12/*/photo-1*"};

BENCHMARK_CAPTURE(by_index, tag_index, kTagSelector)
    ->Arg(kSmallKeyCount)
    ->Arg(kLargeKeyCount)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(by_scan, tag_scan, kTagSelector)
    ->Arg(kSmallKeyCount)
    ->Arg(kLargeKeyCount)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(by_index, prefix_index, kPrefixSelector)
    ->Arg(kSmallKeyCount)
    ->Arg(kLargeKeyCount)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(by_scan, prefix_scan, kPrefixSelector)
    ->Arg(kSmallKeyCount)
    ->Arg(kLargeKeyCount)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(by_index, glob_index, kGlobSelector)
    ->Arg(kSmallKeyCount)
    ->Arg(kLargeKeyCount)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(by_scan, glob_scan, kGlobSelector)
    ->Arg(kSmallKeyCount)
    ->Arg(kLargeKeyCount)
    ->Unit(benchmark::kMicrosecond);

}  // namespace

BENCHMARK_MAIN();
