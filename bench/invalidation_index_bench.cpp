// SPDX-License-Identifier: MIT
// The purge index against a plain scan over every key, at 1e5 and 1e6 keys (issue 9):
//   build/invalidation_index_bench --benchmark_filter=. [--benchmark_format=csv]
// Keys look like school/NNN/class-NN/photo-NNNN; each carries its class and its school as tags.
#include <benchmark/benchmark.h>

#include <string>
#include <utility>

#include "invalidation/key_index.h"

namespace {

using edge_proxy::invalidation::KeyIndex;
using edge_proxy::invalidation::Selector;
using edge_proxy::invalidation::SelectorKind;

const KeyIndex& index_of(std::int64_t keys) {
  static std::int64_t built = 0;
  static KeyIndex index;
  if (built != keys) {
    index = KeyIndex{};
    for (std::int64_t i = 0; i < keys; ++i) {
      const std::string school = std::to_string(i % 997);
      const std::string klass = school + "-" + std::to_string(i % 31);
      index.put("school/" + school + "/class-" + klass + "/photo-" + std::to_string(i),
                {"class-" + klass, "school-" + school});
    }
    built = keys;
  }
  return index;
}

void Purge(benchmark::State& state, Selector selector, bool scan) {
  const KeyIndex& index = index_of(state.range(0));
  std::size_t found = 0;
  for (auto _ : state) {
    const auto keys = scan ? index.match_by_scan(selector) : index.match(selector);
    found = keys.size();
    benchmark::DoNotOptimize(keys.data());
  }
  state.counters["keys_found"] = static_cast<double>(found);
}

void ByIndex(benchmark::State& state, Selector selector) { Purge(state, std::move(selector), false); }
void ByScan(benchmark::State& state, Selector selector) { Purge(state, std::move(selector), true); }

const Selector kTag{SelectorKind::tag, "class-12-5"};
const Selector kPrefix{SelectorKind::prefix, "school/12/class-12-5/"};
const Selector kGlob{SelectorKind::glob, "school/12/*/photo-1*"};

BENCHMARK_CAPTURE(ByIndex, tag_index, kTag)->Arg(100000)->Arg(1000000)->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(ByScan, tag_scan, kTag)->Arg(100000)->Arg(1000000)->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(ByIndex, prefix_index, kPrefix)->Arg(100000)->Arg(1000000)->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(ByScan, prefix_scan, kPrefix)->Arg(100000)->Arg(1000000)->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(ByIndex, glob_index, kGlob)->Arg(100000)->Arg(1000000)->Unit(benchmark::kMicrosecond);
BENCHMARK_CAPTURE(ByScan, glob_scan, kGlob)->Arg(100000)->Arg(1000000)->Unit(benchmark::kMicrosecond);

}  // namespace

BENCHMARK_MAIN();
