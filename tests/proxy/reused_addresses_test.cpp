// SPDX-License-Identifier: MIT
// A new process at the address of one that has gone is another endpoint: no connection, attempt or answer of
// the old one is taken for its own.
#include <gtest/gtest.h>

#include "support/virtual_time_harness.h"

namespace edge_proxy::test {
namespace {

/// Discovery's event by which box-1 leaves and a new process comes up at its address.
std::string replacement(int number) {
  return R"({"no":)" + std::to_string(number) + R"(,"roster":{"revision":)" + std::to_string(number) +
         R"(,"complete":false,"members":[)" +
         R"({"id":"box-1","host_port":"box-1:1","locality":"edge-1","flavor":"small-box",)" +
         R"("cell":1,"phase":"left","size":4,"up_since_ms":0},)" +
         R"({"id":"box-9","host_port":"box-1:1","locality":"edge-1","flavor":"small-box",)" +
         R"("cell":1,"phase":"active","size":4,"up_since_ms":0}]}})";
}

// Guards against requests for the old process that are written to the new one.
TEST(ReusedAddresses, QueuedRequestsOfTheOldProcessAreNotWrittenToTheNewOne) {
  VirtualTimeHarness harness({"box-1", "up-1", "main"});
  run_scenario(harness, "bulletin send head\nbox-1 set delayed_connect\nanna send 1 order unique=k\n");
  run_scenario(harness, "bulletin send " + replacement(2) + "\nbox-1 set normal\n");
  const std::vector<std::string> written = requested_ids(harness.take_received("box-1"));
  EXPECT_LE(written.size(), 1U) << "the request runs once, as a request of the new endpoint";
}

// Guards against an open attempt of the old process that is sent again to the new one, which can't know that
// it has run, and against its connection being used for the new endpoint.
TEST(ReusedAddresses, ConnectionsAndAnswersOfTheOldProcessEndWithIt) {
  VirtualTimeHarness harness({"box-1", "up-1", "main"});
  run_scenario(harness, R"(
    bulletin send head
    anna send 1 pages
    box-1 expect serve 1
  )");
  EXPECT_TRUE(harness.is_request_connection_open("box-1", "0000000000000001"));
  run_scenario(harness, "bulletin send " + replacement(2));
  EXPECT_FALSE(harness.is_request_connection_open("box-1", "0000000000000001"));
  run_scenario(harness, "edge expect log reason=member_left");
}

// Guards against a request that may have run in a process that has gone and is sent again to the one that
// came up at its address, before the list has told of it.
TEST(ReusedAddresses, ARequestThatMayHaveRunIsNotSentToANewProcessThatTheListHasNotToldOf) {
  VirtualTimeHarness harness({"box-1", "up-1", "main"}, 192, with_fragile_orders);
  run_scenario(harness, R"(
    bulletin send head
    anna send 1 order
    box-1 expect serve 1
    box-1 close reset
    wait 600
    box-1 expect nothing
    anna expect failed 1
  )");
}

std::string with_keys_known_in_one_cell(std::string config) {
  const std::string key = R"("group":"all")";
  return config.replace(config.find(key), key.size(), R"("group":"cell")");
}

// Guards against a keyed request that is sent again to such a process, which may not know the key.
TEST(ReusedAddresses, AKeyedRequestIsNotSentToANewProcessThatMayNotKnowItsKey) {
  VirtualTimeHarness harness({"box-1", "up-1", "main"}, 192, with_keys_known_in_one_cell);
  run_scenario(harness, R"(
    bulletin send head
    anna send 1 order unique=k
    box-1 expect serve 1
    box-1 close reset
    wait 600
    box-1 expect nothing
  )");
}

}  // namespace
}  // namespace edge_proxy::test
