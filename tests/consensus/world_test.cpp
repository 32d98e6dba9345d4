// SPDX-License-Identifier: MIT
// Many proxies' agreement in virtual time, on the real log and disks that fail.
#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <map>

#include "support/consensus_world.h"

namespace edge_proxy::test {
namespace {

/// Once the log has begun and all hold leases on the epoch before any policy.
std::unique_ptr<AgreedWorld> settled(std::size_t count, std::size_t voters, std::uint64_t seed = 1,
                                     const std::function<void(consensus::Settings&)>& edit = {}) {
  auto world = std::make_unique<AgreedWorld>(count, voters, seed, edit);
  EXPECT_TRUE(world->until([&] { return world->all_decide(0); }, 30s)) << world->story;
  world->run(6s);  // past what leaders before might have granted
  return world;
}
int status_of(const AgreedWorld& world, std::uint64_t call) {
  for (const auto& answer : world.answers) {
    if (answer.call == call) return answer.status;
  }
  return 0;
}

TEST(Agreed, AChangeTakesHoldOnAllAndIsAnsweredOnceItHas) {
  const auto world = settled(7, 3);
  world->put(5, 1, "k", 0, "p");
  const auto took = world->until([&] { return world->all_decide(1); }, 5s, 5ms);
  ASSERT_TRUE(took) << world->story;
  EXPECT_LT(*took, 1500ms);
  world->run(1s);
  EXPECT_EQ(status_of(*world, 1), 200);
  EXPECT_EQ(world->violation, "");
  for (std::size_t i = 0; i < 7; ++i) EXPECT_EQ(world->node(i).state->policy_state().policy(), "p");
  world->put(2, 2, "l", 0, "q");
  world->run(2s);
  EXPECT_EQ(status_of(*world, 2), 409) << "it builds on epoch 0";
  world->put(2, 3, "k", 0, "p");
  world->run(100ms);
  EXPECT_EQ(status_of(*world, 3), 200) << "the same key is the same change";
}

TEST(Agreed, OneThatCannotRunItEndsItForAll) {
  const auto world = settled(5, 3);
  world->put(0, 1, "k", 0, "unfit for n4");
  world->run(3s);
  EXPECT_EQ(status_of(*world, 1), 409);
  EXPECT_NE(world->answers.back().body.find("n4: key 'caches'"), std::string::npos)
      << world->answers.back().body;
  EXPECT_TRUE(world->all_decide(0));
}

TEST(Agreed, WhoIsDownThroughoutCostsTheOthersItsLeaseAndLearnsBeforeItDecides) {
  const auto world = settled(5, 3);
  world->kill(4);
  world->run(500ms);
  world->put(0, 1, "k", 0, "p");
  AgreedWorld::Time without{0};  // that 1 decides nothing
  const auto took = world->until(
      [&] {
        if (!world->node(1).state->decision_epoch(world->local(1))) without += 10ms;
        return world->all_decide(1);
      },
      20s, 10ms);
  ASSERT_TRUE(took) << world->story;
  EXPECT_GT(*took, 4s) << "the lease of the one that fell silent";
  EXPECT_LT(*took, 7s);
  EXPECT_LT(without, 600ms) << "the others go on meanwhile";
  world->start(4);
  const auto back = world->until([&] { return world->all_decide(1); }, 10s, 10ms);
  EXPECT_TRUE(back) << world->story;
  EXPECT_EQ(world->violation, "");
}

TEST(Agreed, OneThatStoodStillThroughAChangeDecidesNothingAtFirst) {
  const auto world = settled(5, 3);
  world->stop(4);
  world->put(0, 1, "k", 0, "p");
  ASSERT_TRUE(world->until([&] { return world->all_decide(1); }, 30s)) << world->story;
  EXPECT_FALSE(world->node(4).state->decision_epoch(world->local(4)));
  world->resume(4);
  EXPECT_TRUE(world->until([&] { return world->all_decide(1); }, 10s)) << world->story;
  EXPECT_EQ(world->violation, "");
}

TEST(Agreed, AMinorityIsCutOffStopsAndComesBackToTheNewEpoch) {
  const auto world = settled(7, 3);
  world->cut = [](std::size_t a, std::size_t b) { return (a == 0 || a > 4) != (b == 0 || b > 4); };
  world->run(3s);
  world->put(1, 1, "k", 0, "p");
  world->put(6, 2, "l", 0, "q");
  ASSERT_TRUE(world->until([&] { return status_of(*world, 1) == 200; }, 30s)) << world->story;
  EXPECT_FALSE(world->node(6).state->decision_epoch(world->local(6)));
  ASSERT_TRUE(world->until([&] { return status_of(*world, 2) != 0; }, 10s));
  EXPECT_EQ(status_of(*world, 2), 503) << "neither yes nor no";
  world->cut = nullptr;
  EXPECT_TRUE(world->until([&] { return world->all_decide(1); }, 20s)) << world->story;
  EXPECT_EQ(world->violation, "");
}

TEST(Agreed, TheLeaderIsKilledAtAnyMomentOfAChange) {
  for (int at = 0; at < 20; ++at) {
    const auto world = settled(5, 3, 7);
    const auto leader = world->leader();
    ASSERT_TRUE(leader);
    world->put((*leader + 1) % 5, 1, "k", 0, "p");
    world->run(at * 30ms);
    world->kill(*leader, true);
    world->run(4s);
    world->start(*leader);
    const bool over = world
                          ->until(
                              [&] {
                                const auto& r = world->node((*leader + 1) % 5).state->policy_state();
                                return r.outcome("k") != nullptr && world->all_decide(r.epoch());
                              },
                              40s)
                          .has_value();
    EXPECT_TRUE(over) << at << "\n" << world->story;
    EXPECT_EQ(world->violation, "") << at << "\n" << world->story;
  }
}

TEST(Agreed, AllAreKilledAtOnceDuringAChange) {
  for (int at = 0; at < 15; ++at) {
    const auto world = settled(5, 3, 9);
    world->put(3, 1, "k", 0, "p");
    world->run(at * 40ms);
    for (std::size_t i = 0; i < 5; ++i) world->kill(i, true);
    for (std::size_t i = 0; i < 5; ++i) world->start(i);
    const auto ended = [&] {
      const auto& r = world->node(0).state->policy_state();
      return !r.change() && world->all_decide(r.epoch());
    };
    EXPECT_TRUE(world->until(ended, 60s)) << at << "\n" << world->story;
    EXPECT_EQ(world->violation, "") << at << "\n" << world->story;
    if (status_of(*world, 1) == 200) {
      EXPECT_EQ(world->node(0).state->policy_state().epoch(), 1U) << "an answered yes";
    }
  }
}

TEST(Agreed, AVoterThatLostItsDiskTakesNoPartUntilItIsReplaced) {
  const auto world = settled(4, 3);
  const auto leader = world->leader();
  ASSERT_TRUE(leader);
  const std::size_t lost = (*leader + 1) % 3;
  const std::uint64_t before = world->node(lost).log->id();
  world->kill(lost, true);
  world->empty_disk(lost);
  world->start(lost);
  world->run(5s);
  EXPECT_NE(world->node(lost).log->id(), before);
  EXPECT_FALSE(world->node(lost).log->is_running()) << "its votes are gone with its disk";
  EXPECT_FALSE(world->node(lost).log->can_confirm_leadership(1000));
  EXPECT_TRUE(world->all_decide(0)) << "it learns and decides like any other";
  consensus::RaftLog::Output out;
  EXPECT_TRUE(world->node(*leader).log->add_voter(AgreedWorld::name(lost), world->node(lost).log->id(), out));
  const auto in = [&] {
    return world->node(lost).log->is_running() && world->node(lost).log->can_confirm_leadership(1000) &&
           world->node(*leader).log->voters().at(AgreedWorld::name(lost)) == world->node(lost).log->id();
  };
  EXPECT_TRUE(world->until(in, 30s)) << world->story;
  world->kill((*leader + 2) % 3);  // its vote counts now
  world->put(3, 1, "k", 0, "p");
  EXPECT_TRUE(world->until([&] { return status_of(*world, 1) == 200; }, 30s)) << world->story;
  EXPECT_EQ(world->violation, "");
}

TEST(Agreed, AFullDiskAtAVoterEndsItsPartAndNothingElse) {
  const auto world = settled(5, 3);
  const auto leader = world->leader();
  ASSERT_TRUE(leader);
  const std::size_t full = (*leader + 1) % 3;
  world->node(full).folder->room = 0;
  world->put(4, 1, "k", 0, "p");
  EXPECT_TRUE(world->until([&] { return status_of(*world, 1) != 0; }, 40s)) << world->story;
  EXPECT_NE(world->node(full).lines.find("policy storage failed"), std::string::npos);
  EXPECT_EQ(world->violation, "");
}

TEST(Agreed, OneFarBehindTakesTheWhole) {
  const auto world = settled(4, 3, 5);
  world->kill(3);
  for (std::uint64_t n = 0; n < 90; ++n) {
    world->put(0, 100 + n, "k" + std::to_string(n), n, "p" + std::to_string(n));
    ASSERT_TRUE(world->until([&] { return world->node(0).state->policy_state().epoch() == n + 1; }, 20s))
        << n << world->story;
  }
  EXPECT_LT(world->node(0).log->entry_count(), 200U) << "compacted by snapshots";
  world->start(3);
  EXPECT_TRUE(world->until([&] { return world->all_decide(90); }, 20s));
  EXPECT_EQ(world->violation, "");
}

/// What operators were told has to be what the log came to, and nobody may decide under two epochs at once.
void play(std::uint64_t seed, std::size_t count, std::size_t voters) {
  std::mt19937_64 random(seed);
  const auto world = settled(count, voters, seed);
  world->loss = 0.03 * static_cast<double>(random() % 4);
  std::string plan = "seed " + std::to_string(seed) + "\n";
  std::map<std::uint64_t, std::string> keys;
  std::uint64_t call = 0;
  std::size_t disks_lost = 0;
  for (int turn = 0; turn < 14; ++turn) {
    const std::size_t whom = random() % count;
    switch (random() % 10) {
      case 0:
      case 1:
      case 2: {
        if (!world->runs(whom)) break;
        const consensus::Epoch base = world->node(whom).state->policy_state().epoch();
        ++call;
        keys[call] = "k" + std::to_string(call);
        world->put(whom, call, keys[call], base,
                   random() % 6 == 0 ? "unfit for n1" : "p" + std::to_string(call));
        plan += "put at " + std::to_string(whom) + "\n";
        break;
      }
      case 3: {
        const std::size_t first = 1 + random() % (count - 1);
        const bool one_way = random() % 4 == 0;
        world->cut = [first, one_way](std::size_t a, std::size_t b) {
          return one_way ? a < first && b >= first : (a < first) != (b < first);
        };
        plan += "cut " + std::to_string(first) + "\n";
        break;
      }
      case 4:
        world->cut = nullptr;
        plan += "heal\n";
        break;
      case 5:
      case 6:
        if (world->node(whom).state) world->kill(whom, random() % 2 == 0);
        plan += "kill " + std::to_string(whom) + "\n";
        // A disk goes with it: of one voter at most, since the others have to make up a majority.
        if (random() % 4 == 0 && (whom >= voters || disks_lost++ == 0)) {
          world->empty_disk(whom);
          plan += "and its disk\n";
        }
        break;
      case 7:
        if (!world->node(whom).state) world->start(whom);
        plan += "start " + std::to_string(whom) + "\n";
        break;
      case 8:
        if (world->runs(whom)) world->stop(whom);
        plan += "stop " + std::to_string(whom) + "\n";
        break;
      default:
        for (std::size_t i = 0; i < count; ++i) {
          if (world->node(i).state && world->node(i).stopped) world->resume(i);
        }
        plan += "resume\n";
    }
    world->run(std::chrono::milliseconds(20 + random() % 4000));
    ASSERT_EQ(world->violation, "") << plan << world->story;
  }
  world->cut = nullptr;
  world->loss = 0;
  for (std::size_t i = 0; i < count; ++i) {
    if (!world->node(i).state) world->start(i);
    if (world->node(i).stopped) world->resume(i);
  }
  const auto ended = [&] {
    const auto& r = world->node(0).state->policy_state();
    for (std::size_t i = 0; i < count; ++i) {
      if (world->node(i).state->policy_state().index() != r.index()) return false;
    }
    return !r.change() && world->all_decide(r.epoch());
  };
  const bool over = world->until(ended, 90s).has_value();
  for (std::size_t i = 0; !over && i < count; ++i)
    plan += world->node(i).state->debug_state({}) + " term " + std::to_string(world->node(i).log->term()) +
            " entries " + std::to_string(world->node(i).log->entry_count()) + " runs " +
            std::to_string(world->node(i).log->is_running()) + " " + world->node(i).log->error() + "\n";
  ASSERT_TRUE(over) << plan << world->story;
  ASSERT_EQ(world->violation, "") << plan << world->story;
  for (const auto& answer : world->answers) {
    const auto* outcome = world->node(answer.node).state->policy_state().outcome(keys[answer.call]);
    if (answer.status == 200) {
      ASSERT_TRUE(outcome != nullptr && outcome->result == consensus::ChangeResult::active)
          << plan << world->story;
    } else if (answer.status == 409) {
      ASSERT_TRUE(outcome != nullptr && outcome->result != consensus::ChangeResult::active)
          << plan << world->story;
    }
  }
}

/// Found by drawn schedules: libraft answers a message without entries with the end of its own log, so that a
/// new leader took its own entry for replicated where one of a deposed leader stood, and never sent it.
TEST(Agreed, AnAnswerToAHeartbeatClaimsNoMoreThanWasCompared) { play(679, 5, 3); }
/// And its no to a pre-vote hides its own term: nobody ever led again.
TEST(Agreed, ANoToAPreVoteTellsTheTermOfWhoSaysIt) { play(7459, 5, 3); }

/// EDGE_PROXY_SEEDS="FIRST COUNT" plays others; a seed is played again exactly.
TEST(Agreed, WhateverTheFaultsTheEpochIsOneAndAnswersHold) {
  std::uint64_t first = 1, many = 25;
  if (const char* seeds = std::getenv("EDGE_PROXY_SEEDS")) {
    first = std::strtoull(seeds, nullptr, 10);
    const char* rest = std::strchr(seeds, ' ');
    many = rest == nullptr ? 1 : std::strtoull(rest, nullptr, 10);
  }
  for (std::uint64_t seed = first; seed < first + many; ++seed) {
    const std::size_t voters = seed % 5 == 0 ? 5 : 3;
    play(seed, voters + 1 + seed % 3, voters);
    if (HasFatalFailure()) return;
  }
}

}  // namespace
}  // namespace edge_proxy::test
