// SPDX-License-Identifier: MIT
// Clients that have gone: after a cancel, the end of their half or a reset nothing is sent for them any more.
// In virtual time here, over real connections in instants_test.cpp.
#include <gtest/gtest.h>

#include "support/virtual_time_harness.h"

namespace edge_proxy::test {
namespace {

std::string without_cancels(std::string config) {
  const std::string key = R"("cancelling":true)";
  return config.replace(config.find(key), key.size(), R"("cancelling":false)");
}

TEST(GoneClients, ARequestAndItsCancelReadTogetherAreNotServed) {
  VirtualTimeHarness stage;
  stage.deliver_unsplit();
  run_scenario(stage, R"(
    # a connection to the cache is up
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

TEST(GoneClients, ACancelOfAnEarlierNumberLeavesALaterRequestAlone) {
  VirtualTimeHarness stage;
  run_scenario(stage, R"(
    anna cork
    anna send giveUp 1
    anna send 1 pages
    anna uncork
    box-1 expect serve 1
  )");
}

TEST(GoneClients, WhatWaitsForAConnectionIsNotWrittenForThem) {
  for (auto* edit : {static_cast<std::string (*)(std::string)>(nullptr), &without_cancels}) {
    VirtualTimeHarness stage({"box-1", "up-1", "main"}, 192, edit);
    run_scenario(stage, R"(
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

TEST(GoneClients, AFurtherAttemptThatIsArmedIsNotMade) {
  VirtualTimeHarness stage;
  run_scenario(stage, R"(
    anna send 1 pages
    box-1 expect serve 1
    # the next attempt comes 10 ms after this one ended
    box-1 send raw what is this
    anna close
    wait 50
    box-1 expect nothing
  )");
}

TEST(GoneClients, HundredsThatLeaveAtOnceLeaveNothingBehind) {
  VirtualTimeHarness stage({"box-1", "up-1", "main"}, 192, without_cancels);
  run_scenario(stage, "box-1 set delayed_connect");
  for (int i = 1; i <= 100; ++i)
    run_scenario(stage, "c-" + std::to_string(i) + " send " + std::to_string(i) + " pages");
  for (int i = 1; i <= 100; ++i)
    run_scenario(stage, "c-" + std::to_string(i) + (i % 2 == 0 ? " close reset" : " close"));
  run_scenario(stage, "box-1 set normal\nbox-1 expect nothing\nanna send 101 pages\nbox-1 expect serve 101");
}

TEST(GoneClients, NoCancelIsWrittenWhereTheSettingsAllowNone) {
  VirtualTimeHarness stage({"box-1", "up-1", "main"}, 192, without_cancels);
  run_scenario(stage, R"(
    anna send 1 pages
    box-1 expect serve 1
    anna send giveUp 1
    bert send 2 pages
    box-1 expect serve 2
    # nor where the time is up
    wait 2600
    bert expect refused 2
    box-1 expect nothing
  )");
}

}  // namespace
}  // namespace edge_proxy::test
