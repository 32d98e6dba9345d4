// SPDX-License-Identifier: MIT
// Ends of connections that are decided here, the room that each kind of connection has, and the end of the
// process: bytes may arrive in that instant. In virtual time here, over real connections in
// instants_test.cpp.
#include <gtest/gtest.h>

#include "support/virtual_time_harness.h"

namespace edge_proxy::test {
namespace {

// ---- Closing ----

TEST(Closing, EveryEndDecidedHereLetsTheClientReadOnAndServesNothingThatCrosses) {
  // By idleness, half a message, want of room and the end of the process.
  struct Case {
    const char *reason, *before;
  };
  for (const Case& c :
       {Case{"idle", "anna send probe 1\nanna expect ready 1\nwait 6200"},
        Case{"no_message", "anna send raw 00\nwait 2600"},
        Case{"stopping", "anna send probe 1\nanna expect ready 1\nedge send TERM\nwait 700"}}) {
    SCOPED_TRACE(c.reason);
    VirtualTimeHarness stage;
    run_scenario(stage, std::string("anna set keeps_open\n") + c.before + "\nanna expect closed");
    EXPECT_EQ(stage.log().find("closed kind=front"), std::string::npos) << "cut off, not ended in order";
    run_scenario(stage, "anna send 2 pages\nbox-1 expect nothing\nanna expect nothing\nwait 600");
    EXPECT_NE(stage.log().find(std::string("reason=") + c.reason), std::string::npos) << stage.log();
  }
}

TEST(Closing, ThoseThatMakeRoomCanReadOnWithinABound) {
  VirtualTimeHarness stage;
  for (int i = 0; i < 128; ++i) {
    const std::string client = "idle-" + std::to_string(i);
    run_scenario(stage,
                 client + " set keeps_open\n" + client + " send probe 1\n" + client + " expect ready 1");
  }
  run_scenario(stage, "anna send probe 1\nanna expect ready 1\nidle-0 expect closed");
  EXPECT_EQ(stage.log().find("too_many"), std::string::npos) << "cut off, not ended in order";
  for (int i = 0; i < 40; ++i) run_scenario(stage, "more-" + std::to_string(i) + " send probe 1");
  EXPECT_NE(stage.log().find("too_many"), std::string::npos);
  EXPECT_LE(stage.max_connection_count(), 128U + 16U + 2U);
}

// ---- Descriptors ----

TEST(Closing, AtEverySizeOfTheTableEachKindOfConnectionKeepsItsRoom) {
  for (const char* sockets : {"64", "256", "1024"}) {
    SCOPED_TRACE(sockets);
    static std::string size;
    size = sockets;
    std::vector<std::string> members{"up-1", "main"};
    for (int i = 1; i <= 4; ++i) members.push_back("box-" + std::to_string(i));
    VirtualTimeHarness stage(members, 192, [](std::string config) {
      const std::string key = R"("sockets":256)";
      return config.replace(config.find(key), key.size(), "\"sockets\":" + size);
    });
    const int limit = std::stoi(size);
    // Discovery is down, and clients come that rest.
    run_scenario(stage, "bulletin close refusing\nwait 3000");
    for (int i = 0; i < limit; ++i)
      run_scenario(stage, "idle-" + std::to_string(i) + " set keeps_open\nidle-" + std::to_string(i) +
                              " send probe 1");
    for (int i = 0; i < 40; ++i) run_scenario(stage, "ops-" + std::to_string(i) + " send raw 47");
    // Each cache is asked by a new caller, several times at once.
    for (int i = 1; i <= 20; ++i) {
      const std::string client = "anna-" + std::to_string(i);
      run_scenario(stage, client + " send " + std::to_string(i) + " video limit=5000");
    }
    EXPECT_LE(stage.max_connection_count(),
              static_cast<std::size_t>(limit - 14));  // the rest is the process's own
    run_scenario(stage, "wait 100\nnew send 999 order unique=k limit=3000\nwait 1");
    std::string asked;
    for (const std::string& member : members) asked += stage.take_received(member);
    EXPECT_NE(asked.find("serve 00000000000003e7"), std::string::npos)
        << "no room for a new caller's request";
    run_scenario(stage, "bulletin set normal\nwait 850\nbulletin expect get last=1");
  }
}

TEST(Closing, AnIdleConnectionToOneCacheMakesRoomForTheFirstToAnother) {
  std::vector<std::string> members{"up-1", "main"};
  for (int i = 1; i <= 20; ++i) members.push_back("box-" + std::to_string(i));
  VirtualTimeHarness stage(members, 192, [](std::string config) {
    const std::string key = R"("sockets":256)";
    return config.replace(config.find(key), key.size(), R"("sockets":64)");  // 8 of them to caches
  });
  int served = 0;
  for (int i = 1; i <= 60; ++i) {
    const std::string number = std::to_string(i), client = "anna-" + number;
    run_scenario(stage, client + " send " + number + " pages\nwait 1");
    for (const std::string& member : members) {
      if (stage.take_received(member).find("serve ") == std::string::npos) continue;
      run_scenario(stage, member + " send HIT " + number + " ver=a b");
      ++served;
    }
    run_scenario(stage, client + " expect served " + number + "\n" + client + " close\nwait 20");
  }
  EXPECT_EQ(served, 60);
}

TEST(Closing, AClientThatTheSystemGivesNoDescriptorForTakesTheIdlestsPlace) {
  VirtualTimeHarness stage;
  run_scenario(stage,
               "anna send probe 1\nanna expect ready 1\nwait 10\nbert send 1 pages\nbox-1 expect serve 1");
  stage.exhaust_descriptors();
  run_scenario(stage, "anna expect closed\nedge expect log closed kind=front conn=1 reason=too_many");
  stage.exhaust_descriptors();  // bert is owed an answer
  run_scenario(stage, "box-1 send HIT 1 ver=a b\nbert expect served 1");
}

/// A client asks, and never reads the answer.
constexpr const char* kNeverReads = R"(
    anna send 1 pages
    box-1 expect serve 1
    anna set not_reading
    box-1 send HIT 1 ver=a b
)";

TEST(Closing, AClientThatAsksAndNeverReadsIsCutOffOnceNobodyWaitsAnyLonger) {
  // Guards the descriptors: it would be taken for a busy one for ever. The longest deadline is 5 s.
  VirtualTimeHarness stage;
  run_scenario(stage, std::string(kNeverReads) + "wait 4900");
  EXPECT_FALSE(stage.is_closed("anna"));
  run_scenario(stage, "wait 200\nedge expect log closed kind=front conn=1 reason=backlog");
}

// ---- The end of the process ----

TEST(Closing, AClientThatNeverReadsDoesNotKeepTheProcessFromEnding) {
  VirtualTimeHarness stage;
  run_scenario(stage, std::string(kNeverReads) + "edge send TERM\nwait 3300");
  EXPECT_FALSE(stage.has_stopped());
  run_scenario(stage,
               "wait 350\nedge expect stopped\nedge expect log closed kind=front conn=1 reason=stopping");
}

}  // namespace
}  // namespace edge_proxy::test
