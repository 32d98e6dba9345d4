// SPDX-License-Identifier: MIT
#include "edge_proxy/router.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "support/routing_world.h"

namespace edge_proxy::test {
namespace {

std::size_t final_answer_count(const std::vector<Action>& actions) {
  return actions_of<Reject>(actions).size() + actions_of<Fail>(actions).size();
}

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

// ---- Slow start ----

/// Returns the work, in seconds of transfer, that cache-a receives within two seconds, `since_start` after
/// its start. `with_rejected_load` adds requests that are all rejected before that.
double work_sent_to_warming_cache(Time since_start, bool with_rejected_load) {
  World world;
  for (int second = 0; second < 20; ++second) {
    for (std::uint64_t i = 0; i < 30; ++i) {
      world.serve(i);
      if (!with_rejected_load) continue;
      for (int more = 0; more < 4; ++more) {
        for (const Attempt& attempt : actions_of<Attempt>(world.handle(world.request(i))))
          world.end_attempt(attempt, AttemptResult::shed);
      }
    }
    world.advance(1s);
  }
  world.handle(EndpointList{ListKind::changes, {make_endpoint("cache-a", 0, 2, world.now - since_start)}});
  int sent = 0;
  for (int step = 0; step < 20; ++step) {
    for (std::uint64_t i = 0; i < 3; ++i)
      sent += world.serve(static_cast<std::uint64_t>(step) % 10 * 3 + i).endpoint == "cache-a" ? 1 : 0;
    world.advance(100ms);
  }
  return sent * 0.05;
}

TEST(SlowStartBudget, LimitsTheWorkSentToAWarmingCache) {
  // The caches serve 1.5 s of transfer per second, a third of it each. The budget is 2 x 0.25 x 0.5 x 2 s.
  EXPECT_LE(work_sent_to_warming_cache(0s, false), 0.5);
  EXPECT_GT(work_sent_to_warming_cache(0s, false), 0.0);
  EXPECT_GT(work_sent_to_warming_cache(20s, false), 0.6);
}

TEST(SlowStartBudget, DoesNotGrowWithRejectedWork) { EXPECT_LE(work_sent_to_warming_cache(0s, true), 0.5); }

TEST(SlowStartBudget, IsZeroForANewRouterWithoutWeights) {
  World world(default_settings(), {make_endpoint("cache-a", 0, 2, 999s), make_endpoint("origin", 2, 0)});
  for (std::uint64_t i = 0; i < 20; ++i) EXPECT_NE(world.serve(i).endpoint, "cache-a");
}

TEST(SlowStartBudget, FollowsNominalWeightsForANewRouter) {
  // Guards against an outage after a location and its routers restart together: new routers have no mean
  // load, so that they sent nothing to caches that were warming up and rejected nearly all requests for 18 s.
  Settings settings = default_settings();
  settings.weights = WeightMeaning::nominal;
  Endpoint warming_cache = make_endpoint("cache-a", 0, 2, 1000s);
  warming_cache.weight = 4;
  World world(settings, {warming_cache, make_endpoint("origin", 2, 0)});
  const auto sent_in_2s = [&world] {
    std::size_t sent = 0;
    for (std::uint64_t i = 0; i < 200; ++i) {
      sent += world.serve(i).endpoint == "cache-a" ? 1 : 0;
      world.advance(10ms);
    }
    return static_cast<double>(sent) * 0.05;
  };
  // The cache fails at 2 x 0.25 x 4 x 2 s of work at its start. During the handover time the process that
  // this router replaces may send as well.
  const double at_first = sent_in_2s();
  EXPECT_GT(at_first, 0.8);
  EXPECT_LT(at_first, 4 * 0.45);
  world.advance(2s);
  EXPECT_GT(sent_in_2s(), 2.0);
}

TEST(SlowStartBudget, ScalesWithTheQuotaShare) {
  // Guards the shares of the other routers: a router whose quota lease has expired must limit itself to its
  // reduced share immediately.
  const auto sent_in_2s = [](double part) {
    Settings settings = default_settings();
    settings.weights = WeightMeaning::nominal;
    Endpoint warming_cache = make_endpoint("cache-a", 0, 2, 1000s);
    warming_cache.weight = 4;
    World world(settings, {warming_cache, make_endpoint("origin", 2, 0)});
    world.advance(5s);
    world.handle(QuotaChanged{1, part});
    std::size_t sent = 0;
    for (std::uint64_t i = 0; i < 200; ++i) {
      sent += world.serve(i).endpoint == "cache-a" ? 1 : 0;
      world.advance(10ms);
    }
    return sent;
  };
  const std::size_t whole = sent_in_2s(1), half = sent_in_2s(0.5);
  EXPECT_GT(half, 0U);
  EXPECT_LE(half, whole * 6 / 10);
  EXPECT_EQ(sent_in_2s(0), 0U);
}

TEST(SlowStartBudget, BelowOneRequestSpacesRequestsInTime) {
  // Guards against a burst from hundreds of routers: the share of each stays below one request until the
  // cache counts as warm by its age, and then all routers would send at once.
  std::size_t sent = 0;
  World world;
  for (int second = 0; second < 20; ++second) {
    world.serve(static_cast<std::uint64_t>(second));  // 0.05 s of transfer per second over three caches
    world.advance(1s);
  }
  world.handle(EndpointList{ListKind::changes, {make_endpoint("cache-a", 0, 2, world.now)}});
  for (int step = 0; step < 80; ++step) {
    sent += world.serve(static_cast<std::uint64_t>(step)).endpoint == "cache-a" ? 1 : 0;
    world.advance(100ms);
  }
  EXPECT_GE(sent, 1U);
  EXPECT_LE(sent, 6U);
}

TEST(SlowStartBudget, SurvivesARestartOfAllCaches) {
  // Guards against budgets that drop to zero: while all caches are warming up, none of the served work comes
  // from warm caches, and a mean load that followed it would approach zero.
  World world;
  for (int second = 0; second < 20; ++second) {
    for (std::uint64_t i = 0; i < 30; ++i) world.serve(i);
    world.advance(1s);
  }
  auto list = default_endpoints();
  for (Endpoint& endpoint : list) endpoint.started = endpoint.kind == 0 ? world.now : Time{0};
  world.handle(EndpointList{ListKind::complete, list});
  world.advance(12s);
  std::size_t at_caches = 0;
  for (std::uint64_t i = 0; i < 30; ++i) at_caches += world.serve(i).endpoint.starts_with("cache") ? 1 : 0;
  EXPECT_GE(at_caches, 15U);
}

TEST(SlowStartBudget, SurvivesListedEndpointsThatFail) {
  // Guards against budgets that drop to zero while the caches of an unreachable location are still listed.
  // When they come back, they are warming up and face the full demand.
  World world;
  for (int second = 0; second < 20; ++second) {
    for (std::uint64_t i = 0; i < 30; ++i) world.serve(i);
    world.advance(1s);
  }
  for (int second = 0; second < 12; ++second) {
    for (std::uint64_t i = 0; i < 30; ++i) {
      for (const Attempt& attempt : actions_of<Attempt>(world.handle(world.request(i))))
        world.end_attempt(attempt, attempt.endpoint.starts_with("cache") ? AttemptResult::unreachable
                                                                         : AttemptResult::served);
    }
    world.advance(1s);
  }
  auto list = default_endpoints();
  for (Endpoint& endpoint : list) endpoint.started = endpoint.kind == 0 ? world.now : Time{0};
  world.handle(EndpointList{ListKind::complete, list});
  world.advance(8s);
  std::size_t at_caches = 0;
  for (std::uint64_t i = 0; i < 30; ++i) at_caches += world.serve(i).endpoint.starts_with("cache") ? 1 : 0;
  EXPECT_GE(at_caches, 15U);
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

// ---- Concurrency limits ----

TEST(Limits, LateRequestsAreGivenUpAndTheirAttemptsCancelled) {
  World world;
  for (int i = 0; i < 60; ++i) world.handle(world.request(1));
  const auto actions = world.advance(1100ms);  // the latency objective, and the same time again for fills
  EXPECT_GE(final_answer_count(actions), 20U);
  EXPECT_GE(actions_of<Cancel>(actions).size(), 20U);
}

TEST(Limits, LateResponsesLowerTheConcurrencyLimit) {
  World world;
  for (int round = 0; round < 40; ++round) {
    world.handle(world.request(1));
    for (const Attempt& attempt : actions_of<Attempt>(world.advance(600ms)))
      world.end_attempt(attempt, AttemptResult::cancelled, 1);
  }
  std::size_t open_attempts = 0;
  for (int i = 0; i < 100; ++i) open_attempts += actions_of<Attempt>(world.handle(world.request(1))).size();
  EXPECT_LT(open_attempts, 40U);
}

TEST(Limits, WithFullSourcesOnlyCachedCopiesAreRequested) {
  World world;
  for (std::uint64_t i = 0; i < 200; ++i) {
    auto sent = actions_of<Attempt>(world.handle(world.request(i)));
    for (int n = 0; !sent.empty(); ++n) {
      const bool fill = sent.front().source != sent.front().endpoint;
      sent = actions_of<Attempt>(world.end_attempt(sent.front(),
                                                   fill ? AttemptResult::shed : AttemptResult::cache_miss, n,
                                                   fill ? CacheStatus::source_shed : CacheStatus::unknown));
    }
  }
  const auto sent = actions_of<Attempt>(world.handle(world.request(1)));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent.front().source, sent.front().endpoint);
}

TEST(Limits, RecoverQuicklyAfterAnOverload) {
  // Guards against limits that recover too slowly: limits of 1 that rose by a fiftieth per response left the
  // caches idle.
  World world(default_settings(), {make_endpoint("cache-a", 0, 2)});
  for (int round = 0; round < 80; ++round) {
    auto sent = actions_of<Attempt>(world.handle(world.request(1)));
    for (int n = 0; !sent.empty(); ++n)
      sent =
          actions_of<Attempt>(world.end_attempt(sent.front(), AttemptResult::shed, n, CacheStatus::unknown));
  }
  const auto concurrent_attempts = [&world] {
    std::vector<Attempt> sent;
    for (int i = 0; i < 40; ++i) {
      for (const Attempt& attempt : actions_of<Attempt>(world.handle(world.request(1))))
        sent.push_back(attempt);
    }
    return sent;
  };
  for (int round = 0; round < 8; ++round) {
    for (const Attempt& attempt : concurrent_attempts())
      world.end_attempt(attempt, AttemptResult::served, 0, CacheStatus::hit);
  }
  EXPECT_GE(concurrent_attempts().size(), 6U);
}

TEST(Limits, LateHitLowersTheCacheLimitAndLateFillMostlyTheSourceLimit) {
  // Returns the numbers of concurrent fills and concurrent attempts at the cache after eight late responses.
  const auto capacity_after = [](CacheStatus cache_status) {
    World world(default_settings(), {make_endpoint("cache-a", 0, 2), make_endpoint("parent-a", 1, 0),
                                     make_endpoint("origin", 2, 0)});
    for (int late = 0; late < 8;) {
      const auto sent = actions_of<Attempt>(world.handle(world.request(1)));
      world.advance(510ms);
      if (!sent.empty()) {
        world.end_attempt(sent.front(), AttemptResult::served, 0, cache_status, 510ms);
        ++late;
      }
      world.end_cancelled_attempts();
    }
    std::size_t fills = 0, all = 0;
    for (int i = 0; i < 40; ++i) {
      for (const Attempt& attempt : actions_of<Attempt>(world.handle(world.request(1)))) {
        if (attempt.endpoint != "cache-a") continue;
        ++all;
        fills += attempt.source != attempt.endpoint ? 1 : 0;
      }
    }
    return std::pair{fills, all};
  };
  const auto hits = capacity_after(CacheStatus::hit), fills = capacity_after(CacheStatus::filled);
  EXPECT_GT(fills.second, hits.second);  // the cache gets half of the blame for late fills
  EXPECT_LT(fills.first, 12U);           // the source limit was 16 before
}

TEST(Limits, RejectionWithoutStatusIsBlamedMostlyOnTheSource) {
  // Guards against blaming the caches when parents fail without a status in the responses.
  const auto cache_attempts_after = [](bool with_source) {
    auto list = default_endpoints();
    if (!with_source) list.resize(3);
    World world(default_settings(), list);
    for (std::uint64_t i = 0; i < 30; ++i) {
      auto sent = actions_of<Attempt>(world.handle(world.request(i)));
      for (int n = 0; !sent.empty(); ++n) {
        sent = actions_of<Attempt>(
            world.end_attempt(sent.front(), AttemptResult::shed, n, CacheStatus::unknown));
      }
    }
    std::size_t at_caches = 0;
    for (std::uint64_t i = 0; i < 100; ++i) {
      for (const Attempt& attempt : actions_of<Attempt>(world.handle(world.request(i)))) {
        at_caches += attempt.endpoint.starts_with("cache") ? 1 : 0;
      }
    }
    return at_caches;
  };
  EXPECT_GT(cache_attempts_after(true), cache_attempts_after(false));
}

TEST(Limits, SlowFillContinuesWithSpareCapacity) {
  World world;
  world.handle(world.request(1));
  EXPECT_EQ(final_answer_count(world.advance(700ms)), 0U);
  EXPECT_EQ(final_answer_count(world.advance(1800ms)), 1U);
}

TEST(Limits, BusySourceStillAcceptsSmallFills) {
  // Guards against a large fill that displaces several small fills of a higher value on a full link.
  World world;
  Request large = world.request(1000);
  for (std::uint64_t i = 0; i < 40; ++i) {  // establishes the mean work and value
    world.serve(i, CacheStatus::filled);
    large = world.request(1000 + i);
    large.size_kb = 2000;
    for (const Attempt& attempt : actions_of<Attempt>(world.handle(large)))
      world.end_attempt(attempt, AttemptResult::served, 0, CacheStatus::filled);
  }
  const auto fills = [&world](double kb) {
    int sent = 0;
    for (std::uint64_t i = 0; i < 60; ++i) {
      Request request = world.request(5000 + i);
      request.size_kb = kb;
      for (const Attempt& attempt : actions_of<Attempt>(world.handle(request)))
        sent += attempt.source.starts_with("parent") || attempt.endpoint.starts_with("parent") ? 1 : 0;
    }
    return sent;
  };
  EXPECT_GT(fills(2000), 0);
  EXPECT_GT(fills(20), 0);  // the large fills leave capacity for small ones
}

// ---- Fill admission ----

/// Sends requests for different objects, one per 100 ms, and calls `end` for the first attempt of each.
/// Returns how many of the last 40 first attempts had a source for a fill.
template <typename End>
std::size_t fills_in_last_40_requests(World& world, int requests, End end) {
  std::size_t fills = 0;
  for (int i = 0; i < requests; ++i) {
    const auto sent = actions_of<Attempt>(world.handle(world.request(static_cast<std::uint64_t>(i))));
    if (!sent.empty()) {
      if (requests - i <= 40 && sent.front().source != sent.front().endpoint && !sent.front().cached_only)
        ++fills;
      end(sent.front(), i);
    }
    world.advance(100ms);
    world.end_cancelled_attempts();
  }
  return fills;
}

TEST(Fills, AreDeniedWhileFillsAreLateAndRecoverQuickly) {
  // Guards against an overload of the origin. With hundreds of routers each one rarely has a fill in flight,
  // so that concurrency limits have no effect, and after an invalidation or with a slow origin the routers
  // sent more fills than the origin could serve.
  World world;
  const auto late = [&world](const Attempt& attempt, int) {
    const bool fill = attempt.source != attempt.endpoint;
    if (fill) world.advance(510ms);
    world.end_attempt(attempt, fill ? AttemptResult::served : AttemptResult::cache_miss, 0,
                      fill ? CacheStatus::filled : CacheStatus::unknown, 510ms);
  };
  EXPECT_LE(fills_in_last_40_requests(world, 100, late), 20U);  // a few remain for parents and the origin
  const auto in_time = [&world](const Attempt& attempt, int) {
    const bool fill = attempt.source != attempt.endpoint;
    world.end_attempt(attempt, fill ? AttemptResult::served : AttemptResult::cache_miss, 0,
                      fill ? CacheStatus::filled : CacheStatus::unknown);
  };
  EXPECT_GE(fills_in_last_40_requests(world, 140, in_time), 38U);
}

TEST(Fills, DeniedFromParentsDoNotGoToTheOrigin) {
  // Guards against an overload of the origin after all copies become invalid: hundreds of routers sent the
  // fills that were denied from the parents to the origin. The origin serves the parents' misses as well, and
  // hardly any response was in time.
  World world;
  std::size_t from_origin = 0, denied_fills = 0;
  for (int i = 0; i < 120; ++i) {
    const auto sent = actions_of<Attempt>(world.handle(world.request(static_cast<std::uint64_t>(i))));
    for (const Attempt& attempt : sent) {
      from_origin += attempt.source == "origin" && attempt.endpoint != "origin" ? 1 : 0;
      denied_fills += attempt.cached_only || attempt.source == attempt.endpoint ? 1 : 0;
      const bool fill = !attempt.cached_only && attempt.source != attempt.endpoint;
      if (fill) world.advance(510ms);
      world.end_attempt(attempt, fill ? AttemptResult::served : AttemptResult::cache_miss, 0,
                        fill ? CacheStatus::filled : CacheStatus::unknown, 510ms);
    }
    world.advance(100ms);
    world.end_cancelled_attempts();
  }
  EXPECT_GE(denied_fills, 20U);
  EXPECT_EQ(from_origin, 0U);
}

TEST(Fills, AreDeniedWhileFillsAreLateWithoutParents) {
  Settings settings = default_settings();
  settings.parent_kind = -1;
  World world(settings, {make_endpoint("cache-a", 0, 2), make_endpoint("cache-b", 0, 2),
                         make_endpoint("origin", 2, 0)});
  const auto late = [&world](const Attempt& attempt, int) {
    const bool fill = attempt.source != attempt.endpoint;
    if (fill) world.advance(510ms);
    world.end_attempt(attempt, fill ? AttemptResult::served : AttemptResult::cache_miss, 0,
                      fill ? CacheStatus::filled : CacheStatus::unknown, 510ms);
  };
  EXPECT_LE(fills_in_last_40_requests(world, 100, late), 15U);
}

TEST(Fills, RecoverAlthoughSomeResponsesAreLost) {
  // Guards against denying fills long after a slow origin has recovered: responses that are lost for hits and
  // fills alike must not count as failed fills.
  Settings settings = default_settings();
  settings.hedging = false;
  World world(settings);
  const auto end = [&world](const Attempt& attempt, bool late) {
    if (attempt.source == attempt.endpoint || attempt.cached_only) {
      world.end_attempt(attempt, AttemptResult::cache_miss, 0,
                        attempt.cached_only ? CacheStatus::source_miss : CacheStatus::unknown);
    } else {
      if (late) world.advance(510ms);
      world.end_attempt(attempt, AttemptResult::served, 0, CacheStatus::filled_by_origin,
                        late ? 510ms : 50ms);
    }
  };
  fills_in_last_40_requests(world, 100, [&end](const Attempt& attempt, int) { end(attempt, true); });
  const auto some_lost = [&end](const Attempt& attempt, int i) {
    if (i % 10 >= 2) end(attempt, false);
  };
  EXPECT_GE(fills_in_last_40_requests(world, 300, some_lost), 30U);
}

TEST(Fills, DeniedForASlowOriginStillUseParentCaches) {
  // Guards against rejecting objects that a parent has cached while fills are denied for a slow origin.
  World world;
  std::size_t cached_only_attempts = 0;
  for (int i = 0; i < 120; ++i) {
    const auto sent = actions_of<Attempt>(world.handle(world.request(static_cast<std::uint64_t>(i))));
    if (sent.empty()) continue;
    const Attempt& attempt = sent.front();
    if (attempt.source == attempt.endpoint) {
      world.end_attempt(attempt, AttemptResult::cache_miss, 0, CacheStatus::unknown);
    } else if (attempt.cached_only) {
      EXPECT_TRUE(attempt.source.starts_with("parent"));
      cached_only_attempts += i >= 80 ? 1 : 0;
      const auto after =
          world.end_attempt(attempt, i % 2 == 0 ? AttemptResult::served : AttemptResult::cache_miss, 0,
                            i % 2 == 0 ? CacheStatus::filled : CacheStatus::source_miss);
      EXPECT_TRUE(actions_of<Attempt>(after).empty());
    } else {
      world.advance(510ms);
      world.end_attempt(attempt, AttemptResult::served, 0, CacheStatus::filled_by_origin, 510ms);
    }
    world.advance(100ms);
    world.end_cancelled_attempts();
  }
  EXPECT_GE(cached_only_attempts, 20U);
}

TEST(Fills, AreFewerWhenLoadReportsShowAFullLink) {
  // Guards against overloaded links after a large invalidation: the demand on the links of some locations was
  // ten times their capacity while other links were half empty.
  const auto fills_at = [](std::optional<double> utilization) {
    World world;
    const auto end = [&world, utilization](const Attempt& attempt, int) {
      const bool fill = attempt.source != attempt.endpoint;
      Outcome outcome;
      outcome.request = attempt.request;
      outcome.endpoint = attempt.endpoint;
      outcome.result = fill ? AttemptResult::served : AttemptResult::cache_miss;
      outcome.cache_status = fill ? CacheStatus::filled : CacheStatus::unknown;
      outcome.duration = 50ms;
      outcome.request_finished = fill;
      if (utilization) outcome.report = LoadReport{{}, {}, {}, {}, utilization};
      world.handle(outcome);
    };
    return fills_in_last_40_requests(world, 100, end);
  };
  EXPECT_EQ(fills_at(std::nullopt), 40U);
  EXPECT_EQ(fills_at(1.0), 40U);
  EXPECT_LE(fills_at(10.0), 20U);
  EXPECT_GE(fills_at(10.0), 2U);
}

TEST(Fills, AttemptAtAParentNamesTheOriginAsSource) {
  // Guards against misses while all caches of a location are warming up or ejected: a parent that receives
  // the attempt itself serves only from its cache unless the attempt names another source.
  World world(default_settings(), {make_endpoint("parent-a", 1, 0), make_endpoint("origin", 2, 0)});
  const Attempt attempt = world.serve(1);
  EXPECT_EQ(attempt.endpoint, "parent-a");
  EXPECT_EQ(attempt.source, "origin");
}

TEST(Health, SlowCacheReceivesFewObjectsAndRecovers) {
  // Guards against a slow cache that keeps all its objects: with one request in flight at a time no
  // concurrency limit moves any object away.
  World world;
  const auto at_slow = [&world](Time took) {
    int count = 0;
    for (std::uint64_t object = 0; object < 150; ++object) {
      const auto sent = actions_of<Attempt>(world.handle(world.request(object)));
      if (sent.empty()) continue;
      const bool slow = sent.front().endpoint == "cache-a";
      count += slow ? 1 : 0;
      world.end_attempt(sent.front(), AttemptResult::served, 0, CacheStatus::hit, slow ? took : 50ms);
    }
    return count;
  };
  EXPECT_GE(at_slow(450ms), 10);
  EXPECT_LE(at_slow(450ms), 10);
  world.advance(60s);
  EXPECT_GE(at_slow(50ms), 35);
}

TEST(Retries, HedgedRequestUsesAnotherEndpointAndSource) {
  World world;
  const auto first = actions_of<Attempt>(world.handle(world.request(1)));
  const auto second = actions_of<Attempt>(world.advance(350ms));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(second.front().endpoint, first.front().endpoint);
  EXPECT_NE(second.front().source, first.front().source);
}

TEST(Retries, AreLimitedByTheBudget) {
  World world;
  std::size_t sent = 0;
  for (int i = 0; i < 200; ++i) {
    auto attempts = actions_of<Attempt>(world.handle(world.request(static_cast<std::uint64_t>(i))));
    for (int n = 0; n < 8 && !attempts.empty(); ++n) {
      ++sent;
      attempts = actions_of<Attempt>(
          world.end_attempt(attempts.front(), AttemptResult::shed, n, CacheStatus::unknown));
    }
  }
  EXPECT_LE(sent, 200U + 10U + 2U);
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
