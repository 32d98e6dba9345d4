// SPDX-License-Identifier: MIT
// Unit tests of invalidation: selectors, the key index compared with a scan, the sequencer, the log and the
// snapshot.
#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

#include "invalidation/invalidation_log.h"
#include "invalidation/key_index.h"
#include "invalidation/selector.h"
#include "invalidation/sequencer.h"
#include "invalidation/snapshot.h"

namespace edge_proxy::invalidation {
namespace {

Selector parse(const std::string& text) {
  auto result = parse_selector(text);
  EXPECT_TRUE(std::holds_alternative<Selector>(result)) << text;
  return std::get<Selector>(result);
}

std::string parse_error(const std::string& text) {
  auto result = parse_selector(text);
  return std::holds_alternative<SelectorError>(result) ? std::get<SelectorError>(result).message : "";
}

InvalidationCommand command(Sequence number, const std::string& selector, long long issued_ms = 0) {
  return {number, parse(selector), UnixMs{issued_ms}};
}

std::vector<Sequence> applied_numbers(const std::vector<SequencerEffect>& effects) {
  std::vector<Sequence> numbers;
  for (const auto& effect : effects)
    if (const auto* apply = std::get_if<ApplyInvalidation>(&effect)) numbers.push_back(apply->command.number);
  return numbers;
}

TEST(InvalidationSelector, ParsesEachKind) {
  EXPECT_EQ(parse("key:7f3a9c21e0b4d655"), (Selector{SelectorKind::key, "7f3a9c21e0b4d655"}));
  EXPECT_EQ(parse("tag:class-4b"), (Selector{SelectorKind::tag, "class-4b"}));
  EXPECT_EQ(parse("prefix:school/12/"), (Selector{SelectorKind::prefix, "school/12/"}));
  EXPECT_EQ(parse("prefix:"), (Selector{SelectorKind::prefix, ""}));
  EXPECT_EQ(parse("glob:school/*/proof-?.jpg"), (Selector{SelectorKind::glob, "school/*/proof-?.jpg"}));
}

TEST(InvalidationSelector, MalformedSelectorsReportTheFault) {
  EXPECT_NE(parse_error("school/12").find("want KIND:TEXT"), std::string::npos);
  EXPECT_NE(parse_error("regex:a.*").find("unknown kind 'regex'"), std::string::npos);
  EXPECT_NE(parse_error("tag:").find("empty tag"), std::string::npos);
  EXPECT_NE(parse_error("key:a b").find("unprintable"), std::string::npos);
  EXPECT_NE(parse_error("prefix:a*").find("glob only"), std::string::npos);
  EXPECT_NE(parse_error("key:" + std::string(513, 'a')).find("longer than 512"), std::string::npos);
}

TEST(InvalidationSelector, GlobsMatchWholeKeys) {
  EXPECT_TRUE(glob_matches("a*c", "abbbc"));
  EXPECT_TRUE(glob_matches("a*c", "ac"));
  EXPECT_FALSE(glob_matches("a*c", "acb"));
  EXPECT_TRUE(glob_matches("*", ""));
  EXPECT_TRUE(glob_matches("?b*", "abz"));
  EXPECT_FALSE(glob_matches("?b", "b"));
  EXPECT_TRUE(glob_matches("*a*a*a*b", std::string(40, 'a') + "b"));
  EXPECT_FALSE(glob_matches("*a*a*a*b", std::string(40, 'a')));
  EXPECT_EQ(literal_prefix("school/*/x"), "school/");
  EXPECT_EQ(literal_prefix("?x"), "");
}

TEST(InvalidationIndex, FindsByTagPrefixAndGlob) {
  KeyIndex index;
  index.put("s1/c4/photo-1", {"class-4", "s1"});
  index.put("s1/c4/photo-2", {"class-4", "s1", "class-4"});
  index.put("s1/c5/photo-1", {"class-5", "s1"});
  index.put("s2/c4/photo-1", {"class-4", "s2"});
  EXPECT_EQ(index.match(parse("tag:class-4")),
            (std::vector<std::string>{"s1/c4/photo-1", "s1/c4/photo-2", "s2/c4/photo-1"}));
  EXPECT_EQ(index.match(parse("prefix:s1/c4/")),
            (std::vector<std::string>{"s1/c4/photo-1", "s1/c4/photo-2"}));
  EXPECT_EQ(index.match(parse("glob:*/c4/photo-1")),
            (std::vector<std::string>{"s1/c4/photo-1", "s2/c4/photo-1"}));
  EXPECT_EQ(index.match(parse("key:s1/c5/photo-1")), (std::vector<std::string>{"s1/c5/photo-1"}));
}

TEST(InvalidationIndex, MatchesNoKeyOrAllKeys) {
  KeyIndex index;
  for (int i = 0; i < 50; ++i) index.put("k" + std::to_string(i), {"t" + std::to_string(i % 3)});
  EXPECT_TRUE(index.match(parse("glob:zz*")).empty());
  EXPECT_TRUE(index.match(parse("tag:unknown")).empty());
  EXPECT_TRUE(index.match(parse("key:k50")).empty());
  EXPECT_EQ(index.match(parse("glob:*")).size(), 50U);
  EXPECT_EQ(index.match(parse("prefix:")).size(), 50U);
}

TEST(InvalidationIndex, ReplacedTagsAndErasedKeysReleaseTheirEntries) {
  // Guards against a memory leak: over many generations of keys, the index must hold only current keys and
  // tags.
  KeyIndex index;
  for (int generation = 0; generation < 200; ++generation) {
    for (int i = 0; i < 100; ++i) {
      const std::string key = "g" + std::to_string(generation) + "/" + std::to_string(i);
      index.put(key, {"gen-" + std::to_string(generation), "i" + std::to_string(i % 7)});
      index.put(key, {"gen-" + std::to_string(generation)});
    }
    if (generation >= 2) {
      for (const std::string& key : index.match(parse("tag:gen-" + std::to_string(generation - 2))))
        index.erase(key);
    }
    ASSERT_LE(index.key_count(), 300U);
    ASSERT_LE(index.tag_count(), 3U);
  }
  EXPECT_TRUE(index.match(parse("tag:i3")).empty());
}

TEST(InvalidationIndex, AgreesWithAScanOnRandomKeys) {
  std::mt19937 random(7);
  KeyIndex index;
  const std::string letters = "abc/";
  auto random_word = [&](std::size_t max_length) {
    std::string word;
    const std::size_t length = 1 + random() % max_length;
    for (std::size_t i = 0; i < length; ++i) word += letters[random() % letters.size()];
    return word;
  };
  for (int i = 0; i < 2000; ++i) {
    const std::string key = random_word(10);
    if (random() % 5 == 0) {
      index.erase(key);
    } else {
      index.put(key, {random_word(2), random_word(2)});
    }
  }
  for (int i = 0; i < 300; ++i) {
    std::string glob = random_word(6);
    glob[random() % glob.size()] = random() % 2 == 0 ? '*' : '?';
    for (const std::string& text :
         {"tag:" + random_word(2), "prefix:" + random_word(3), "glob:" + glob, "key:" + random_word(10)}) {
      const Selector selector = parse(text);
      ASSERT_EQ(index.match(selector), index.match_by_scan(selector)) << text;
    }
  }
}

TEST(InvalidationSequencer, AppliesOutOfOrderArrivalsInOrder) {
  // Overlapping invalidations arrive in the wrong order; they must be applied in the order of their numbers.
  SequencerState state;
  auto effects = reduce(state, CommandArrived{command(2, "prefix:s1/", 2000)});
  EXPECT_TRUE(applied_numbers(effects).empty());
  ASSERT_EQ(effects.size(), 1U);
  EXPECT_EQ(std::get<RequestFrom>(effects[0]).number, 1U);
  effects = reduce(state, CommandArrived{command(3, "tag:class-4", 3000)});
  EXPECT_TRUE(effects.empty()) << "the gap must be requested only once";
  effects = reduce(state, CommandArrived{command(1, "glob:s1/*", 1000)});
  EXPECT_EQ(applied_numbers(effects), (std::vector<Sequence>{1, 2, 3}));
  EXPECT_EQ(state.applied, 3U);
  EXPECT_TRUE(state.out_of_order.empty());
}

TEST(InvalidationSequencer, DropsDuplicatesAndConflictsWithAReason) {
  SequencerState state;
  reduce(state, CommandArrived{command(1, "tag:a")});
  auto effects = reduce(state, CommandArrived{command(1, "tag:a")});
  ASSERT_EQ(effects.size(), 1U);
  EXPECT_EQ(std::get<CommandDropped>(effects[0]).reason, DropReason::duplicate);
  reduce(state, CommandArrived{command(3, "tag:c")});
  effects = reduce(state, CommandArrived{command(3, "tag:other")});
  ASSERT_EQ(effects.size(), 1U);
  EXPECT_EQ(std::get<CommandDropped>(effects[0]).reason, DropReason::conflict);
  EXPECT_EQ(state.out_of_order.at(3).selector.text, "c");
}

TEST(InvalidationSequencer, RestartResumesAfterTheLastAppliedNumber) {
  SequencerState before;
  for (Sequence n = 1; n <= 4; ++n) reduce(before, CommandArrived{command(n, "key:k" + std::to_string(n))});
  reduce(before, CommandArrived{command(6, "key:k6")});  // 5 was not received before the crash
  SequencerState after;
  after.applied = before.applied;  // restored without the buffered commands, which are requested again
  auto effects = reduce(after, FeedConnected{});
  ASSERT_EQ(effects.size(), 1U);
  EXPECT_EQ(std::get<RequestFrom>(effects[0]).number, 5U);
  std::vector<Sequence> applied;
  for (Sequence n = 1; n <= 7; ++n) {
    const auto more = applied_numbers(reduce(after, CommandArrived{command(n, "key:k" + std::to_string(n))}));
    applied.insert(applied.end(), more.begin(), more.end());
  }
  EXPECT_EQ(applied, (std::vector<Sequence>{5, 6, 7}));
}

TEST(InvalidationSequencer, BufferedCommandsAreBounded) {
  SequencerState state;
  state.max_out_of_order = 8;
  for (Sequence n = 2; n < 40; ++n) reduce(state, CommandArrived{command(n, "tag:t")});
  EXPECT_LE(state.out_of_order.size(), 8U);
  const auto effects = reduce(state, CommandArrived{command(1, "tag:t")});
  EXPECT_EQ(applied_numbers(effects), (std::vector<Sequence>{1, 2, 3, 4, 5, 6, 7, 8}));
  EXPECT_EQ(effects.size(), 8U) << "the request from 1 on is still pending and also covers 9 and above";
  EXPECT_EQ(std::get<RequestFrom>(reduce(state, FeedConnected{}).front()).number, 9U)
      << "the rest is requested again when the feed reconnects";
}

TEST(InvalidationLog, DoesNotServeACopyOlderThanItsInvalidation) {
  InvalidationLog log;
  log.record(command(1, "tag:class-4", 1000));
  log.record(command(2, "glob:s2/*", 2000));
  EXPECT_FALSE(log.can_serve("s1/a", {"class-4"}, UnixMs{999}));
  EXPECT_TRUE(log.can_serve("s1/a", {"class-4"}, UnixMs{1000}))
      << "a copy created at the time of the invalidation is still valid";
  EXPECT_TRUE(log.can_serve("s1/a", {"class-5"}, UnixMs{10}));
  EXPECT_FALSE(log.can_serve("s2/x", {}, UnixMs{1500}));
  log.prune_before(UnixMs{1500});
  EXPECT_EQ(log.size(), 1U);
  EXPECT_FALSE(log.can_serve("s2/x", {}, UnixMs{1999}));
}

SequencerState sample_state() {
  SequencerState state;
  for (Sequence n : {1, 2, 3, 5, 6})
    reduce(state, CommandArrived{command(n, "glob:school/*/proof-?.jpg", 1000 + n)});
  reduce(state, CommandArrived{command(8, "prefix:", 1008)});
  reduce(state, CommandArrived{command(9, "tag:class-4b", 1009)});
  return state;
}

TEST(InvalidationSnapshot, RoundTripsTheState) {
  const SequencerState state = sample_state();
  const auto result = read_snapshot(write_snapshot(state), 1024);
  ASSERT_TRUE(std::holds_alternative<SequencerState>(result)) << std::get<SnapshotError>(result).message;
  const auto& restored = std::get<SequencerState>(result);
  EXPECT_EQ(restored.applied, 3U);
  EXPECT_EQ(restored.highest_seen, 9U);
  EXPECT_EQ(restored.out_of_order, state.out_of_order);
  // The restored sequencer requests the gap and applies the buffered commands once the gap is closed.
  SequencerState resumed = restored;
  EXPECT_EQ(std::get<RequestFrom>(reduce(resumed, FeedConnected{}).front()).number, 4U);
  EXPECT_EQ(applied_numbers(reduce(resumed, CommandArrived{command(4, "key:k4", 1004)})),
            (std::vector<Sequence>{4, 5, 6}));
}

TEST(InvalidationSnapshot, RejectsATruncatedOrChangedSnapshot) {
  const std::string text = write_snapshot(sample_state());
  for (std::size_t cut = 0; cut < text.size(); ++cut) {
    const auto truncated = read_snapshot(text.substr(0, cut), 1024);
    ASSERT_TRUE(std::holds_alternative<SnapshotError>(truncated)) << "truncated at " << cut;
  }
  for (std::size_t at = 0; at + 18 < text.size(); ++at) {
    std::string changed = text;
    changed[at] = changed[at] == '7' ? '8' : '7';
    ASSERT_TRUE(std::holds_alternative<SnapshotError>(read_snapshot(changed, 1024)))
        << "changed at byte " << at;
  }
  const auto over_limit = read_snapshot(text, 2);
  ASSERT_TRUE(std::holds_alternative<SnapshotError>(over_limit));
  EXPECT_NE(std::get<SnapshotError>(over_limit).message.find("bound of 2"), std::string::npos);
}

}  // namespace
}  // namespace edge_proxy::invalidation
