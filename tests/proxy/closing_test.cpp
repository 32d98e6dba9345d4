// SPDX-License-Identifier: MIT
// Tests of connections that the proxy closes, of the limits for each kind of connection, and of the shutdown,
// in virtual time. Bytes may arrive at the moment of a close. instants_test.cpp has similar tests over real
// connections.
#include <gtest/gtest.h>

#include "support/virtual_time_harness.h"

namespace edge_proxy::test {
namespace {

// ---- Closing ----

TEST(Closing, AClosingConnectionLetsTheClientReadAndServesNoLateRequest) {
  // The reasons are an idle connection, an incomplete message and the shutdown.
  struct Case {
    const char *reason, *scenario;
  };
  for (const Case& test_case :
       {Case{"idle", "anna send probe 1\nanna expect ready 1\nwait 6200"},
        Case{"no_message", "anna send raw 00\nwait 2600"},
        Case{"stopping", "anna send probe 1\nanna expect ready 1\nedge send TERM\nwait 700"}}) {
    SCOPED_TRACE(test_case.reason);
    VirtualTimeHarness harness;
    run_scenario(harness, std::string("anna set keeps_open\n") + test_case.scenario + "\nanna expect closed");
    EXPECT_EQ(harness.log().find("closed kind=front"), std::string::npos)
        << "disconnected without a graceful close";
    run_scenario(harness, "anna send 2 pages\nbox-1 expect nothing\nanna expect nothing\nwait 600");
    EXPECT_NE(harness.log().find(std::string("reason=") + test_case.reason), std::string::npos)
        << harness.log();
  }
}

TEST(Closing, DisconnectedIdleClientsCanReadWithinALimit) {
  VirtualTimeHarness harness;
  for (int i = 0; i < 128; ++i) {
    const std::string client = "idle-" + std::to_string(i);
    run_scenario(harness,
                 client + " set keeps_open\n" + client + " send probe 1\n" + client + " expect ready 1");
  }
  run_scenario(harness, "anna send probe 1\nanna expect ready 1\nidle-0 expect closed");
  EXPECT_EQ(harness.log().find("too_many"), std::string::npos) << "disconnected without a graceful close";
  for (int i = 0; i < 40; ++i) run_scenario(harness, "more-" + std::to_string(i) + " send probe 1");
  EXPECT_NE(harness.log().find("too_many"), std::string::npos);
  EXPECT_LE(harness.max_connection_count(), 128U + 16U + 2U);
}

// ---- Descriptors ----

TEST(Closing, EachKindOfConnectionKeepsItsShareAtEveryDescriptorLimit) {
  for (const char* sockets : {"64", "256", "1024"}) {
    SCOPED_TRACE(sockets);
    static std::string descriptor_limit;
    descriptor_limit = sockets;
    std::vector<std::string> members{"up-1", "main"};
    for (int i = 1; i <= 4; ++i) members.push_back("box-" + std::to_string(i));
    VirtualTimeHarness harness(members, 192, [](std::string config) {
      const std::string key = R"("sockets":256)";
      return config.replace(config.find(key), key.size(), "\"sockets\":" + descriptor_limit);
    });
    const int limit = std::stoi(descriptor_limit);
    // The discovery service is down, and idle clients connect.
    run_scenario(harness, "bulletin close refusing\nwait 3000");
    for (int i = 0; i < limit; ++i)
      run_scenario(harness, "idle-" + std::to_string(i) + " set keeps_open\nidle-" + std::to_string(i) +
                                " send probe 1");
    for (int i = 0; i < 40; ++i) run_scenario(harness, "ops-" + std::to_string(i) + " send raw 47");
    // New clients send several concurrent requests to each cache.
    for (int i = 1; i <= 20; ++i) {
      const std::string client = "anna-" + std::to_string(i);
      run_scenario(harness, client + " send " + std::to_string(i) + " video limit=5000");
    }
    EXPECT_LE(harness.max_connection_count(),
              static_cast<std::size_t>(limit - 14));  // the others are reserved for the process
    run_scenario(harness, "wait 100\nnew send 999 order unique=k limit=3000\nwait 1");
    std::string requests;
    for (const std::string& member : members) requests += harness.take_received(member);
    EXPECT_NE(requests.find("serve 00000000000003e7"), std::string::npos)
        << "no connection for the request of a new client";
    run_scenario(harness, "bulletin set normal\nwait 850\nbulletin expect get last=1");
  }
}

TEST(Closing, AnIdleCacheConnectionIsClosedForTheFirstConnectionToAnotherCache) {
  std::vector<std::string> members{"up-1", "main"};
  for (int i = 1; i <= 20; ++i) members.push_back("box-" + std::to_string(i));
  VirtualTimeHarness harness(members, 192, [](std::string config) {
    const std::string key = R"("sockets":256)";
    return config.replace(config.find(key), key.size(), R"("sockets":64)");  // of which 8 are for caches
  });
  int served = 0;
  for (int i = 1; i <= 60; ++i) {
    const std::string number = std::to_string(i), client = "anna-" + number;
    run_scenario(harness, client + " send " + number + " pages\nwait 1");
    for (const std::string& member : members) {
      if (harness.take_received(member).find("serve ") == std::string::npos) continue;
      run_scenario(harness, member + " send HIT " + number + " ver=a b");
      ++served;
    }
    run_scenario(harness, client + " expect served " + number + "\n" + client + " close\nwait 20");
  }
  EXPECT_EQ(served, 60);
}

TEST(Closing, WithoutFreeDescriptorsTheLongestIdleClientIsDisconnected) {
  VirtualTimeHarness harness;
  run_scenario(harness,
               "anna send probe 1\nanna expect ready 1\nwait 10\nbert send 1 pages\nbox-1 expect serve 1");
  harness.exhaust_descriptors();
  run_scenario(harness, "anna expect closed\nedge expect log closed kind=front conn=1 reason=too_many");
  harness.exhaust_descriptors();  // bert has a pending request
  run_scenario(harness, "box-1 send HIT 1 ver=a b\nbert expect served 1");
}

/// A client sends a request and never reads the answer.
constexpr const char* kUnreadAnswer = R"(
    anna send 1 pages
    box-1 expect serve 1
    anna set not_reading
    box-1 send HIT 1 ver=a b
)";

TEST(Closing, AClientThatNeverReadsIsDisconnectedAfterTheLongestDeadline) {
  // The client would otherwise count as busy and keep its descriptor forever. The longest deadline is 5 s.
  VirtualTimeHarness harness;
  run_scenario(harness, std::string(kUnreadAnswer) + "wait 4900");
  EXPECT_FALSE(harness.is_closed("anna"));
  run_scenario(harness, "wait 200\nedge expect log closed kind=front conn=1 reason=backlog");
}

// ---- Shutdown ----

TEST(Closing, AClientThatNeverReadsDoesNotKeepTheProcessFromExiting) {
  VirtualTimeHarness harness;
  run_scenario(harness, std::string(kUnreadAnswer) + "edge send TERM\nwait 3300");
  EXPECT_FALSE(harness.has_stopped());
  run_scenario(harness,
               "wait 350\nedge expect stopped\nedge expect log closed kind=front conn=1 reason=stopping");
}

}  // namespace
}  // namespace edge_proxy::test
