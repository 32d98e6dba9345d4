// SPDX-License-Identifier: MIT
// Tests of consensus in a cluster in virtual time, with the real replicated log on faulty disks.
#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <map>

#include "support/consensus_world.h"

namespace edge_proxy::test {
namespace {

/// Returns a cluster whose log exists and whose members all hold leases on epoch 0.
std::unique_ptr<ConsensusWorld> settled_world(
    std::size_t count, std::size_t voters, std::uint64_t seed = 1,
    const std::function<void(consensus::Settings&)>& edit_settings = {}) {
  auto world = std::make_unique<ConsensusWorld>(count, voters, seed, edit_settings);
  EXPECT_TRUE(world->wait_until([&] { return world->all_decide_under(0); }, 30s)) << world->history;
  world->run(6s);  // until leases that earlier leaders may have granted have expired
  return world;
}
int status_of(const ConsensusWorld& world, std::uint64_t call) {
  for (const auto& answer : world.answers) {
    if (answer.call == call) return answer.status;
  }
  return 0;
}

TEST(ConsensusCluster, ChangeIsAnsweredOnceActiveOnAllMembers) {
  const auto world = settled_world(7, 3);
  world->propose(5, 1, "k", 0, "p");
  const auto duration = world->wait_until([&] { return world->all_decide_under(1); }, 5s, 5ms);
  ASSERT_TRUE(duration) << world->history;
  EXPECT_LT(*duration, 1500ms);
  world->run(1s);
  EXPECT_EQ(status_of(*world, 1), 200);
  EXPECT_EQ(world->violation, "");
  for (std::size_t i = 0; i < 7; ++i) EXPECT_EQ(world->node(i).state->policy_state().policy(), "p");
  world->propose(2, 2, "l", 0, "q");
  world->run(2s);
  EXPECT_EQ(status_of(*world, 2), 409) << "it is based on epoch 0, which is not active";
  world->propose(2, 3, "k", 0, "p");
  world->run(100ms);
  EXPECT_EQ(status_of(*world, 3), 200) << "a repeated key identifies the same change";
}

TEST(ConsensusCluster, MemberThatCannotApplyThePolicyAbortsTheChange) {
  const auto world = settled_world(5, 3);
  world->propose(0, 1, "k", 0, "unfit for n4");
  world->run(3s);
  EXPECT_EQ(status_of(*world, 1), 409);
  EXPECT_NE(world->answers.back().body.find("n4: key 'caches'"), std::string::npos)
      << world->answers.back().body;
  EXPECT_TRUE(world->all_decide_under(0));
}

TEST(ConsensusCluster, ChangeWaitsForLeaseOfStoppedMemberWhichCatchesUpBeforeDeciding) {
  const auto world = settled_world(5, 3);
  world->kill(4);
  world->run(500ms);
  world->propose(0, 1, "k", 0, "p");
  ConsensusWorld::Time undecided_time{0};  // during which member 1 cannot decide
  const auto duration = world->wait_until(
      [&] {
        if (!world->node(1).state->decision_epoch(world->local_time(1))) undecided_time += 10ms;
        return world->all_decide_under(1);
      },
      20s, 10ms);
  ASSERT_TRUE(duration) << world->history;
  EXPECT_GT(*duration, 4s) << "the lease of the stopped member has to expire";
  EXPECT_LT(*duration, 7s);
  EXPECT_LT(undecided_time, 600ms) << "the other members keep deciding meanwhile";
  world->start(4);
  const auto recovered = world->wait_until([&] { return world->all_decide_under(1); }, 10s, 10ms);
  EXPECT_TRUE(recovered) << world->history;
  EXPECT_EQ(world->violation, "");
}

TEST(ConsensusCluster, MemberPausedDuringAChangeDoesNotDecideUntilItHasCaughtUp) {
  const auto world = settled_world(5, 3);
  world->stop(4);
  world->propose(0, 1, "k", 0, "p");
  ASSERT_TRUE(world->wait_until([&] { return world->all_decide_under(1); }, 30s)) << world->history;
  EXPECT_FALSE(world->node(4).state->decision_epoch(world->local_time(4)));
  world->resume(4);
  EXPECT_TRUE(world->wait_until([&] { return world->all_decide_under(1); }, 10s)) << world->history;
  EXPECT_EQ(world->violation, "");
}

TEST(ConsensusCluster, PartitionedMinorityStopsDecidingAndReturnsToTheNewEpoch) {
  const auto world = settled_world(7, 3);
  world->is_cut = [](std::size_t from, std::size_t to) {
    return (from == 0 || from > 4) != (to == 0 || to > 4);
  };
  world->run(3s);
  world->propose(1, 1, "k", 0, "p");
  world->propose(6, 2, "l", 0, "q");
  ASSERT_TRUE(world->wait_until([&] { return status_of(*world, 1) == 200; }, 30s)) << world->history;
  EXPECT_FALSE(world->node(6).state->decision_epoch(world->local_time(6)));
  ASSERT_TRUE(world->wait_until([&] { return status_of(*world, 2) != 0; }, 10s));
  EXPECT_EQ(status_of(*world, 2), 503) << "the result is unknown";
  world->is_cut = nullptr;
  EXPECT_TRUE(world->wait_until([&] { return world->all_decide_under(1); }, 20s)) << world->history;
  EXPECT_EQ(world->violation, "");
}

TEST(ConsensusCluster, LeaderCrashesAtAnyMomentOfAChange) {
  for (int step = 0; step < 20; ++step) {
    const auto world = settled_world(5, 3, 7);
    const auto leader = world->leader();
    ASSERT_TRUE(leader);
    world->propose((*leader + 1) % 5, 1, "k", 0, "p");
    world->run(step * 30ms);
    world->kill(*leader, true);
    world->run(4s);
    world->start(*leader);
    const bool finished = world
                              ->wait_until(
                                  [&] {
                                    const auto& policy_state =
                                        world->node((*leader + 1) % 5).state->policy_state();
                                    return policy_state.outcome("k") != nullptr &&
                                           world->all_decide_under(policy_state.epoch());
                                  },
                                  40s)
                              .has_value();
    EXPECT_TRUE(finished) << step << "\n" << world->history;
    EXPECT_EQ(world->violation, "") << step << "\n" << world->history;
  }
}

TEST(ConsensusCluster, AllMembersCrashAtOnceDuringAChange) {
  for (int step = 0; step < 15; ++step) {
    const auto world = settled_world(5, 3, 9);
    world->propose(3, 1, "k", 0, "p");
    world->run(step * 40ms);
    for (std::size_t i = 0; i < 5; ++i) world->kill(i, true);
    for (std::size_t i = 0; i < 5; ++i) world->start(i);
    const auto is_settled = [&] {
      const auto& policy_state = world->node(0).state->policy_state();
      return !policy_state.change() && world->all_decide_under(policy_state.epoch());
    };
    EXPECT_TRUE(world->wait_until(is_settled, 60s)) << step << "\n" << world->history;
    EXPECT_EQ(world->violation, "") << step << "\n" << world->history;
    if (status_of(*world, 1) == 200) {
      EXPECT_EQ(world->node(0).state->policy_state().epoch(), 1U) << "the call was answered with 200";
    }
  }
}

TEST(ConsensusCluster, VoterWithErasedDiskDoesNotVoteUntilReplaced) {
  const auto world = settled_world(4, 3);
  const auto leader = world->leader();
  ASSERT_TRUE(leader);
  const std::size_t lost = (*leader + 1) % 3;
  const std::uint64_t id_before = world->node(lost).log->id();
  world->kill(lost, true);
  world->erase_disk(lost);
  world->start(lost);
  world->run(5s);
  EXPECT_NE(world->node(lost).log->id(), id_before);
  EXPECT_FALSE(world->node(lost).log->is_running()) << "its votes were lost with its disk";
  EXPECT_FALSE(world->node(lost).log->can_confirm_leadership(1000));
  EXPECT_TRUE(world->all_decide_under(0)) << "it learns the state and decides like a member without a vote";
  consensus::RaftLog::Output output;
  EXPECT_TRUE(
      world->node(*leader).log->add_voter(ConsensusWorld::name(lost), world->node(lost).log->id(), output));
  const auto is_added = [&] {
    return world->node(lost).log->is_running() && world->node(lost).log->can_confirm_leadership(1000) &&
           world->node(*leader).log->voters().at(ConsensusWorld::name(lost)) == world->node(lost).log->id();
  };
  EXPECT_TRUE(world->wait_until(is_added, 30s)) << world->history;
  world->kill((*leader + 2) % 3);  // the majority now needs the vote of the replaced member
  world->propose(3, 1, "k", 0, "p");
  EXPECT_TRUE(world->wait_until([&] { return status_of(*world, 1) == 200; }, 30s)) << world->history;
  EXPECT_EQ(world->violation, "");
}

TEST(ConsensusCluster, FullDiskOfAVoterStopsOnlyItsParticipation) {
  const auto world = settled_world(5, 3);
  const auto leader = world->leader();
  ASSERT_TRUE(leader);
  const std::size_t full = (*leader + 1) % 3;
  world->node(full).folder->free_bytes = 0;
  world->propose(4, 1, "k", 0, "p");
  EXPECT_TRUE(world->wait_until([&] { return status_of(*world, 1) != 0; }, 40s)) << world->history;
  EXPECT_NE(world->node(full).log_text.find("policy storage failed"), std::string::npos);
  EXPECT_EQ(world->violation, "");
}

TEST(ConsensusCluster, MemberFarBehindReceivesASnapshot) {
  const auto world = settled_world(4, 3, 5);
  world->kill(3);
  for (std::uint64_t epoch = 0; epoch < 90; ++epoch) {
    world->propose(0, 100 + epoch, "k" + std::to_string(epoch), epoch, "p" + std::to_string(epoch));
    ASSERT_TRUE(
        world->wait_until([&] { return world->node(0).state->policy_state().epoch() == epoch + 1; }, 20s))
        << epoch << world->history;
  }
  EXPECT_LT(world->node(0).log->entry_count(), 200U) << "snapshots replace old entries";
  world->start(3);
  EXPECT_TRUE(world->wait_until([&] { return world->all_decide_under(90); }, 20s));
  EXPECT_EQ(world->violation, "");
}

/// Runs a cluster with random faults. Members must never decide under two epochs at once, and the answers to
/// operators must match the final state.
void run_random_schedule(std::uint64_t seed, std::size_t count, std::size_t voters) {
  std::mt19937_64 random(seed);
  const auto world = settled_world(count, voters, seed);
  world->loss = 0.03 * static_cast<double>(random() % 4);
  std::string schedule = "seed " + std::to_string(seed) + "\n";
  std::map<std::uint64_t, std::string> keys;
  std::uint64_t call = 0;
  std::size_t erased_voter_disks = 0;
  for (int step = 0; step < 14; ++step) {
    const std::size_t node = random() % count;
    switch (random() % 10) {
      case 0:
      case 1:
      case 2: {
        if (!world->is_running(node)) break;
        const consensus::Epoch base = world->node(node).state->policy_state().epoch();
        ++call;
        keys[call] = "k" + std::to_string(call);
        world->propose(node, call, keys[call], base,
                       random() % 6 == 0 ? "unfit for n1" : "p" + std::to_string(call));
        schedule += "propose at " + std::to_string(node) + "\n";
        break;
      }
      case 3: {
        const std::size_t first = 1 + random() % (count - 1);
        const bool one_way = random() % 4 == 0;
        world->is_cut = [first, one_way](std::size_t from, std::size_t to) {
          return one_way ? from < first && to >= first : (from < first) != (to < first);
        };
        schedule += "cut " + std::to_string(first) + "\n";
        break;
      }
      case 4:
        world->is_cut = nullptr;
        schedule += "heal\n";
        break;
      case 5:
      case 6:
        if (world->node(node).state) world->kill(node, random() % 2 == 0);
        schedule += "kill " + std::to_string(node) + "\n";
        // A crash may erase the disk, but of one voter at most: the other voters have to form a majority.
        if (random() % 4 == 0 && (node >= voters || erased_voter_disks++ == 0)) {
          world->erase_disk(node);
          schedule += "erase its disk\n";
        }
        break;
      case 7:
        if (!world->node(node).state) world->start(node);
        schedule += "start " + std::to_string(node) + "\n";
        break;
      case 8:
        if (world->is_running(node)) world->stop(node);
        schedule += "stop " + std::to_string(node) + "\n";
        break;
      default:
        for (std::size_t i = 0; i < count; ++i) {
          if (world->node(i).state && world->node(i).stopped) world->resume(i);
        }
        schedule += "resume\n";
    }
    world->run(std::chrono::milliseconds(20 + random() % 4000));
    ASSERT_EQ(world->violation, "") << schedule << world->history;
  }
  world->is_cut = nullptr;
  world->loss = 0;
  for (std::size_t i = 0; i < count; ++i) {
    if (!world->node(i).state) world->start(i);
    if (world->node(i).stopped) world->resume(i);
  }
  const auto is_settled = [&] {
    const auto& policy_state = world->node(0).state->policy_state();
    for (std::size_t i = 0; i < count; ++i) {
      if (world->node(i).state->policy_state().index() != policy_state.index()) return false;
    }
    return !policy_state.change() && world->all_decide_under(policy_state.epoch());
  };
  const bool finished = world->wait_until(is_settled, 90s).has_value();
  for (std::size_t i = 0; !finished && i < count; ++i)
    schedule += world->node(i).state->debug_state({}) + " term " +
                std::to_string(world->node(i).log->term()) + " entries " +
                std::to_string(world->node(i).log->entry_count()) + " runs " +
                std::to_string(world->node(i).log->is_running()) + " " + world->node(i).log->error() + "\n";
  ASSERT_TRUE(finished) << schedule << world->history;
  ASSERT_EQ(world->violation, "") << schedule << world->history;
  for (const auto& answer : world->answers) {
    const auto* outcome = world->node(answer.node).state->policy_state().outcome(keys[answer.call]);
    if (answer.status == 200) {
      ASSERT_TRUE(outcome != nullptr && outcome->result == consensus::ChangeResult::active)
          << schedule << world->history;
    } else if (answer.status == 409) {
      ASSERT_TRUE(outcome != nullptr && outcome->result != consensus::ChangeResult::active)
          << schedule << world->history;
    }
  }
}

/// Guards against a fault of libraft that a random schedule found: a follower answered a message without
/// entries with the last index of its own log. The new leader took its own entry for replicated where the
/// follower had an entry of a deposed leader, and never sent it.
TEST(ConsensusCluster, HeartbeatReplyReportsOnlyVerifiedEntries) { run_random_schedule(679, 5, 3); }
/// Guards against a fault of libraft that a random schedule found: the rejection of a pre-vote did not carry
/// the voter's own term, so that no leader was ever elected again.
TEST(ConsensusCluster, RejectedPreVoteCarriesTheVotersTerm) { run_random_schedule(7459, 5, 3); }

/// EDGE_PROXY_SEEDS="FIRST COUNT" runs other seeds. A seed always gives the same schedule.
TEST(ConsensusCluster, RandomSchedulesKeepOneEpochAndFinalAnswers) {
  std::uint64_t first = 1, count = 25;
  if (const char* seeds = std::getenv("EDGE_PROXY_SEEDS")) {
    first = std::strtoull(seeds, nullptr, 10);
    const char* rest = std::strchr(seeds, ' ');
    count = rest == nullptr ? 1 : std::strtoull(rest, nullptr, 10);
  }
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const std::size_t voters = seed % 5 == 0 ? 5 : 3;
    run_random_schedule(seed, voters + 1 + seed % 3, voters);
    if (HasFatalFailure()) return;
  }
}

}  // namespace
}  // namespace edge_proxy::test
