// SPDX-License-Identifier: MIT
#include "edge_proxy/router.h"

#include <gtest/gtest.h>

#include <set>

#include "support/routing_world.h"

namespace edge_proxy::test {
namespace {

// ---- Popularity, endpoint selection and fills ----

TEST(Popularity, NoPartIsBronzeBeforeTheWindowIsFull) {
  World world;
  EXPECT_EQ(world.serve(1).rank, Rank::low);
}

TEST(Popularity, RanksFollowTheRouterOwnRequestCounts) {
  World world;
  world.advance(21s);
  for (int i = 0; i < 30; ++i) world.serve(1);
  for (std::uint64_t object = 100; object < 119; ++object) {
    for (int i = 0; i < 5; ++i) world.serve(object);
  }
  world.serve(200);
  world.advance(1100ms);
  EXPECT_EQ(world.serve(1).rank, Rank::middle);
  EXPECT_EQ(world.serve(200).rank, Rank::low);
  const Attempt bronze = world.serve(300);
  EXPECT_EQ(bronze.rank, Rank::uncached);
  EXPECT_TRUE(bronze.parent_uncached);
}

TEST(Popularity, ClientRetriesAreNotCounted) {
  World world;
  world.advance(21s);
  world.serve(5);
  Request again = world.request(5);
  again.client_retry = true;
  const auto sent = actions_of<Attempt>(world.handle(again));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent.front().rank, Rank::uncached);
}

TEST(Fills, DeniedFillAllowsAStaleCopyWithinItsGrace) {
  // Guards against rejecting a request whose fill is denied, although a stale copy within its grace scores
  // half. After an invalidation no older copy may be served, even within its grace.
  Settings settings = default_settings();
  settings.classes[0].max_age = 8s;
  settings.classes[0].grace = 20s;
  World world(settings, {make_endpoint("cache-a", 0, 2)});  // no source for fills
  const auto denied = actions_of<Attempt>(world.handle(world.request(1)));
  ASSERT_EQ(denied.size(), 1U);
  EXPECT_EQ(denied.front().max_copy_age, 28s);
  world.handle(Invalidation{2, 0, 1s});
  const auto purged = actions_of<Attempt>(world.handle(world.request(2)));
  ASSERT_EQ(purged.size(), 1U);
  EXPECT_EQ(purged.front().max_copy_age, 1s);
  World filled(settings);
  const auto fill = actions_of<Attempt>(filled.handle(filled.request(1)));
  ASSERT_EQ(fill.size(), 1U);
  EXPECT_EQ(fill.front().max_copy_age, 8s);
}

TEST(Fills, ReadsJoinFillsInFlightAndWritesDoNot) {
  // Guards against duplicate fills after all copies become invalid at once. Without joined fills each router
  // of a location fills popular parts itself: a fifth of all fills were duplicates, and a request whose fill
  // was denied ended as a miss although a fill of its part was in flight.
  World world;
  const auto read = actions_of<Attempt>(world.handle(world.request(1)));
  const auto write = actions_of<Attempt>(world.handle(world.request(2, 1)));
  ASSERT_EQ(read.size() + write.size(), 2U);
  EXPECT_TRUE(read.front().join_fill);
  EXPECT_FALSE(write.front().join_fill);
}

TEST(EndpointSelection, AllRoutersSelectTheSameParentWhateverTheListOrder) {
  Settings other_zone = default_settings();
  other_zone.zone = 3;
  other_zone.routers_by_zone = {0, 0, 1, 1};
  std::vector<Endpoint> list = {make_endpoint("cache-z", 0, 3), make_endpoint("origin", 2, 0),
                                make_endpoint("parent-b", 1, 1), make_endpoint("parent-a", 1, 0)};
  World here, there(other_zone, list);
  std::set<std::string> parents;
  for (std::uint64_t object = 0; object < 40; ++object) {
    const Attempt attempt = here.serve(object), other = there.serve(object);
    EXPECT_EQ(attempt.source, other.source);
    parents.insert(attempt.source);
  }
  EXPECT_EQ(parents.size(), 2U);
}

TEST(EndpointSelection, SelectsOnlyCachesOfTheSameLocation) {
  auto list = default_endpoints();
  list.push_back(make_endpoint("cache-far", 0, 4));
  World world(default_settings(), list);
  for (std::uint64_t object = 0; object < 60; ++object) EXPECT_NE(world.serve(object).endpoint, "cache-far");
}

TEST(EndpointSelection, FillsComeFromTheOriginWithoutParents) {
  Settings settings = default_settings();
  settings.parent_kind = -1;
  World world(settings, {make_endpoint("cache-a", 0, 2), make_endpoint("origin", 2, 0)});
  EXPECT_EQ(world.serve(1).source, "origin");
}

TEST(EndpointSelection, SkipsAnEndpointAtItsLoadBound) {
  World world;
  std::set<std::string> used;
  for (int i = 0; i < 30; ++i) {
    for (const Attempt& attempt : actions_of<Attempt>(world.handle(world.request(1))))
      used.insert(attempt.endpoint);
  }
  EXPECT_GE(used.size(), 2U);
}

// ---- One final answer ----

TEST(FinalAnswer, IsGivenOnceBeforeAnEarlyDeadline) {
  World world;
  world.handle(world.request(1, 0, 100ms));
  EXPECT_EQ(final_answer_count(world.advance(100ms)), 1U);
  EXPECT_EQ(final_answer_count(world.advance(5s)), 0U);
}

TEST(FinalAnswer, NoAttemptIsSentAfterIt) {
  World world;
  const auto sent = actions_of<Attempt>(world.handle(world.request(1)));
  world.advance(2500ms);
  const auto late = world.end_attempt(sent.front(), AttemptResult::error);
  EXPECT_TRUE(actions_of<Attempt>(late).empty());
  EXPECT_EQ(final_answer_count(late), 0U);
}

TEST(FinalAnswer, IsARejectionAtOnceWithoutEndpoints) {
  World world(default_settings(), {});
  EXPECT_EQ(final_answer_count(world.handle(world.request(1))), 1U);
}

TEST(FinalAnswer, UnknownAndRepeatedEventsAreIgnored) {
  World world;
  Outcome unknown;
  unknown.request = "nobody";
  EXPECT_TRUE(actions_of<Attempt>(world.handle(unknown)).empty());
  world.handle(RequestCancelled{"nobody"});
  world.handle(StreamStarted{"nobody", 3});
  world.handle(EndpointList{ListKind::failed, {}});
  world.handle(HealthChecked{"nobody", false, 0ms, {}});
  const auto sent = actions_of<Attempt>(world.handle(world.request(1)));
  world.end_attempt(sent.front(), AttemptResult::served, 7);
  world.end_attempt(sent.front(), AttemptResult::served);
  EXPECT_EQ(final_answer_count(world.end_attempt(sent.front(), AttemptResult::served)), 0U);
}

TEST(FinalAnswer, RejectionHasARetryAfterIfTheSiteSupportsIt) {
  for (const bool supports_retry_after : {false, true}) {
    Settings settings = default_settings();
    settings.retry_after = supports_retry_after;
    settings.max_retry_after = 500ms;
    World world(settings, {});
    const auto rejected = actions_of<Reject>(world.handle(world.request(1)));
    ASSERT_EQ(rejected.size(), 1U);
    EXPECT_EQ(rejected.front().retry_after, supports_retry_after ? 250ms : 0ms);
  }
}

// ---- Sources, local copies, health and retry safety ----

TEST(Fills, GoToTheOriginWhenNoParentIsUsable) {
  // Guards against rejecting every miss while one parent fails and the other is warming up.
  World world;
  Endpoint other = make_endpoint("parent-b", 1, 1);
  other.state = EndpointState::removed;
  world.handle(EndpointList{ListKind::changes, {other}});
  for (std::uint64_t n = 0; n < 100; ++n) {
    for (const Attempt& attempt : actions_of<Attempt>(world.handle(world.request(n))))
      world.end_attempt(attempt, attempt.source == "parent-a" ? AttemptResult::error : AttemptResult::served,
                        0, CacheStatus::unknown);
    world.advance(50ms);
  }
  world.advance(10s);
  world.handle(EndpointList{ListKind::changes, {make_endpoint("parent-b", 1, 1, world.now)}});
  std::set<std::string> sources;
  for (std::uint64_t n = 1000; n < 1003; ++n) {
    for (const Attempt& attempt : actions_of<Attempt>(world.handle(world.request(n))))
      sources.insert(attempt.source);
  }
  EXPECT_EQ(sources.count("origin"), 1U);
}

TEST(Fills, GoToTheOriginWhenParentsAreFullWhileItAnswersInTime) {
  // Guards against rejecting misses while one parent is lost and the other is full, although the origin has
  // capacity.
  for (const bool in_time : {true, false}) {
    World world;
    std::set<std::string> sources;
    std::size_t at_origin = 0;
    for (std::uint64_t n = 0; n < 200; ++n) {
      for (const Attempt& attempt : actions_of<Attempt>(world.handle(world.request(n)))) {
        if (attempt.source != "origin") continue;  // the parents never answer
        at_origin += n >= 100 ? 1 : 0;
        if (in_time) {
          world.end_attempt(attempt, AttemptResult::served, 0, CacheStatus::unknown);
        } else {
          world.end_attempt(attempt, AttemptResult::error, 0, CacheStatus::origin_failed);
        }
      }
    }
    EXPECT_EQ(at_origin > 80, in_time) << at_origin;
    EXPECT_LT(at_origin, in_time ? 101U : 20U);
  }
}

TEST(LocalCopies, AreServedIfInTimeAndPopularOnesOnlyOnAnIdleLink) {
  World world;
  const auto is_served_locally = [&world](std::uint64_t object, Time wait) {
    Request request = world.request(object);
    request.local_copy_wait = wait;
    const auto actions = world.handle(request);
    EXPECT_EQ(actions_of<ServeFromLocalCache>(actions).size() + actions_of<Attempt>(actions).size(), 1U);
    return !actions_of<ServeFromLocalCache>(actions).empty();
  };
  EXPECT_TRUE(is_served_locally(1, 0ms));
  EXPECT_TRUE(is_served_locally(1, 100ms));
  EXPECT_FALSE(is_served_locally(1, 100ms));  // third request: the part counts as popular
  EXPECT_TRUE(is_served_locally(1, 0ms));
  EXPECT_FALSE(is_served_locally(2, 400ms));  // too late: the latency objective is 0.5 s
  EXPECT_EQ(world.stats().in_flight, 2U);
}

TEST(Health, ErrorsOfASingleCacheAreNotBlamedOnItsSources) {
  // Guards against blaming the parents for a cache that fails fast: all fills were denied, and the cache kept
  // receiving its full share of the requests.
  World world;
  std::size_t attempts_at_failing_cache = 0, rejected = 0;
  for (std::uint64_t n = 0; n < 600; ++n) {
    const auto actions = world.handle(world.request(n));
    rejected += actions_of<Reject>(actions).size();
    for (const Attempt& attempt : actions_of<Attempt>(actions)) {
      attempts_at_failing_cache += n >= 300 && attempt.endpoint == "cache-a" ? 1 : 0;
      const auto more = world.end_attempt(
          attempt, attempt.endpoint == "cache-a" ? AttemptResult::error : AttemptResult::served, 0,
          CacheStatus::unknown);
      for (const Attempt& again : actions_of<Attempt>(more))
        world.end_attempt(again, AttemptResult::served, 1, CacheStatus::unknown);
      if (n >= 300) rejected += actions_of<Reject>(more).size();
    }
    world.advance(20ms);
  }
  EXPECT_LT(attempts_at_failing_cache, 40U);  // its even share is 100
  EXPECT_LT(rejected, 40U);
}

TEST(Memory, RemovedEndpointsAreFreedWithTheLastRequestThatRefersToThem) {
  World world;
  Attempt open_attempt;
  for (int n = 0; n < 500; ++n) {
    Endpoint next = make_endpoint("next-" + std::to_string(n), 0, 2),
             old = make_endpoint("next-" + std::to_string(n - 1), 0, 2);
    old.state = EndpointState::removed;
    world.handle(EndpointList{ListKind::changes, {old, next}});
    const auto sent = actions_of<Attempt>(world.handle(world.request(static_cast<std::uint64_t>(n))));
    ASSERT_EQ(sent.size(), 1U);
    if (open_attempt.request.empty() && sent.front().endpoint == next.id) {
      open_attempt = sent.front();  // stays open long after its endpoint is removed
    } else {
      world.end_attempt(sent.front(), AttemptResult::served);
    }
    world.advance(10ms);
  }
  ASSERT_FALSE(open_attempt.request.empty());
  // The six initial endpoints, the newest one, and those of the open attempt and of its hedged request.
  EXPECT_LE(world.stats().endpoints, 9U);
  EXPECT_GE(world.stats().endpoints, 8U);
  EXPECT_LE(world.stats().in_flight, 2U);
  world.end_attempt(open_attempt, AttemptResult::timed_out, 0);
  world.end_attempt(open_attempt, AttemptResult::timed_out, 1);
  world.advance(3s);
  EXPECT_EQ(world.stats().endpoints, 7U);
  EXPECT_LT(world.stats().table_entries, 20U);
}

TEST(RetrySafety, WritesAreSentOnlyToTheOrigin) {
  World world;
  const auto sent = actions_of<Attempt>(world.handle(world.request(1, 1)));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent.front().endpoint, "origin");
  EXPECT_EQ(sent.front().rank, Rank::uncached);
}

