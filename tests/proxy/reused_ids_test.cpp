// SPDX-License-Identifier: MIT
// Requests whose id an earlier request had, in virtual time. Usual clients use each id once.
#include <gtest/gtest.h>

#include "support/reducer_scenarios.h"

namespace edge_proxy::test {
namespace {

// Guards against a response that is delivered as the answer to another request with the same id.
TEST(ReusedIds, ARequestIsRejectedWhileAnAttemptOfAnEarlierOneIsOpen) {
  VirtualTimeHarness harness({"box-1", "up-1", "main"}, 192, without_cancels);
  run_scenario(harness, R"(
    anna send 1 pages
    box-1 expect serve 1 thing=0000000000000001
    anna send giveUp 1
    bert send 1 pages item=00000000000000bb
    bert expect failed 1
    box-1 expect nothing
    box-1 send HIT 1 ver=a of the first object
    bert expect nothing
    bert send 1 pages item=00000000000000bb
    box-1 expect serve 1 thing=00000000000000bb
    box-1 send HIT 1 ver=a of the second object
    bert expect served 1 body=of the second object
  )");
}

// Guards against a timer that outlives its request and ends a later request with the same id.
TEST(ReusedIds, TimersOfAnEarlierRequestDoNotEndALaterOne) {
  VirtualTimeHarness harness;
  run_scenario(harness, R"(
    anna send 1 order unique=k limit=400
    box-1 expect serve 1
    box-1 send HIT 1 ver=a b
    anna expect served 1
    wait 100
    anna send 1 order unique=k limit=2900
    box-1 expect serve 1
    wait 500
    anna expect nothing
    box-1 send HIT 1 ver=a c
    anna expect served 1 body=c
  )");
}

// Guards against an id that comes again after its client has left and loses the key by which caches recognize
// the request that may have run.
TEST(ReusedIds, ARequestThatComesAgainAfterItsClientLeftKeepsItsKey) {
  VirtualTimeHarness harness;
  run_scenario(harness, R"(
    anna send 1 order unique=k
    box-1 expect serve 1 replay=k
    anna close
    box-1 expect cancel 1
    bert send 1 order unique=k
    box-1 expect serve 1 replay=k
    box-1 send HIT 1 ver=a b
    bert expect served 1
    box-1 expect nothing
  )");
}

// Guards against a request that may have run and is sent again because its id comes again after its client
// left.
TEST(ReusedIds, AFragileRequestThatComesAgainAfterItsClientLeftIsNotSentAgain) {
  VirtualTimeHarness harness({"box-1", "up-1", "main"}, 192, with_fragile_orders);
  run_scenario(harness, R"(
    anna send 1 order
    box-1 expect serve 1
    anna close
    box-1 expect cancel 1
    bert send 1 order
    box-1 expect nothing
    bert expect failed 1
  )");
}

// Guards against a request that was answered and runs again because its id comes again.
TEST(ReusedIds, AFragileRequestThatWasServedIsNotSentAgain) {
  VirtualTimeHarness harness({"box-1", "up-1", "main"}, 192, with_fragile_orders);
  run_scenario(harness, R"(
    anna send 1 order
    box-1 expect serve 1
    box-1 send HIT 1 ver=a b
    anna expect served 1
    bert send 1 order
    box-1 expect nothing
    bert expect failed 1
  )");
}

// Guards against a request that is refused although no earlier one with its id has run.
TEST(ReusedIds, AFragileRequestThatNeverRanIsSentAgain) {
  VirtualTimeHarness harness({"box-1", "up-1", "main"}, 192, with_fragile_orders);
  run_scenario(harness, R"(
    box-1 set delayed_connect
    anna send 1 order
    box-1 expect nothing
    anna close
    box-1 set normal
    bert send 1 order
    box-1 expect serve 1
    box-1 send HIT 1 ver=a b
    bert expect served 1
  )");
}

// Guards against a repeat that arrives after the endpoints have forgotten the key of the first request.
TEST(ReusedIds, AKeyedRequestThatComesAgainAfterTheDeduplicationWindowIsNotSentAgain) {
  VirtualTimeHarness harness;
  run_scenario(harness, R"(
    anna send 1 order unique=k
    box-1 expect serve 1 replay=k
    anna close
    box-1 expect cancel 1
    wait 2000
    bert send 1 order unique=k
    box-1 expect nothing
    bert expect failed 1
  )");
}

// Guards against a repeat that is accepted within the deduplication window and written after it.
TEST(ReusedIds, AKeyedRequestThatComesAgainIsNotWrittenAfterTheDeduplicationWindow) {
  VirtualTimeHarness harness;
  run_scenario(harness, R"(
    anna send 1 order unique=k
    box-1 expect serve 1 replay=k
    anna close
    box-1 expect cancel 1
    box-1 close refusing
    box-1 set delayed_connect
    wait 1800
    bert send 1 order unique=k
    wait 300
    box-1 set normal
    box-1 expect nothing
  )");
}

// Guards against a repeat with another key, which the endpoints don't recognize.
TEST(ReusedIds, AKeyedRequestThatComesAgainWithAnotherKeyIsNotSentAgain) {
  VirtualTimeHarness harness;
  run_scenario(harness, R"(
    anna send 1 order unique=k
    box-1 expect serve 1 replay=k
    anna close
    box-1 expect cancel 1
    bert send 1 order unique=l
    box-1 expect nothing
    bert expect failed 1
  )");
}

// Guards against records that stay although no client waits for the request any longer: four times the
// longest deadline after it has ended.
TEST(ReusedIds, RecordsOfExecutedRequestsEnd) {
  VirtualTimeHarness harness({"box-1", "up-1", "main"}, 192, with_fragile_orders);
  run_scenario(harness, R"(
    anna send 1 order
    box-1 expect serve 1
    box-1 send HIT 1 ver=a b
    anna expect served 1
    wait 19800
    bert send 1 order
    box-1 expect nothing
    bert expect failed 1
    wait 400
    bert send 1 order
    box-1 expect serve 1
  )");
}

}  // namespace
}  // namespace edge_proxy::test
