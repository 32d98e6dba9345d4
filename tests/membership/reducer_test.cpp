// SPDX-License-Identifier: MIT
// Membership in virtual time: the reducers of many members on a simulated network.
#include <gtest/gtest.h>

#include "support/membership_world.h"

namespace edge_proxy::test {
namespace {

using membership::MemberStatus;
using membership::PartitionStatus;
using membership::Reachability;

std::string logs_of(MembershipWorld& world) {
  std::string all;
  for (std::size_t i = 0; i < std::min<std::size_t>(world.size(), 8); ++i)
    all += "-- " + MembershipWorld::name(i) + "\n" + world.node(i).log;
  return all;
}

TEST(Membership, FiveThatKnowOneSeedFindEachOther) {
  MembershipWorld world(5);
  EXPECT_TRUE(world.until([&] { return world.agreed() && world.node(4).state->view().reachable() == 5; }, 5s))
      << logs_of(world);
  EXPECT_EQ(world.node(3).state->view().partition_status(), PartitionStatus::majority);
}

TEST(Membership, AKilledOneIsKnownToAllAndStaysRegistered) {
  const auto world = MembershipWorld::settled(5);
  world->run(2s);
  world->kill(2);
  EXPECT_TRUE(world->until([&] { return world->all_believe(2, MemberStatus::dead); }, 5s)) << logs_of(*world);
  EXPECT_EQ(world->node(0).state->view().registered(), 5U);
  EXPECT_EQ(world->node(0).state->view().reachable(), 4U);
  world->start(2, false);
  EXPECT_TRUE(world->until([&] { return world->all_believe(2, MemberStatus::alive); }, 5s))
      << logs_of(*world);
  EXPECT_EQ(world->seen(0, 2)->update.disk_id, 3U) << "the same disk: the same member";
}

TEST(Membership, ARefutationThatMissesOneMemberIsAskedFor) {
  // Found at 300 members and 10% loss: each wrong declaration came from one member that had heard of the
  // suspicion and that the refutation had missed, while the 299 others held the suspect for alive.
  const auto world = MembershipWorld::settled(100);
  world->run(2s);
  membership::MemberUpdate suspicion = world->node(1).state->self();
  suspicion.status = MemberStatus::suspect;
  suspicion.reported_by = MembershipWorld::name(2);
  membership::Message told;
  told.kind = membership::MessageKind::gossip;
  told.from = world->node(2).state->self();
  told.digest = world->node(2).state->view().digest();
  told.updates = {suspicion};
  world->feed(0, membership::MessageReceived{told, 0});
  // From now on node 0 hears of node 1 only what node 1 answers it.
  world->filter = [&](std::size_t from, std::size_t to, membership::Message& message) {
    if (to != 0) return true;
    std::erase_if(message.updates,
                  [](const membership::MemberUpdate& news) { return news.name == MembershipWorld::name(1); });
    return from != 1 || message.kind == membership::MessageKind::ack;
  };
  world->run(3s);
  EXPECT_TRUE(world->believes(0, 1, MemberStatus::alive)) << logs_of(*world);
  world->run(7s);
  EXPECT_EQ(world->deaths_declared(), 0U) << logs_of(*world);
}

TEST(Membership, ASuspectThatIsAskedOnceMoreAndIsDeadCountsAsDeadInTime) {
  // Asking once more delays nothing, and costs each member a bounded number of messages.
  const auto world = MembershipWorld::settled(60);
  world->run(2s);
  world->kill(7);
  const auto took = world->until([&] { return world->all_believe(7, MemberStatus::dead); }, 5s, 10ms);
  ASSERT_TRUE(took) << logs_of(*world);
  EXPECT_LE(*took, 3s);
  EXPECT_LE(world->undeliverable, 59U * 20U) << "messages to the dead one";
}

TEST(Membership, OneThatComesBackWithAnEmptyDiskIsAnotherMember) {
  const auto world = MembershipWorld::settled(4);
  world->run(2s);
  world->kill(1);
  world->run(1s);  // before its death is known: only the others can tell it what it is to be above
  world->start(1, true);
  const std::uint64_t disk = world->node(1).disk;
  EXPECT_TRUE(world->until(
      [&] {
        return world->believes(0, 1, MemberStatus::alive) && world->seen(0, 1)->update.disk_id == disk &&
               world->agreed();
      },
      6s))
      << logs_of(*world);
  EXPECT_NE(world->node(0).log.find("peer replaced name=n1"), std::string::npos) << logs_of(*world);
}

TEST(Membership, ASecondProcessOfOneNameIsToldAndSoIsTheFirst) {
  auto world = MembershipWorld::settled(5);
  world->run(10s);
  // Node 4 starts again as another process under the name n1, on a disk of its own.
  world->kill(4);
  world->run(4s);
  membership::Settings settings = world->node(1).state->settings();
  settings.address = MembershipWorld::address(4);
  world->node(4).state = std::make_unique<membership::State>(
      settings, membership::Identity{99, 1U << 20U, true, {}}, 7, world->now());
  world->feed(4, membership::TimerExpired{});
  const auto disputed = [&](std::size_t i) {
    return world->node(i).state->view().partition_status() == PartitionStatus::disputed;
  };
  EXPECT_TRUE(world->until(
      [&] { return disputed(1) && disputed(4) && world->believes(0, 1, MemberStatus::disputed); }, 20s))
      << logs_of(*world);
  // Once one is stopped and the other started again, it is a member as before.
  world->kill(4);
  world->kill(1);
  world->start(1, false);
  EXPECT_TRUE(world->until(
      [&] {
        return world->all_believe(1, MemberStatus::alive) || !world->believes(0, 1, MemberStatus::disputed);
      },
      10s))
      << logs_of(*world);
}

TEST(Membership, ACutIsSeenOnBothSidesAndHealsByItself) {
  const auto world = MembershipWorld::settled(5);
  world->run(2s);
  world->cut = [](std::size_t a, std::size_t b) { return (a < 2) != (b < 2); };
  EXPECT_TRUE(world->until(
      [&] {
        return world->node(0).state->view().partition_status() == PartitionStatus::minority &&
               world->node(4).state->view().partition_status() == PartitionStatus::majority;
      },
      6s))
      << logs_of(*world);
  EXPECT_EQ(world->node(0).state->view().registered(), 5U);
  world->cut = nullptr;
  EXPECT_TRUE(
      world->until([&] { return world->agreed() && world->node(0).state->view().reachable() == 5; }, 8s))
      << logs_of(*world);
}

TEST(Membership, AnEvenSplitIsWholeNowhere) {
  const auto world = MembershipWorld::settled(4);
  world->run(2s);
  world->cut = [](std::size_t a, std::size_t b) { return (a < 2) != (b < 2); };
  world->run(6s);
  for (std::size_t i = 0; i < 4; ++i)
    EXPECT_EQ(world->node(i).state->view().partition_status(), PartitionStatus::minority) << i;
}

TEST(Membership, AOneWayCutAndABridgeAreToldFromADeath) {
  const auto world = MembershipWorld::settled(5);
  world->run(4s);
  world->cut = [](std::size_t a, std::size_t b) { return a == 0 && b == 1; };
  EXPECT_TRUE(world->until(
      [&] {
        return world->seen(0, 1)->reachability == Reachability::one_way ||
               world->seen(0, 1)->reachability == Reachability::indirect;
      },
      10s));
  world->run(10s);
  EXPECT_TRUE(world->believes(0, 1, MemberStatus::alive)) << logs_of(*world);
  EXPECT_EQ(world->seen(0, 1)->reachability, Reachability::one_way);
  world->cut = [](std::size_t a, std::size_t b) {
    return a + b == 1;
  };  // 0 and 1, both ways: 2 is the bridge
  world->run(15s);
  EXPECT_TRUE(world->believes(0, 1, MemberStatus::alive)) << logs_of(*world);
  EXPECT_EQ(world->seen(0, 1)->reachability, Reachability::indirect);
  EXPECT_EQ(world->seen(1, 0)->reachability, Reachability::indirect);
}

TEST(Membership, OneThatStoodStillDoubtsItselfAndKillsNobody) {
  const auto world = MembershipWorld::settled(5);
  world->run(2s);
  world->stop(3);
  world->run(5s);
  EXPECT_TRUE(world->all_believe(3, MemberStatus::dead)) << logs_of(*world);
  const std::uint64_t before = world->deaths_declared();
  world->resume(3);
  EXPECT_NE(world->node(3).log.find("peers event loop stalled"), std::string::npos);
  EXPECT_EQ(world->node(3).state->local_health(), world->node(3).state->settings().max_health_score);
  EXPECT_TRUE(
      world->until([&] { return world->all_believe(3, MemberStatus::alive) && world->agreed(); }, 10s))
      << logs_of(*world);
  world->run(20s);
  EXPECT_EQ(world->deaths_declared(), before) << logs_of(*world);
  EXPECT_EQ(world->node(3).state->counters().suspected, 0U) << logs_of(*world);
}

TEST(Membership, OneThatLeavesInOrderIsNotRegisteredAnyMore) {
  const auto world = MembershipWorld::settled(5);
  world->run(2s);
  world->feed(2, membership::ShutdownRequested{});
  EXPECT_TRUE(world->until([&] { return world->all_believe(2, MemberStatus::left); }, 1s)) << logs_of(*world);
  EXPECT_EQ(world->node(0).state->view().registered(), 4U);
}

TEST(Membership, AnOperatorsWordForgetsADeadOneAndNoOther) {
  const auto world = MembershipWorld::settled(4);
  world->run(2s);
  world->feed(0, membership::ForgetMember{"n3"});
  EXPECT_TRUE(world->believes(0, 3, MemberStatus::alive)) << "it lives";
  world->kill(3);
  world->run(6s);
  world->feed(0, membership::ForgetMember{"n3"});
  EXPECT_TRUE(world->until([&] { return world->all_believe(3, MemberStatus::forgotten); }, 2s))
      << logs_of(*world);
  EXPECT_EQ(world->node(1).state->view().registered(), 3U);
}

TEST(Membership, ATenthAndAQuarterOfDatagramsLostKillNobody) {
  for (const double loss : {0.1, 0.25}) {
    const auto world = MembershipWorld::settled(20, 5);
    world->loss = loss;
    world->run(60s);
    EXPECT_EQ(world->deaths_declared(), 0U) << loss << logs_of(*world);
  }
}

TEST(Membership, ManyLearnOfAThirdOfThemKilledAtOnce) {  // 1,000 of them: bench/membership_figures
  constexpr std::size_t kMembers = 150;
  const auto world = MembershipWorld::settled(kMembers);
  world->logs = false;
  world->run(1s);
  for (std::size_t i = 0; i < kMembers; i += 3) world->kill(i);
  const auto known = [&] {
    for (std::size_t i = 0; i < kMembers; i += 3) {
      if (!world->all_believe(i, MemberStatus::dead)) return false;
    }
    return true;
  };
  EXPECT_TRUE(world->until(known, 30s, 500ms));
  EXPECT_EQ(world->node(1).state->view().registered(), kMembers);
  EXPECT_EQ(world->wrongly_dead(), 0U);
}

}  // namespace
}  // namespace edge_proxy::test