TEST(RetrySafety, RequestWithKeyIsRetriedOnlyWithinTheDeduplicationWindow) {
  World world;
  auto sent = actions_of<Attempt>(world.handle(world.request(1, 1, 3s)));
  world.advance(200ms);
  EXPECT_EQ(actions_of<Attempt>(world.end_attempt(sent.front(), AttemptResult::connection_lost)).size(), 1U);
  sent = actions_of<Attempt>(world.handle(world.request(2, 1, 3s)));
  world.advance(1000ms);
  EXPECT_TRUE(actions_of<Attempt>(world.end_attempt(sent.front(), AttemptResult::connection_lost)).empty());
}

TEST(Health, BrokenConnectionWithManyAttemptsCountsAsOneFailure) {
  // Guards against ejecting a healthy cache, which moves its objects away, because of one reset connection.
  World world;
  const Attempt reference = world.serve(7);
  const auto break_connection = [&](AttemptResult result, int max_attempts) {
    std::vector<Attempt> open_attempts;
    for (std::uint64_t n = 0; n < 200 && static_cast<int>(open_attempts.size()) < max_attempts; ++n) {
      const auto sent = actions_of<Attempt>(world.handle(world.request(1000 + n)));
      if (sent.empty()) continue;
      if (sent.front().endpoint == reference.endpoint) {
        open_attempts.push_back(sent.front());
      } else {
        world.end_attempt(sent.front(), AttemptResult::served);
      }
    }
    EXPECT_GE(open_attempts.size(), 3U);
    for (const Attempt& attempt : open_attempts) world.end_attempt(attempt, result);
  };
  break_connection(AttemptResult::connection_lost, 4);
  EXPECT_EQ(world.serve(7).endpoint, reference.endpoint);
  break_connection(AttemptResult::malformed_response, 4);
  EXPECT_EQ(world.serve(7).endpoint, reference.endpoint);
}

