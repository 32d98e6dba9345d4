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

TEST(Membership, MembersDiscoverEachOtherThroughSeeds) {
  MembershipWorld world(5);
  EXPECT_TRUE(world.until([&] { return world.agreed() && world.node(4).state->view().reachable() == 5; }, 5s))
      << logs_of(world);
  EXPECT_EQ(world.node(3).state->view().partition_status(), PartitionStatus::majority);
}

TEST(Membership, KilledMemberIsDeadForAllAndStaysRegistered) {
  const auto world = MembershipWorld::settled(5);
  world->run(2s);
  world->kill(2);
  EXPECT_TRUE(world->until([&] { return world->all_believe(2, MemberStatus::dead); }, 5s)) << logs_of(*world);
  EXPECT_EQ(world->node(0).state->view().registered(), 5U);
  EXPECT_EQ(world->node(0).state->view().reachable(), 4U);
  world->start(2, false);
  EXPECT_TRUE(world->until([&] { return world->all_believe(2, MemberStatus::alive); }, 5s))
      << logs_of(*world);
  EXPECT_EQ(world->seen(0, 2)->update.disk_id, 3U) << "a member with the same disk is the same member";
}

TEST(Membership, MemberThatMissedARefutationPingsTheSuspect) {
  // Guards against false deaths at 300 members and 10% loss: a member that received a suspicion but missed
  // its refutation declared the suspect dead, while the 299 others saw it alive.
  const auto world = MembershipWorld::settled(100);
  world->run(2s);
  membership::MemberUpdate suspicion = world->node(1).state->self();
  suspicion.status = MemberStatus::suspect;
  suspicion.reported_by = MembershipWorld::name(2);
  membership::Message gossip;
  gossip.kind = membership::MessageKind::gossip;
  gossip.from = world->node(2).state->self();
  gossip.digest = world->node(2).state->view().digest();
  gossip.updates = {suspicion};
  world->feed(0, membership::MessageReceived{gossip, 0});
  // From now on, node 0 learns about node 1 only from acks of node 1.
  world->filter = [&](std::size_t from, std::size_t to, membership::Message& message) {
    if (to != 0) return true;
    std::erase_if(message.updates, [](const membership::MemberUpdate& update) {
      return update.name == MembershipWorld::name(1);
    });
    return from != 1 || message.kind == membership::MessageKind::ack;
  };
  world->run(3s);
  EXPECT_TRUE(world->believes(0, 1, MemberStatus::alive)) << logs_of(*world);
  world->run(7s);
  EXPECT_EQ(world->deaths_declared(), 0U) << logs_of(*world);
}

TEST(Membership, PingingSuspectsDoesNotDelayTheDetectionOfADeath) {
  // The additional pings to a suspect do not delay its deadline, and their number per member is bounded.
  const auto world = MembershipWorld::settled(60);
  world->run(2s);
  world->kill(7);
  const auto detection_time =
      world->until([&] { return world->all_believe(7, MemberStatus::dead); }, 5s, 10ms);
  ASSERT_TRUE(detection_time) << logs_of(*world);
  EXPECT_LE(*detection_time, 3s);
  EXPECT_LE(world->undeliverable, 59U * 20U) << "messages to the dead member";
}

