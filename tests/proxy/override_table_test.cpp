// SPDX-License-Identifier: MIT
#include "proxy/overrides/override_table.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

#include "proxy/resource_limits.h"

namespace edge_proxy::proxy {
namespace {

using ApplyResult = OverrideTable::ApplyResult;

OverrideChange suspend(const std::string& id, std::int64_t at) {
  return {OverrideAction::suspend, id, Time{at}};
}
OverrideChange resume(const std::string& id, std::int64_t at) {
  return {OverrideAction::resume, id, Time{at}};
}

/// A table after random calls for few endpoints, of an operator and of the policy.
OverrideTable random_table() {
  OverrideTable table;
  const int calls = *rc::gen::inRange(0, 12);
  for (int i = 0; i < calls; ++i) {
    const std::string id = *rc::gen::element<std::string>("a", "b", "c c", "box-12");
    const std::int64_t at = *rc::gen::inRange(0, 50);
    const int kind = *rc::gen::inRange(0, 3);
    if (kind == 0) static_cast<void>(table.apply(suspend(id, at)));
    if (kind == 1) static_cast<void>(table.apply(resume(id, at)));
    if (kind == 2) table.note_policy_resume(id, Time{at});
  }
  return table;
}

OverrideTable merged(OverrideTable one, const OverrideTable& other) {
  one.merge(other);
  return one;
}

TEST(OverrideTable, TheLaterCallCountsWhateverTheClocksSay) {
  OverrideTable table;
  EXPECT_EQ(table.apply(suspend("a", 100)), ApplyResult::done);
  EXPECT_TRUE(table.is_suspended("a"));
  EXPECT_EQ(table.apply(resume("a", 40)), ApplyResult::done);
  EXPECT_FALSE(table.is_suspended("a"));
  EXPECT_EQ(table.resumed_at("a"), Time{101});
  EXPECT_EQ(table.apply(suspend("a", 50)), ApplyResult::done);
  EXPECT_TRUE(table.is_suspended("a"));
}

TEST(OverrideTable, ARepeatedCallCountsAsACallAndChangesNothingElse) {
  // Guards against an older call of another process that comes to be known after a repeated one.
  OverrideTable table, other;
  EXPECT_EQ(other.apply(suspend("a", 4)), ApplyResult::done);
  EXPECT_EQ(table.apply(resume("a", 5)), ApplyResult::done);
  EXPECT_FALSE(table.resumed_at("a")) << "it was never suspended, so that it needs no warm-up";
  EXPECT_FALSE(merged(table, other).is_suspended("a"));
  EXPECT_EQ(table.apply(suspend("a", 6)), ApplyResult::done);
  EXPECT_EQ(table.apply(suspend("a", 8)), ApplyResult::done);
  EXPECT_EQ(other.apply(resume("a", 7)), ApplyResult::done);
  EXPECT_TRUE(merged(table, other).is_suspended("a"));
  EXPECT_EQ(table.apply(resume("a", 10)), ApplyResult::done);
  EXPECT_EQ(table.apply(resume("a", 20)), ApplyResult::done);
  EXPECT_EQ(table.resumed_at("a"), Time{10}) << "a repeated call must not restart the warm-up";
  EXPECT_EQ(StoredOverrides::parse(table.serialize()).table, table);
}

TEST(OverrideTable, OnlyResumedEndpointsMakeRoom) {
  OverrideTable table;
  EXPECT_EQ(table.apply(suspend("resumed", 1)), ApplyResult::done);
  EXPECT_EQ(table.apply(resume("resumed", 2)), ApplyResult::done);
  for (std::size_t i = 0; i < kMaxOverrides; ++i) {
    EXPECT_EQ(table.apply(suspend("box-" + std::to_string(i), 3)), ApplyResult::done);
  }
  EXPECT_FALSE(table.contains("resumed"));
  EXPECT_EQ(table.apply(suspend("one more", 4)), ApplyResult::full);
  OverrideTable other;
  EXPECT_EQ(other.apply(suspend("another", 5)), ApplyResult::done);
  table.merge(other);
  EXPECT_EQ(table.suspended_count(), kMaxOverrides);
  EXPECT_FALSE(table.contains("another"));
  EXPECT_EQ(table.apply(resume("box-7", 6)), ApplyResult::done);
  EXPECT_EQ(table.apply(suspend("one more", 7)), ApplyResult::done);
}

TEST(OverrideTable, AnIdThatDoesNotFitIntoALineIsRefused) {
  OverrideTable table;
  const std::string longest(kMaxOverrideIdBytes, 'x');
  for (const std::string& id :
       {std::string("a\nout 5 b"), std::string(), std::string("a\x7f"), longest + "x"}) {
    EXPECT_EQ(table.apply(suspend(id, 1)), ApplyResult::not_stored);
    table.note_policy_resume(id, Time{1});
  }
  EXPECT_EQ(table, OverrideTable{});
  EXPECT_EQ(table.apply(suspend(longest, 1)), ApplyResult::done);
  EXPECT_EQ(StoredOverrides::parse(table.serialize()).table, table);
}

TEST(OverrideTable, MalformedLinesAreSkipped) {
  for (const char* text :
       {"", "out", "out 5\n", "out 5 \n", "out x a\n", "odd 5 a\n", "out -1 a\n", "out 7 a",
        "out 9223372036854775807 a\n", "out 99999999999999999999 a\n", "warm 5\n"}) {
    EXPECT_EQ(StoredOverrides::parse(text).table, OverrideTable{}) << text;
  }
}

TEST(OverrideTable, TheFormOfTheFileIsTold) {
  using Form = StoredOverrides::Form;
  OverrideTable table;
  EXPECT_EQ(table.apply(suspend("a", 5)), ApplyResult::done);
  const std::string text = table.serialize();
  EXPECT_EQ(StoredOverrides::parse(text).form, Form::intact);
  EXPECT_EQ(StoredOverrides::parse("out 5 a\n").form, Form::unchecked);
  EXPECT_EQ(StoredOverrides::parse("out 5 b\n" + text.substr(text.find('\n') + 1)).form, Form::damaged);
  EXPECT_EQ(StoredOverrides::parse(text + "out 5 b\n").form, Form::damaged);
  EXPECT_EQ(StoredOverrides::parse(text + "out").form, Form::damaged);
  EXPECT_EQ(StoredOverrides::parse("").form, Form::unchecked);
}

RC_GTEST_PROP(OverrideTableProperty, TablesMergeToTheSameInAnyOrder, ()) {
  const OverrideTable a = random_table(), b = random_table(), c = random_table();
  RC_ASSERT(merged(a, b) == merged(b, a));
  RC_ASSERT(merged(merged(a, b), c) == merged(a, merged(b, c)));
  RC_ASSERT(merged(a, a) == a);
  RC_ASSERT(merged(merged(a, b), a) == merged(a, b));
}

RC_GTEST_PROP(OverrideTableProperty, ACallAfterAMergeCountsInEveryLaterMerge, ()) {
  const OverrideTable a = random_table(), b = random_table();
  OverrideTable table = merged(a, b);
  const bool is_suspension = *rc::gen::arbitrary<bool>();
  const OverrideChange change = is_suspension ? suspend("a", 1) : resume("a", 1);
  static_cast<void>(table.apply(change));
  RC_ASSERT(merged(merged(b, table), a).is_suspended("a") == is_suspension);
}

RC_GTEST_PROP(OverrideTableProperty, RestoredStatesWinOverTheWithdrawnOnes, ()) {
  const OverrideTable before = random_table();
  OverrideTable written = before;
  for (const char* id : {"a", "b", "c c"}) {
    const bool is_suspension = *rc::gen::arbitrary<bool>();
    static_cast<void>(written.apply(is_suspension ? suspend(id, 60) : resume(id, 60)));
  }
  OverrideTable restored = written;
  restored.restore(before);
  for (const char* id : {"a", "b", "c c", "box-12"}) {
    RC_ASSERT(merged(written, restored).is_suspended(id) == before.is_suspended(id));
  }
}

RC_GTEST_PROP(OverrideTableProperty, StoredTablesAreReadBack, ()) {
  const OverrideTable table = random_table();
  const StoredOverrides read = StoredOverrides::parse(table.serialize());
  RC_ASSERT(read.table == table);
  RC_ASSERT(read.form == StoredOverrides::Form::intact);
}

RC_GTEST_PROP(OverrideTableProperty, AShortenedFileHoldsNothingElse, ()) {
  const OverrideTable table = random_table();
  const std::string text = table.serialize();
  const auto size = *rc::gen::inRange<std::size_t>(0, text.size());
  const StoredOverrides read = StoredOverrides::parse(text.substr(0, size));
  RC_ASSERT(read.form != StoredOverrides::Form::intact);
  RC_ASSERT(merged(table, read.table) == table);
}

RC_GTEST_PROP(OverrideTableProperty, AFlippedBitIsNoticed, ()) {
  const OverrideTable table = random_table();
  std::string text = table.serialize();
  const auto byte = *rc::gen::inRange<std::size_t>(0, text.size());
  text[byte] = static_cast<char>(text[byte] ^ (1 << *rc::gen::inRange(0, 8)));
  RC_ASSERT(StoredOverrides::parse(text).form != StoredOverrides::Form::intact);
}

}  // namespace
}  // namespace edge_proxy::proxy
