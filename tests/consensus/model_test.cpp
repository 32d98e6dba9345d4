// SPDX-License-Identifier: MIT
// The search over the states of agreement: sound within its bounds, and broken in the shortest way where the
// program or what it stands on is broken on purpose. EDGE_PROXY_MODEL_ROUNDS=N looks further.
#include <gtest/gtest.h>

#include <cstdlib>
#include <ostream>

#include "support/consensus_model.h"

namespace edge_proxy::test {
namespace {

struct Case {
  const char* name;
  AgreedModel::Bounds bounds;
  AgreedModel::Broken broken;
  std::size_t shortest;  ///< moves of the counterexample
};

std::ostream& operator<<(std::ostream& out, const Case& one) { return out << one.name; }

AgreedModel::Bounds bounds(int rounds, std::vector<std::size_t> cut) {
  AgreedModel::Bounds b;
  b.rounds = rounds;
  b.cut = std::move(cut);
  return b;
}

std::vector<Case> cases() {
  std::vector<Case> all;
  const auto add = [&all](const char* name, AgreedModel::Bounds b, bool AgreedModel::Broken::*what,
                          std::size_t shortest) {
    AgreedModel::Broken broken;
    broken.*what = true;
    all.push_back({name, std::move(b), broken, shortest});
  };
  AgreedModel::Bounds b = bounds(9, {0, 1, 2});
  b.elections = 0;
  add("NoWaitForLeases", b, &AgreedModel::Broken::no_wait_for_leases, 2);
  add("DriftBeyondTheBound", b, &AgreedModel::Broken::drift_beyond, 4);
  add("GrantsWithoutAskingTheVoters", bounds(9, {0}), &AgreedModel::Broken::unconfirmed_grants, 7);
  add("ALeaderWithShorterLeases", bounds(6, {0, 1, 2}), &AgreedModel::Broken::short_lease_leader, 3);
  b = bounds(9, {1});
  b.elections = 0, b.crashes = 1, b.late = 1, b.late_kind = 1, b.from_before = true;
  add("NumbersUsedAgainAfterARestart", b, &AgreedModel::Broken::numbers_start_anew, 8);
  b = bounds(9, {1});
  b.late = 1, b.late_kind = 7;
  add("YieldedToAnEarlierLeadership", b, &AgreedModel::Broken::any_term_yields, 9);
  b = bounds(8, {0});
  b.crashes = 1;
  add("VoteBeforeTheWrite", b, &AgreedModel::Broken::vote_before_write, 7);
  b = bounds(8, {0});
  b.lost_disks = 1;
  add("AnAmnesiacVoterLetBackIn", b, &AgreedModel::Broken::amnesiac_votes, 7);
  return all;
}

class AgreedModelCase : public testing::TestWithParam<Case> {};

TEST_P(AgreedModelCase, IsSoundAsItStandsAndFoundWhereItIsBroken) {
  AgreedModel::Bounds whole = GetParam().bounds;
  const char* more = std::getenv("EDGE_PROXY_MODEL_ROUNDS");
  if (more != nullptr) whole.rounds = std::stoi(more);
  const AgreedModel::Result sound = AgreedModel(whole, {}).search();
  std::string way;
  for (const std::string& move : sound.counterexample) way += move + "\n";
  EXPECT_EQ(sound.what, "") << way;
  EXPECT_TRUE(sound.whole || more != nullptr) << "more states than were looked at: " << sound.states;
  EXPECT_GT(sound.tried, 0U);
  EXPECT_EQ(sound.stuck, 0U) << "once faults end every change ends";
  RecordProperty("states", static_cast<int>(sound.states));

  const AgreedModel::Result broken = AgreedModel(GetParam().bounds, GetParam().broken).search();
  way.clear();
  for (const std::string& move : broken.counterexample) way += move + "\n";
  EXPECT_EQ(broken.what, "epochs 0 and 1 at once");
  EXPECT_EQ(broken.counterexample.size(), GetParam().shortest) << way;
  std::printf("%s: %zu states sound, broken after %zu of:\n%s", GetParam().name, sound.states, broken.states,
              way.c_str());
}

INSTANTIATE_TEST_SUITE_P(Ways, AgreedModelCase, testing::ValuesIn(cases()),
                         [](const auto& param) { return param.param.name; });

}  // namespace
}  // namespace edge_proxy::test
