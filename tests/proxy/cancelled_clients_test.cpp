// SPDX-License-Identifier: MIT
// Tests that no request is sent to a cache for a client that has cancelled it or has closed, half-closed or
// reset its connection. These tests run in virtual time; instants_test.cpp uses real connections.
#include <gtest/gtest.h>

#include "support/reducer_scenarios.h"

namespace edge_proxy::test {
namespace {

TEST(CancelledClients, RequestReadTogetherWithItsCancelIsNotSent) {
  VirtualTimeHarness harness;
  harness.deliver_unsplit();
  run_scenario(harness, R"(
    # establishes a connection to the cache
    bert send 9 pages
    box-1 expect serve 9
    box-1 send HIT 9 ver=a b
    anna cork
    anna send 1 pages
    anna send 2 pages
    anna send giveUp 1
    anna uncork
    box-1 expect serve 2
    box-1 expect nothing
    box-1 send HIT 2 ver=a b
    anna expect served 2
    anna expect nothing
  )");
}

TEST(CancelledClients, CancelBeforeARequestWithTheSameCallIdHasNoEffect) {
  VirtualTimeHarness harness;
  run_scenario(harness, R"(
    anna cork
    anna send giveUp 1
    anna send 1 pages
    anna uncork
    box-1 expect serve 1
  )");
}

TEST(CancelledClients, QueuedRequestsOfCancelledClientsAreNotSent) {
  for (auto* edit : {static_cast<std::string (*)(std::string)>(nullptr), &without_cancels}) {
    VirtualTimeHarness harness({"box-1", "up-1", "main"}, 192, edit);
    run_scenario(harness, R"(
      box-1 set delayed_connect
      anna send 1 pages
      bert send 2 pages
      carl send 3 pages
      dora send 4 pages
      wait 100
      anna close
      bert close half
      carl close reset
      dora send giveUp 4
      emma send 5 pages
      box-1 set normal
      box-1 expect serve 5
      box-1 expect nothing
    )");
  }
}

TEST(CancelledClients, ScheduledRetryIsNotSentAfterTheClientCloses) {
  VirtualTimeHarness harness;
  run_scenario(harness, R"(
    anna send 1 pages
    box-1 expect serve 1
    # the next attempt comes 10 ms after this one ended
    box-1 send raw what is this
    anna close
    wait 50
    box-1 expect nothing
  )");
}

TEST(CancelledClients, QueuedRequestsOfHundredClosedClientsAreNotSent) {
  VirtualTimeHarness harness({"box-1", "up-1", "main"}, 192, without_cancels);
  run_scenario(harness, "box-1 set delayed_connect");
  for (int i = 1; i <= 100; ++i)
    run_scenario(harness, "c-" + std::to_string(i) + " send " + std::to_string(i) + " pages");
  for (int i = 1; i <= 100; ++i)
    run_scenario(harness, "c-" + std::to_string(i) + (i % 2 == 0 ? " close reset" : " close"));
  run_scenario(harness,
               "box-1 set normal\nbox-1 expect nothing\nanna send 101 pages\nbox-1 expect serve 101");
}

TEST(CancelledClients, CancelIsNotSentIfTheSettingsDisableIt) {
  VirtualTimeHarness harness({"box-1", "up-1", "main"}, 192, without_cancels);
  run_scenario(harness, R"(
    anna send 1 pages
    box-1 expect serve 1
    anna send giveUp 1
    bert send 2 pages
    box-1 expect serve 2
    # nor when the client's limit expires
    wait 2600
    bert expect refused 2
    box-1 expect nothing
  )");
}

}  // namespace
}  // namespace edge_proxy::test
