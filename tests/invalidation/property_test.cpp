// SPDX-License-Identifier: MIT
// Properties of invalidation, on rapidcheck: whatever order, duplicates and bound, the sequencer
// applies each number once and in order; globs match as a table over all prefixes does.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <numeric>
#include <string>
#include <vector>

#include "invalidation/selector.h"
#include "invalidation/sequencer.h"

namespace edge_proxy::invalidation {
namespace {

InvalidationCommand numbered(Sequence n) {
  return {n, Selector{SelectorKind::tag, "t" + std::to_string(n)}, UnixMs{static_cast<long long>(n)}};
}

RC_GTEST_PROP(InvalidationSequencerProperty, AppliesEachNumberOnceAndInOrder, ()) {
  const auto last = *rc::gen::inRange<Sequence>(1, 40);
  std::vector<Sequence> arrivals(last);
  std::iota(arrivals.begin(), arrivals.end(), Sequence{1});
  const auto order =
      *rc::gen::container<std::vector<std::size_t>>(last, rc::gen::inRange<std::size_t>(0, 1000));
  std::vector<std::pair<std::size_t, Sequence>> keyed;
  for (std::size_t i = 0; i < arrivals.size(); ++i) keyed.emplace_back(order[i], arrivals[i]);
  std::sort(keyed.begin(), keyed.end());
  std::deque<Sequence> feed;
  for (const auto& [key, n] : keyed) feed.push_back(n);
  const auto repeats = *rc::gen::container<std::vector<Sequence>>(rc::gen::inRange<Sequence>(1, last + 1));
  for (const Sequence n : repeats)
    feed.insert(feed.begin() + static_cast<std::ptrdiff_t>(n % (feed.size() + 1)), n);

  SequencerState state;
  state.max_out_of_order = *rc::gen::inRange<std::size_t>(1, 20);
  std::vector<Sequence> applied;
  for (std::size_t steps = 0; !feed.empty() && steps < 20000; ++steps) {
    const Sequence n = feed.front();
    feed.pop_front();
    for (const auto& effect : reduce(state, CommandArrived{numbered(n)})) {
      if (const auto* apply = std::get_if<ApplyInvalidation>(&effect))
        applied.push_back(apply->command.number);
      if (const auto* ask = std::get_if<RequestFrom>(&effect))
        for (Sequence again = ask->number; again <= last; ++again) feed.push_back(again);
      const auto* dropped = std::get_if<CommandDropped>(&effect);
      const bool no_conflict = dropped == nullptr || dropped->reason != DropReason::conflict;
      RC_ASSERT(no_conflict);
    }
    RC_ASSERT(state.out_of_order.size() <= state.max_out_of_order);
  }
  std::vector<Sequence> wanted(last);
  std::iota(wanted.begin(), wanted.end(), Sequence{1});
  RC_ASSERT(applied == wanted);
  RC_ASSERT(state.out_of_order.empty());
}

/// The reference: a table over all prefixes of glob and key, as the textbook gives it (no backtracking).
bool reference_match(const std::string& glob, const std::string& key) {
  std::vector<std::vector<bool>> fits(glob.size() + 1, std::vector<bool>(key.size() + 1, false));
  fits[0][0] = true;
  for (std::size_t g = 1; g <= glob.size(); ++g) {
    for (std::size_t k = 0; k <= key.size(); ++k) {
      if (glob[g - 1] == '*') {
        fits[g][k] = fits[g - 1][k] || (k > 0 && fits[g][k - 1]);
      } else {
        fits[g][k] = k > 0 && fits[g - 1][k - 1] && (glob[g - 1] == '?' || glob[g - 1] == key[k - 1]);
      }
    }
  }
  return fits[glob.size()][key.size()];
}

RC_GTEST_PROP(InvalidationGlobProperty, MatchesAsTheTableDoes, ()) {
  const auto glob = *rc::gen::container<std::string>(rc::gen::element('a', 'b', '*', '?'));
  const auto key = *rc::gen::container<std::string>(rc::gen::element('a', 'b'));
  RC_ASSERT(glob_matches(glob, key) == reference_match(glob, key));
}

}  // namespace
}  // namespace edge_proxy::invalidation
