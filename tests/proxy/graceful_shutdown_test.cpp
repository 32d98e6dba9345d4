// SPDX-License-Identifier: MIT
// The graceful shutdown in virtual time.
#include <gtest/gtest.h>

#include <string>

#include "support/reducer_scenarios.h"

namespace edge_proxy::test {
namespace {

TEST(Reducer, GracefulShutdownServesNewRequestsAndCompletesAcceptedOnes) {
  run_scenario(R"(
    anna send 1 pages limit=4000
    box-1 expect serve 1
    edge send TERM
    wait 700
    bert send 2 pages limit=4000
    box-1 expect serve 2
    box-1 send HIT 2 ver=a b
    bert expect served 2
    wait 400
    bert expect closed
    box-1 send HIT 1 ver=a b
    anna expect served 1
    wait 200
    anna expect closed
    edge expect stopped
  )");
}

TEST(Reducer, GracefulShutdownAnswersAllRequestsWithinTheLongestDeadline) {
  // With shorter deadlines the process was killed 2.55 s after SIGTERM while requests were still pending.
  VirtualTimeHarness harness({"box-1", "up-1", "main"}, 192, [](std::string config) {
    for (const std::string key : {R"("deadline":5000000)", R"("deadline":2500000)", R"("deadline":3000000)"})
      config.replace(config.find(key), key.size(), R"("deadline":1800000)");
    return config;
  });
  run_scenario(harness, R"(
    anna send 1 video limit=1800
    box-1 expect serve 1
    edge send TERM
    wait 1600
    anna send 2 video limit=1800
    box-1 expect serve 2
    wait 150
    anna send 3 video limit=1800
    anna expect refused 3
    wait 60
    anna expect refused 1
    wait 400
    anna expect refused 2
    wait 60
    edge expect stopped
  )");
}

// Guards against a process that has logged "stopped" and lives on: a client that was accepted while the
// listener closed belonged to nobody, and the process lived as long as that client sent.
TEST(Reducer, GracefulShutdownEndsAfterAClientThatIsAcceptedWhileTheListenerCloses) {
  for (const bool is_silent : {true, false}) {
    VirtualTimeHarness harness;
    harness.connect_before_listener_closes("anna");
    run_scenario(harness, "edge send TERM\nwait 1001\n");
    EXPECT_EQ(harness.log().find("stopped"), std::string::npos) << harness.log();
    if (is_silent) {
      run_scenario(harness, "wait 500\nanna expect closed\nedge expect stopped\n");
      continue;
    }
    run_scenario(harness,
                 "anna send 1 pages\nbox-1 expect serve 1\nbox-1 send HIT 1 ver=a b\nanna expect served 1\n");
    constexpr int kProbes = 450;  // every 10 ms, for longer than any request may take
    for (int i = 0; i < kProbes && !harness.has_stopped(); ++i) {
      run_scenario(harness, "anna send probe 0\nwait 10\n");
    }
    EXPECT_TRUE(harness.has_stopped()) << harness.log();
  }
}

TEST(Reducer, GracefulShutdownStopsAcceptingAndServesBusyConnections) {
  VirtualTimeHarness harness;
  run_scenario(harness, R"(
    anna send 1 video limit=5000
    box-1 expect serve 1
    bert send probe 1
    bert expect ready 1
    edge send TERM
    wait 600
    wait 60
    bert expect closed
    wait 490
    anna send 2 video limit=5000
    box-1 expect serve 2 max=2250
    wait 1000
    box-1 send HIT 1 ver=a b
    anna expect served 1
    wait 800
    anna send 3 pages
    anna expect refused 3
    wait 450
    anna expect refused 2
    wait 100
    anna expect closed
    edge expect stopped
  )");
  EXPECT_TRUE(harness.has_stopped_accepting());
}

}  // namespace
}  // namespace edge_proxy::test
