// SPDX-License-Identifier: MIT
// Model checking of consensus: within the bounds the invariant holds in all states, and with an injected
// fault the search finds the shortest counterexample. EDGE_PROXY_MODEL_ROUNDS=N searches up to N rounds.
#include <gtest/gtest.h>

#include <cstdlib>
#include <ostream>

#include "support/consensus_model.h"

namespace edge_proxy::test {
namespace {

struct Case {
  const char* name;
  ConsensusModel::Bounds bounds;
  ConsensusModel::InjectedFaults injected;
  std::size_t shortest;  ///< number of moves of the shortest counterexample
};

std::ostream& operator<<(std::ostream& out, const Case& test_case) { return out << test_case.name; }

ConsensusModel::Bounds bounds_for(int max_rounds, std::vector<std::size_t> isolatable) {
  ConsensusModel::Bounds bounds;
  bounds.max_rounds = max_rounds;
  bounds.isolatable = std::move(isolatable);
  return bounds;
}

std::vector<Case> test_cases() {
  std::vector<Case> cases;
  const auto add = [&cases](const char* name, ConsensusModel::Bounds bounds,
                            bool ConsensusModel::InjectedFaults::*fault, std::size_t shortest) {
    ConsensusModel::InjectedFaults injected;
    injected.*fault = true;
    cases.push_back({name, std::move(bounds), injected, shortest});
  };
  ConsensusModel::Bounds bounds = bounds_for(9, {0, 1, 2});
  bounds.max_elections = 0;
  add("NoWaitForLeases", bounds, &ConsensusModel::InjectedFaults::no_wait_for_leases, 2);
  add("ExcessiveClockDrift", bounds, &ConsensusModel::InjectedFaults::excessive_drift, 4);
  add("GrantsWithoutLeadershipCheck", bounds_for(9, {0}), &ConsensusModel::InjectedFaults::unconfirmed_grants,
      7);
  add("LeaderWithShorterLeases", bounds_for(6, {0, 1, 2}),
      &ConsensusModel::InjectedFaults::short_lease_leader, 3);
  bounds = bounds_for(9, {1});
  bounds.max_elections = 0, bounds.max_crashes = 1, bounds.max_late_messages = 1,
  bounds.late_message_kind = 1, bounds.start_without_change = true;
  add("RequestNumbersReusedAfterRestart", bounds, &ConsensusModel::InjectedFaults::reused_request_numbers, 8);
  bounds = bounds_for(9, {1});
  bounds.max_late_messages = 1, bounds.late_message_kind = 7;
  add("RevocationAckForEarlierTerm", bounds, &ConsensusModel::InjectedFaults::accepts_acks_of_any_term, 9);
  bounds = bounds_for(8, {0});
  bounds.max_crashes = 1;
  add("VoteBeforeWrite", bounds, &ConsensusModel::InjectedFaults::vote_before_write, 7);
  bounds = bounds_for(8, {0});
  bounds.max_lost_disks = 1;
  add("VoterWithErasedDiskVotes", bounds, &ConsensusModel::InjectedFaults::erased_voter_votes, 7);
  return cases;
}

class ConsensusModelTest : public testing::TestWithParam<Case> {};

TEST_P(ConsensusModelTest, InvariantHoldsAndInjectedFaultIsFound) {
  ConsensusModel::Bounds bounds = GetParam().bounds;
  const char* max_rounds = std::getenv("EDGE_PROXY_MODEL_ROUNDS");
  if (max_rounds != nullptr) bounds.max_rounds = std::stoi(max_rounds);
  const ConsensusModel::Result correct = ConsensusModel(bounds, {}).search();
  std::string moves;
  for (const std::string& move : correct.counterexample) moves += move + "\n";
  EXPECT_EQ(correct.violation, "") << moves;
  EXPECT_TRUE(correct.is_complete || max_rounds != nullptr)
      << "max_states is too low; visited states: " << correct.state_count;
  EXPECT_GT(correct.liveness_checks, 0U);
  EXPECT_EQ(correct.liveness_failures, 0U) << "without further faults every change becomes active";
  RecordProperty("states", static_cast<int>(correct.state_count));

  const ConsensusModel::Result faulty = ConsensusModel(GetParam().bounds, GetParam().injected).search();
  moves.clear();
  for (const std::string& move : faulty.counterexample) moves += move + "\n";
  EXPECT_EQ(faulty.violation, "epochs 0 and 1 at once");
  EXPECT_EQ(faulty.counterexample.size(), GetParam().shortest) << moves;
  std::printf("%s: %zu states without the fault; counterexample after %zu states with it:\n%s",
              GetParam().name, correct.state_count, faulty.state_count, moves.c_str());
}

INSTANTIATE_TEST_SUITE_P(InjectedFaults, ConsensusModelTest, testing::ValuesIn(test_cases()),
                         [](const auto& test_case) { return test_case.param.name; });

}  // namespace
}  // namespace edge_proxy::test
