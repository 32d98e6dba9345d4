// SPDX-License-Identifier: MIT
// Tests the policy controller of one proxy: log inputs that arrive before start(), and attempts under an
// epoch that has ended.
#include "proxy/cluster/policy_controller.h"

#include <gtest/gtest.h>

#include "support/scenario.h"

namespace edge_proxy::proxy {
namespace {

using namespace std::chrono_literals;

class PolicyControllerTest : public testing::Test {
 protected:
  PolicyControllerTest()
      : config_(make_config()),
        context_(config_),
        membership_(context_, config_),
        controller_(context_, membership_, config_) {
    context_.now = 1h;
  }
  static config::Config make_config() {
    std::string text = test::config_text({});
    text.insert(1, R"("peers":{"cluster":"c","listen":"127.0.0.1:9","folder":"/x"},)"
                   R"("policy":{"voters":["n1","n2","n3"],"folder":"/x"},)");
    return config::parse(text, {});
  }
  void start() {
    const membership::Identity identity{1, membership::kEpochStep, false, {}};
    membership_.start(identity);
    controller_.start(identity);
  }
  /// Makes this proxy the leader, which grants itself an epoch lease.
  void become_leader() {
    controller_.handle(consensus::BecameLeader{1, {"n1"}});
    context_.now += 100ms;
    controller_.run_timers();  // requests a lease from itself
    controller_.handle(consensus::MessageReceived{"n1", consensus::LeadershipCheckReply{1, 1}});
    ASSERT_EQ(controller_.epoch(), 0U);
  }

  config::Config config_;
  Context context_;
  MembershipAdapter membership_;
  PolicyController controller_;
};

TEST_F(PolicyControllerTest, LogInputsBeforeTheStartAreReported) {
  ConsensusOutput output;
  output.voters = {{"n1", 7}};
  output.own_raft_id = 7;
  output.consensus_inputs = {consensus::EntryApplied{4, std::nullopt}};
  controller_.handle(output);
  EXPECT_FALSE(controller_.report());
  start();
  const std::string report = controller_.report().value_or("");
  EXPECT_NE(report.find(R"("log_index":4)"), std::string::npos) << report;
  EXPECT_NE(report.find(R"("log_id":"7","voters":{"n1":"7"})"), std::string::npos) << report;
}

TEST_F(PolicyControllerTest, NoAttemptStartsAfterALeaseThatExpiredDuringAStall) {
  start();
  become_leader();
  context_.now += 5200ms;  // the lease of 5 s has expired without a timer input
  EXPECT_FALSE(controller_.epoch());
  EXPECT_TRUE(controller_.can_attempt(0));
  context_.now += 60s;
  EXPECT_FALSE(controller_.can_attempt(0));
  controller_.run_timers();
  EXPECT_FALSE(controller_.can_attempt(0))
      << "the epoch ended when its lease expired, not when the expiry was noticed";
}

}  // namespace
}  // namespace edge_proxy::proxy
