// SPDX-License-Identifier: MIT
// Quota leases in virtual time over the members' reducers, with partitions, kills, empty disks, graceful
// shutdowns, right and wrong forget requests of operators, and clocks that drift apart.
#include <gtest/gtest.h>

#include <algorithm>

#include "support/membership_world.h"

namespace edge_proxy::test {
namespace {

using admission::QuotaLeases;
using Time = QuotaLeases::Time;
using membership::MemberStatus;

constexpr auto kLease = 6s;

std::unique_ptr<MembershipWorld> settled_world(std::size_t count, std::uint64_t seed = 1) {
  auto world = MembershipWorld::settled(count, seed, [count](membership::Settings& settings) {
    settings.quota_lease = kLease;
    settings.expected_members = count;
    settings.max_members = 64;
  });
  world->drift = 0.004;
  return world;
}

/// The sum of the parts that all processes that run may use now.
double total_share(MembershipWorld& world) {
  double sum = 0;
  for (std::size_t i = 0; i < world.size(); ++i) {
    if (world.node(i).state && !world.node(i).stopped)
      sum += world.node(i).state->quota().share(world.local(i)).of_cluster;
  }
  return sum;
}

bool all_hold_lease(MembershipWorld& world, double part) {
  for (std::size_t i = 0; i < world.size(); ++i) {
    if (!world.node(i).state) continue;
    const QuotaLeases::QuotaShare held = world.node(i).state->quota().share(world.local(i));
    if (!held.has_lease || std::abs(held.of_cluster - part) > 1e-9) return false;
  }
  return true;
}

TEST(QuotaLeases, EachOfFiveHoldsAFifthAndKeepsItWhileOneIsMissing) {
  const auto world = settled_world(5);
  EXPECT_TRUE(world->until([&] { return all_hold_lease(*world, 0.9 / 5); }, 20s));
  world->kill(4);
  world->run(60s);
  EXPECT_TRUE(all_hold_lease(*world, 0.9 / 5)) << "it may still send on the other side of a cut";
}

TEST(QuotaLeases, OneThatLeftInOrderHandsItsShareOnAtOnce) {
  const auto world = settled_world(5);
  ASSERT_TRUE(world->until([&] { return all_hold_lease(*world, 0.9 / 5); }, 20s));
  world->feed(4, membership::ShutdownRequested{});
  EXPECT_LT(world->node(4).state->quota().share(world->local(4)).of_cluster, 0.01)
      << "before anybody hears of it";
  world->kill(4);
  EXPECT_TRUE(world->until([&] { return all_hold_lease(*world, 0.9 / 4); }, 2s));
}

TEST(QuotaLeases, AForgottenOneIsHandedOnOnlyAfterItsLease) {
  const auto world = settled_world(5);
  ASSERT_TRUE(world->until([&] { return all_hold_lease(*world, 0.9 / 5); }, 20s));
  world->kill(4);
  ASSERT_TRUE(world->until([&] { return world->believes(0, 4, MemberStatus::dead); }, 10s));
  world->feed(0, membership::ForgetMember{"n4"});
  world->run(kLease - 100ms);
  EXPECT_TRUE(all_hold_lease(*world, 0.9 / 5)) << "not before";
  EXPECT_TRUE(world->until([&] { return all_hold_lease(*world, 0.9 / 4); }, 10s));
}

TEST(QuotaLeases, TheSmallerSideOfACutStopsWhenItsLeaseRunsOut) {
  const auto world = settled_world(5);
  ASSERT_TRUE(world->until([&] { return all_hold_lease(*world, 0.9 / 5); }, 20s));
  world->cut = [](std::size_t a, std::size_t b) { return (a < 2) != (b < 2); };
  world->run(kLease);
  EXPECT_FALSE(world->node(0).state->quota().share(world->local(0)).has_lease);
  EXPECT_TRUE(world->node(4).state->quota().share(world->local(4)).has_lease);
  world->cut = nullptr;
  EXPECT_TRUE(world->until([&] { return all_hold_lease(*world, 0.9 / 5); }, 30s));
}

TEST(QuotaLeases, ASmallerSideThatForgetsTheLargerGainsNothing) {
  const auto world = settled_world(5);
  ASSERT_TRUE(world->until([&] { return all_hold_lease(*world, 0.9 / 5); }, 20s));
  world->cut = [](std::size_t a, std::size_t b) { return (a < 2) != (b < 2); };
  ASSERT_TRUE(world->until(
      [&] {
        return world->believes(0, 4, MemberStatus::dead) && world->believes(0, 3, MemberStatus::dead) &&
               world->believes(0, 2, MemberStatus::dead);
      },
      20s));
  for (const char* name : {"n2", "n3", "n4"}) world->feed(0, membership::ForgetMember{name});
  for (int i = 0; i < 200; ++i) {
    world->run(200ms);
    ASSERT_LE(total_share(*world), 1.0) << world->now().count();
  }
}

TEST(QuotaLeases, AForgottenOneIsBoundByThatWhateverItRefutedMeanwhile) {
  // Found by a drawn play: it had refuted a suspicion that its forgetters never heard, came back to one of
  // them as if it had never been forgotten, and kept its share, which the other had handed on by then.
  const auto world = settled_world(3);
  ASSERT_TRUE(world->until([&] { return all_hold_lease(*world, 0.9 / 3); }, 20s));
  world->cut = [](std::size_t a, std::size_t b) { return a == 0 && b != 0; };  // it hears, and is not heard
  ASSERT_TRUE(world->until([&] { return world->believes(2, 0, MemberStatus::dead); }, 20s));
  EXPECT_GT(world->node(0).state->counters().refutations, 0U);
  world->feed(2, membership::ForgetMember{"n0"});
  ASSERT_TRUE(world->until([&] { return world->believes(1, 0, MemberStatus::forgotten); }, 5s));
  world->run(1s);
  world->cut = [](std::size_t a, std::size_t b) { return (a == 2) != (b == 2); };  // 0 and 1 meet again
  for (int i = 0; i < 200; ++i) {
    world->run(100ms);
    ASSERT_LE(total_share(*world), 1.0 + 1e-9) << i;
  }
  EXPECT_NE(world->node(0).log.find("peers forgotten"), std::string::npos);
}

TEST(QuotaLeases, NewDisksWaitForTheLeaseOfOneThatTheyNeverMet) {
  const auto world = settled_world(3);
  ASSERT_TRUE(world->until([&] { return all_hold_lease(*world, 0.9 / 3); }, 20s));
  world->cut = [](std::size_t a, std::size_t b) { return (a == 0) != (b == 0); };
  for (const std::size_t i : {1U, 2U}) world->kill(i);
  for (const std::size_t i : {1U, 2U}) world->start(i, true);
  for (int i = 0; i < 200; ++i) {
    world->run(100ms);
    ASSERT_LE(total_share(*world), 1.0 + 1e-9) << i;
  }
  EXPECT_TRUE(world->node(1).state->quota().share(world->local(1)).has_lease)
      << "the lease has run out since";
}

TEST(QuotaLeases, ANameWhoseDiskIsNewAgainAndAgainLeavesOneUnfencedHolder) {
  QuotaLeases leases({"n0", kLease, 0.01, 0.1, 3, 64}, Time{0}, {});
  for (std::uint64_t disk = 1; disk <= 500; ++disk) {
    // n2 is missing: it never hears of any of them.
    leases.update_members(Time{1s}, {{"n0", {1, 0}}, {"n1", {disk, 0}}, {"n2", {1, 0}}}, {}, true);
    leases.on_ack(Time{1s}, QuotaLeases::QuotaAck{"n1", Time{1s}, leases.announced_version(), 1,
                                                  leases.member_names_hash(), true});
  }
  EXPECT_EQ(leases.unfenced_count(), 1U);
  ASSERT_EQ(leases.unfenced_holders().size(), 1U);
  EXPECT_EQ(leases.unfenced_holders().front().identity.disk, 499U);
  EXPECT_EQ(leases.counted_disk_of("n1"), 0U) << "not before the others' leases are over";
  EXPECT_FALSE(leases.confirmed());
}

TEST(QuotaLeases, AnOldDiskBehindACutIsCountedByThoseWhoRestartMeanwhile) {
  // A name's machine is replaced while the old one runs behind a cut. The new one, which nobody meets for
  // nearly a lease, is sure a lease after its start; the old one's lease, renewed until they met, ends that
  // much later. Those that knew so restart in between: guards what they have to remember.
  const auto world = settled_world(5);
  world->drift = 0;
  ASSERT_TRUE(world->until([&] { return all_hold_lease(*world, 0.9 / 5); }, 20s));
  world->feed(4, membership::ShutdownRequested{});
  world->run(50ms);
  world->kill(4);
  ASSERT_TRUE(world->until([&] { return all_hold_lease(*world, 0.9 / 4); }, 10s));
  // Node 4 is the new machine under the name n3, alone at first.
  world->cut = [](std::size_t a, std::size_t b) { return a == 4 || b == 4; };
  membership::Settings settings = world->node(3).state->settings();
  settings.address = MembershipWorld::address(4);
  world->node(4).state = std::make_unique<membership::State>(
      settings, membership::Identity{99, std::uint64_t{9} << membership::kRefutationBits, true, {}}, 7,
      world->local(4));
  world->feed(4, membership::TimerExpired{});
  world->run(kLease - 1s);
  world->cut = [](std::size_t a, std::size_t b) { return a == 3 || b == 3; };
  ASSERT_TRUE(world->until(
      [&] {
        return world->seen(0, 3)->update.disk_id == 99 && world->seen(1, 3)->update.disk_id == 99 &&
               world->seen(2, 3)->update.disk_id == 99;
      },
      3s))
      << world->node(0).log;
  for (const std::size_t i : {0U, 1U, 2U}) {
    world->kill(i);
    world->start(i, false);
  }
  for (int i = 0; i < 200; ++i) {
    world->run(100ms);
    ASSERT_LE(total_share(*world), 1.0 + 1e-9) << i;
  }
  EXPECT_TRUE(
      world->until([&] { return world->node(4).state->quota().share(world->local(4)).has_lease; }, 30s))
      << "the old one's lease has run out: the new one is counted";
}

TEST(QuotaLeases, AsManyThatComeBackAreNotSureBeforeAllCountThem) {
  const auto world = settled_world(8);
  ASSERT_TRUE(world->until([&] { return all_hold_lease(*world, 0.9 / 8); }, 20s));
  for (std::size_t i = 4; i < 8; ++i) {
    world->feed(i, membership::ShutdownRequested{});
    world->run(50ms);
    world->kill(i);
  }
  ASSERT_TRUE(world->until([&] { return all_hold_lease(*world, 0.9 / 4); }, 20s));
  // Three go on with a quarter each and hear nothing of those that come back beside the fourth.
  world->cut = [](std::size_t a, std::size_t b) { return (a >= 1 && a <= 3) != (b >= 1 && b <= 3); };
  for (std::size_t i = 4; i < 8; ++i) world->start(i, false);
  for (int i = 0; i < 200; ++i) {
    world->run(100ms);
    ASSERT_LE(total_share(*world), 1.0 + 1e-9) << i;
  }
  world->cut = nullptr;
  EXPECT_TRUE(world->until([&] { return all_hold_lease(*world, 0.9 / 8); }, 30s));
}

TEST(QuotaLeases, WhateverTheCutTheSumNeverExceedsTheWhole) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    std::mt19937_64 random(seed);
    const std::size_t count = 3 + random() % 5;
    const auto world = settled_world(count, seed);
    world->loss = 0.05 * static_cast<double>(random() % 3);
    std::string story = "seed " + std::to_string(seed) + "\n";
    ASSERT_TRUE(world->until([&] { return all_hold_lease(*world, 0.9 / static_cast<double>(count)); }, 30s))
        << story;
    for (int turn = 0; turn < 40; ++turn) {
      const std::size_t whom = random() % count, by = random() % count;
      auto& node = world->node(whom);
      switch (random() % 9) {
        case 0:
        case 1: {
          const std::size_t first = 1 + random() % (count - 1);
          const bool one_way = random() % 3 == 0;
          world->cut = [first, one_way](std::size_t a, std::size_t b) {
            return one_way ? a < first && b >= first : (a < first) != (b < first);
          };
          story += "cut " + std::to_string(first) + (one_way ? " one way\n" : "\n");
          break;
        }
        case 2:
          world->cut = nullptr;
          story += "heal\n";
          break;
        case 3:
          if (node.state) world->kill(whom);
          story += "kill " + std::to_string(whom) + "\n";
          break;
        case 4:
          if (!node.state) world->start(whom, random() % 3 == 0);
          story += "start " + std::to_string(whom) + "\n";
          break;
        case 5:
          if (node.state && !node.stopped && random() % 2 == 0) {
            world->feed(whom, membership::ShutdownRequested{});
            world->run(50ms);
            world->kill(whom);
            story += "leave " + std::to_string(whom) + "\n";
          }
          break;
        case 6:
          if (world->node(by).state && !world->node(by).stopped)
            world->feed(by, membership::ForgetMember{MembershipWorld::name(whom)});
          story += std::to_string(by) + " forgets " + std::to_string(whom) + "\n";
          break;
        case 7:
          if (node.state && !node.stopped) world->stop(whom);
          story += "stop " + std::to_string(whom) + "\n";
          break;
        default:
          for (std::size_t i = 0; i < count; ++i) {
            if (world->node(i).state && world->node(i).stopped) world->resume(i);
          }
          story += "resume\n";
      }
      const auto span = std::chrono::milliseconds(200 + random() % 9000);
      for (auto passed = 0ms; passed < span; passed += 100ms) {
        world->run(100ms);
        ASSERT_LE(total_share(*world), 1.0 + 1e-9) << story;
      }
    }
  }
}

}  // namespace
}  // namespace edge_proxy::test
