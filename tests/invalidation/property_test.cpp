// SPDX-License-Identifier: MIT
// Property tests of invalidation (rapidcheck). For any order of arrival, any duplicates and any buffer limit,
// the sequencer applies each number once and in order. The glob matcher agrees with a dynamic-programming
// matcher.
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

InvalidationCommand command_with_number(Sequence number) {
  return {number, Selector{SelectorKind::tag, "t" + std::to_string(number)},
          UnixMs{static_cast<long long>(number)}};
}

RC_GTEST_PROP(InvalidationSequencerProperty, AppliesEachNumberOnceAndInOrder, ()) {
  const auto last = *rc::gen::inRange<Sequence>(1, 40);
  std::vector<Sequence> arrivals(last);
  std::iota(arrivals.begin(), arrivals.end(), Sequence{1});
  const auto sort_keys =
      *rc::gen::container<std::vector<std::size_t>>(last, rc::gen::inRange<std::size_t>(0, 1000));
  std::vector<std::pair<std::size_t, Sequence>> keyed_arrivals;
  for (std::size_t i = 0; i < arrivals.size(); ++i) keyed_arrivals.emplace_back(sort_keys[i], arrivals[i]);
  std::sort(keyed_arrivals.begin(), keyed_arrivals.end());
  std::deque<Sequence> feed;
  for (const auto& [sort_key, number] : keyed_arrivals) feed.push_back(number);
  const auto duplicates = *rc::gen::container<std::vector<Sequence>>(rc::gen::inRange<Sequence>(1, last + 1));
  for (const Sequence number : duplicates)
    feed.insert(feed.begin() + static_cast<std::ptrdiff_t>(number % (feed.size() + 1)), number);

  SequencerState state;
  state.max_out_of_order = *rc::gen::inRange<std::size_t>(1, 20);
  std::vector<Sequence> applied;
  for (std::size_t steps = 0; !feed.empty() && steps < 20000; ++steps) {
    const Sequence number = feed.front();
    feed.pop_front();
    for (const auto& effect : reduce(state, CommandArrived{command_with_number(number)})) {
      if (const auto* apply = std::get_if<ApplyInvalidation>(&effect))
        applied.push_back(apply->command.number);
      if (const auto* request = std::get_if<RequestFrom>(&effect))
        for (Sequence resent = request->number; resent <= last; ++resent) feed.push_back(resent);
      const auto* dropped = std::get_if<CommandDropped>(&effect);
      const bool no_conflict = dropped == nullptr || dropped->reason != DropReason::conflict;
      RC_ASSERT(no_conflict);
    }
    RC_ASSERT(state.out_of_order.size() <= state.max_out_of_order);
  }
  std::vector<Sequence> expected(last);
  std::iota(expected.begin(), expected.end(), Sequence{1});
  RC_ASSERT(applied == expected);
  RC_ASSERT(state.out_of_order.empty());
}

/// The reference matcher: dynamic programming over all prefixes of glob and key, without backtracking.
bool dynamic_programming_match(const std::string& glob, const std::string& key) {
  std::vector<std::vector<bool>> matches(glob.size() + 1, std::vector<bool>(key.size() + 1, false));
  matches[0][0] = true;
  for (std::size_t glob_length = 1; glob_length <= glob.size(); ++glob_length) {
    for (std::size_t key_length = 0; key_length <= key.size(); ++key_length) {
      if (glob[glob_length - 1] == '*') {
        matches[glob_length][key_length] =
            matches[glob_length - 1][key_length] || (key_length > 0 && matches[glob_length][key_length - 1]);
      } else {
        matches[glob_length][key_length] =
            key_length > 0 && matches[glob_length - 1][key_length - 1] &&
            (glob[glob_length - 1] == '?' || glob[glob_length - 1] == key[key_length - 1]);
      }
    }
  }
  return matches[glob.size()][key.size()];
}

RC_GTEST_PROP(InvalidationGlobProperty, AgreesWithDynamicProgramming, ()) {
  const auto glob = *rc::gen::container<std::string>(rc::gen::element('a', 'b', '*', '?'));
  const auto key = *rc::gen::container<std::string>(rc::gen::element('a', 'b'));
  RC_ASSERT(glob_matches(glob, key) == dynamic_programming_match(glob, key));
}

}  // namespace
}  // namespace edge_proxy::invalidation