TEST(Health, MalformedResponseIsRetriedAtTheSameEndpoint) {
  World world;
  for (std::uint64_t n = 1; n < 10; ++n) {  // more retries than the retry budget has
    const auto sent = actions_of<Attempt>(world.handle(world.request(n)));
    ASSERT_EQ(sent.size(), 1U);
    const auto again =
        actions_of<Attempt>(world.end_attempt(sent.front(), AttemptResult::malformed_response));
    ASSERT_EQ(again.size(), 1U) << "request " << n;
    EXPECT_EQ(again.front().endpoint, sent.front().endpoint);
    world.end_attempt(again.front(), AttemptResult::served, 1);
  }
}

TEST(RetrySafety, NonIdempotentRequestThatMayHaveRunIsNeitherRetriedNorRejected) {
  World world;
  auto sent = actions_of<Attempt>(world.handle(world.request(1, 2, 3s)));
  auto after = world.end_attempt(sent.front(), AttemptResult::connection_lost);
  EXPECT_TRUE(actions_of<Attempt>(after).empty());
  EXPECT_TRUE(actions_of<Reject>(after).empty());
  EXPECT_EQ(actions_of<Fail>(after).size(), 1U);
  sent = actions_of<Attempt>(world.handle(world.request(2, 2, 3s)));
  after = world.end_attempt(sent.front(), AttemptResult::shed);
  EXPECT_EQ(actions_of<Attempt>(after).size(), 1U);
}

