// SPDX-License-Identifier: MIT
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <optional>

#include "base/invalidation_times.h"
#include "base/sliding_window_counter.h"
#include "base/sliding_window_sum.h"
#include "base/timer_queue.h"

namespace edge_proxy {
namespace {

using namespace std::chrono_literals;

TEST(SlidingWindowCounter, DropsEntriesOlderThanTheWindow) {
  SlidingWindowCounter counter(10s, 100);
  counter.add(0s, 7);
  counter.add(4s, 7);
  EXPECT_EQ(counter.count(7), 2U);
  counter.trim(11s);
  EXPECT_EQ(counter.count(7), 1U);
  counter.trim(15s);
  EXPECT_EQ(counter.count(7), 0U);
}

TEST(SlidingWindowCounter, DropsOldestEntriesAboveCapacity) {
  SlidingWindowCounter counter(10s, 100);
  for (std::uint64_t key = 0; key < 10000; ++key) counter.add(1s, key);
  EXPECT_EQ(counter.entries(), 100U);
  EXPECT_EQ(counter.count(0), 0U);
  EXPECT_EQ(counter.count(9999), 1U);
}

TEST(SlidingWindowCounter, TopOrdersByCountThenKey) {
  SlidingWindowCounter counter(10s, 100);
  for (const std::uint64_t key : {5, 3, 9, 9, 4}) counter.add(1s, key);
  EXPECT_EQ(counter.top(3), (std::vector<std::uint64_t>{9, 3, 4}));
  EXPECT_EQ(counter.top(50).size(), 4U);
}

TEST(TimerQueue, PopsDueItemsInOrder) {
  TimerQueue<int> queue;
  queue.add(5s, 1);
  queue.add(3s, 2);
  queue.add(5s, 3);
  EXPECT_EQ(queue.next_due(), 3s);
  EXPECT_EQ(queue.pop_due(2s), std::nullopt);
  EXPECT_EQ(queue.pop_due(6s), 2);
  EXPECT_EQ(queue.pop_due(6s), 1);
  EXPECT_EQ(queue.pop_due(6s), 3);
  EXPECT_EQ(queue.next_due(), std::nullopt);
}

TEST(SlidingWindowSum, SumsEntriesWithinTheSpan) {
  SlidingWindowSum window;
  window.add(1s, 2);
  window.add(2s, 3);
  EXPECT_DOUBLE_EQ(window.sum(3s, 2s), 5);
  EXPECT_DOUBLE_EQ(window.sum(4s, 2s), 3);
  EXPECT_DOUBLE_EQ(window.sum(9s, 2s), 0);
}

// Guards against invalidations that a full table loses: those that it reports are never older than the newest
// ones.
RC_GTEST_PROP(InvalidationTimes, NeverReportsLessThanTheNewestInvalidationAndStaysBounded, ()) {
  const auto max_entries = *rc::gen::inRange<std::size_t>(1, 8);
  InvalidationTimes<int> table(max_entries);
  std::map<int, std::chrono::microseconds> newest;
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::inRange(0, 100)));
  for (const auto& [key, time] : steps) {
    const std::chrono::microseconds invalidated_at{time};
    table.record(key, invalidated_at);
    newest[key] = std::max(newest[key], invalidated_at);
    RC_ASSERT(table.size() <= max_entries);
    for (const auto& [known_key, known_time] : newest) {
      RC_ASSERT(table.newest(known_key).has_value());
      RC_ASSERT(*table.newest(known_key) >= known_time);
    }
  }
}

TEST(InvalidationTimes, IsExactBelowItsLimitAndForgetsWhatHasExpired) {
  InvalidationTimes<int> table(2);
  table.record(1, 10s);
  table.record(1, 9s);
  table.record(2, 11s);
  EXPECT_EQ(table.newest(1), std::optional<std::chrono::microseconds>(10s));
  EXPECT_EQ(table.newest(3), std::nullopt);
  table.forget_until(10s);
  EXPECT_EQ(table.newest(1), std::nullopt);
  EXPECT_EQ(table.newest(2), std::optional<std::chrono::microseconds>(11s));
}

TEST(InvalidationTimes, MergedInvalidationsApplyToEveryKeyUntilTheyExpire) {
  InvalidationTimes<int> table(2);
  for (int key = 1; key <= 3; ++key) table.record(key, std::chrono::seconds(key));
  EXPECT_EQ(table.newest(9), std::optional<std::chrono::microseconds>(2s));
  EXPECT_EQ(table.newest(3), std::optional<std::chrono::microseconds>(3s));
  table.forget_until(2s);
  EXPECT_EQ(table.newest(9), std::nullopt);
}

}  // namespace
}  // namespace edge_proxy