TEST(Membership, RestartWithAnEmptyDiskIsANewMember) {
  const auto world = MembershipWorld::settled(4);
  world->run(2s);
  world->kill(1);
  world->run(1s);  // before its death is detected: it learns its previous incarnation from the others
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

TEST(Membership, TwoProcessesWithOneNameAreBothDisputed) {
  auto world = MembershipWorld::settled(5);
  world->run(10s);
  // Node 4 restarts as another process with the name n1 and its own disk.
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
  // After one process is stopped and the other restarted, the name is a member as before.
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

TEST(Membership, PartitionIsDetectedOnBothSidesAndHeals) {
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

TEST(Membership, EvenSplitHasNoMajority) {
  const auto world = MembershipWorld::settled(4);
  world->run(2s);
  world->cut = [](std::size_t a, std::size_t b) { return (a < 2) != (b < 2); };
  world->run(6s);
  for (std::size_t i = 0; i < 4; ++i)
    EXPECT_EQ(world->node(i).state->view().partition_status(), PartitionStatus::minority) << i;
}

TEST(Membership, OneWayAndIndirectReachabilityAreNoDeaths) {
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
  };  // between 0 and 1, in both directions; 2 relays
  world->run(15s);
  EXPECT_TRUE(world->believes(0, 1, MemberStatus::alive)) << logs_of(*world);
  EXPECT_EQ(world->seen(0, 1)->reachability, Reachability::indirect);
  EXPECT_EQ(world->seen(1, 0)->reachability, Reachability::indirect);
}

TEST(Membership, StalledMemberDegradesItsHealthAndSuspectsNoOther) {
  const auto world = MembershipWorld::settled(5);
  world->run(2s);
  world->stop(3);
  world->run(5s);
  EXPECT_TRUE(world->all_believe(3, MemberStatus::dead)) << logs_of(*world);
  const std::uint64_t deaths_before = world->deaths_declared();
  world->resume(3);
  EXPECT_NE(world->node(3).log.find("peers event loop stalled"), std::string::npos);
  EXPECT_EQ(world->node(3).state->local_health(), world->node(3).state->settings().max_health_score);
  EXPECT_TRUE(
      world->until([&] { return world->all_believe(3, MemberStatus::alive) && world->agreed(); }, 10s))
      << logs_of(*world);
  world->run(20s);
  EXPECT_EQ(world->deaths_declared(), deaths_before) << logs_of(*world);
  EXPECT_EQ(world->node(3).state->counters().suspected, 0U) << logs_of(*world);
}

TEST(Membership, GracefulShutdownUnregistersTheMember) {
  const auto world = MembershipWorld::settled(5);
  world->run(2s);
  world->feed(2, membership::ShutdownRequested{});
  EXPECT_TRUE(world->until([&] { return world->all_believe(2, MemberStatus::left); }, 1s)) << logs_of(*world);
  EXPECT_EQ(world->node(0).state->view().registered(), 4U);
}

TEST(Membership, ForgetRequestAppliesOnlyToDeadMembers) {
  const auto world = MembershipWorld::settled(4);
  world->run(2s);
  world->feed(0, membership::ForgetMember{"n3"});
  EXPECT_TRUE(world->believes(0, 3, MemberStatus::alive)) << "a member that is alive cannot be forgotten";
  world->kill(3);
  world->run(6s);
  world->feed(0, membership::ForgetMember{"n3"});
  EXPECT_TRUE(world->until([&] { return world->all_believe(3, MemberStatus::forgotten); }, 2s))
      << logs_of(*world);
  EXPECT_EQ(world->node(1).state->view().registered(), 3U);
}

TEST(Membership, DatagramLossOfTenAndTwentyFivePercentCausesNoDeaths) {
  for (const double loss : {0.1, 0.25}) {
    const auto world = MembershipWorld::settled(20, 5);
    world->loss = loss;
    world->run(60s);
    EXPECT_EQ(world->deaths_declared(), 0U) << loss << logs_of(*world);
  }
}

TEST(Membership,
     SimultaneousDeathOfAThirdIsDetectedByAll) {  // for 1,000 members see bench/membership_figures
  constexpr std::size_t kMembers = 150;
  const auto world = MembershipWorld::settled(kMembers);
  world->logs = false;
  world->run(1s);
  for (std::size_t i = 0; i < kMembers; i += 3) world->kill(i);
  const auto all_deaths_known = [&] {
    for (std::size_t i = 0; i < kMembers; i += 3) {
      if (!world->all_believe(i, MemberStatus::dead)) return false;
    }
    return true;
  };
  EXPECT_TRUE(world->until(all_deaths_known, 30s, 500ms));
  EXPECT_EQ(world->node(1).state->view().registered(), kMembers);
  EXPECT_EQ(world->wrongly_dead(), 0U);
}

}  // namespace
}  // namespace edge_proxy::test