// ---- Endpoint lists ----

TEST(EndpointLists, DrainingAndRemovedEndpointsReceiveNothing) {
  World world;
  Endpoint cache = make_endpoint("cache-a", 0, 2), parent = make_endpoint("parent-a", 1, 0);
  cache.state = EndpointState::draining;
  parent.state = EndpointState::removed;
  world.handle(EndpointList{ListKind::changes, {cache, parent}});
  for (std::uint64_t object = 0; object < 60; ++object) {
    const Attempt attempt = world.serve(object);
    EXPECT_NE(attempt.endpoint, "cache-a");
    EXPECT_NE(attempt.source, "parent-a");
  }
}

TEST(EndpointLists, EndpointMissingFromACompleteListIsRemoved) {
  World world;
  auto list = default_endpoints();
  list.erase(list.begin());
  world.handle(EndpointList{ListKind::complete, list});
  for (std::uint64_t object = 0; object < 60; ++object) EXPECT_NE(world.serve(object).endpoint, "cache-a");
}

// ---- Invalidations ----

TEST(Invalidations, LimitTheCopyAgeOfEveryAttempt) {
  World world;
  world.handle(Invalidation{std::uint64_t{1}, 0, 30ms});
  const auto first = actions_of<Attempt>(world.handle(world.request(1)));
  EXPECT_EQ(first.front().max_copy_age, 30ms);
  world.advance(100ms);
  const auto second = actions_of<Attempt>(world.end_attempt(first.front(), AttemptResult::shed));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(second.front().max_copy_age, 130ms);
  EXPECT_EQ(world.serve(2).max_copy_age, 0ms);
}

TEST(Invalidations, OfAGroupLimitTheCopyAgeOfAllItsObjects) {
  World world;
  world.handle(Invalidation{std::nullopt, 9, 10ms});
  Request request = world.request(1);
  request.group = 9;
  EXPECT_EQ(actions_of<Attempt>(world.handle(request)).front().max_copy_age, 10ms);
  world.advance(7s);
  Request later = world.request(2);
  later.group = 9;
  EXPECT_EQ(actions_of<Attempt>(world.handle(later)).front().max_copy_age, 7010ms);
}

TEST(Determinism, EqualEventsGiveEqualActions) {
  const auto run = [] {
    World world;
    for (std::uint64_t i = 0; i < 300; ++i) world.serve(i * i % 37);
    world.advance(2s);
    std::string trace;
    for (const Attempt& attempt : actions_of<Attempt>(world.all_actions))
      trace += attempt.endpoint + attempt.source + ";";
    return trace;
  };
  EXPECT_EQ(run(), run());
}

}  // namespace
}  // namespace edge_proxy::test
