// SPDX-License-Identifier: MIT
// Agreement inside the edge's reducer: what is told before the peers are ready, and how long attempts go on
// under an epoch that is over.
#include "proxy/cluster/policy_controller.h"

#include <gtest/gtest.h>

#include "support/scenario.h"

namespace edge_proxy::proxy {
namespace {

using namespace std::chrono_literals;

class AgreeingAlone : public testing::Test {
 protected:
  AgreeingAlone()
      : config_(read()),
        context_(config_),
        peering_(context_, config_),
        agreeing_(context_, peering_, config_) {
    context_.now = 1h;
  }
  static config::Config read() {
    std::string text = test::config_text({});
    text.insert(1, R"("peers":{"cluster":"c","listen":"127.0.0.1:9","folder":"/x"},)"
                   R"("policy":{"voters":["n1","n2","n3"],"folder":"/x"},)");
    return config::parse(text, {});
  }
  void ready() {
    const membership::Identity identity{1, membership::kEpochStep, false, {}};
    peering_.start(identity);
    agreeing_.start(identity);
  }
  /// It leads and has just been granted a lease by itself.
  void lead() {
    agreeing_.handle(consensus::BecameLeader{1, {"n1"}});
    context_.now += 100ms;
    agreeing_.run_timers();  // it asks itself
    agreeing_.handle(consensus::MessageReceived{"n1", consensus::LeadershipCheckReply{1, 1}});
    ASSERT_EQ(agreeing_.epoch(), 0U);
  }

  config::Config config_;
  Context context_;
  MembershipAdapter peering_;
  PolicyController agreeing_;
};

TEST_F(AgreeingAlone, WhatTheLogToldBeforeThePeersWereReadyIsKept) {
  ConsensusOutput out;
  out.voters = {{"n1", 7}};
  out.own_raft_id = 7;
  out.consensus_inputs = {consensus::EntryApplied{4, std::nullopt}};
  agreeing_.handle(out);
  EXPECT_FALSE(agreeing_.report());
  ready();
  const std::string report = agreeing_.report().value_or("");
  EXPECT_NE(report.find(R"("log_index":4)"), std::string::npos) << report;
  EXPECT_NE(report.find(R"("log_id":"7","voters":{"n1":"7"})"), std::string::npos) << report;
}

TEST_F(AgreeingAlone, NoAttemptBeginsLongAfterALeaseThatRanOutInAStandstill) {
  ready();
  lead();
  context_.now += 5200ms;  // the lease of 5 s is over, and nothing has told it yet
  EXPECT_FALSE(agreeing_.epoch());
  EXPECT_TRUE(agreeing_.can_attempt(0));
  context_.now += 60s;
  EXPECT_FALSE(agreeing_.can_attempt(0));
  agreeing_.run_timers();
  EXPECT_FALSE(agreeing_.can_attempt(0)) << "it ended when its lease did, not when that was seen";
}

}  // namespace
}  // namespace edge_proxy::proxy
