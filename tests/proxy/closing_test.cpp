// SPDX-License-Identifier: MIT
// Ends of connections that are decided here, the room that each kind of connection has, and the end of the
// process: bytes may arrive in that instant. In virtual time here, over real connections in
// instants_test.cpp.
#include <gtest/gtest.h>

#include "support/virtual_stage.h"

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
    VirtualStage stage;
    play(stage, std::string("anna close stays\n") + c.before + "\nanna expect closed");
    EXPECT_EQ(stage.log().find("closed kind=front"), std::string::npos) << "cut off, not ended in order";
    play(stage, "anna send 2 pages\nbox-1 expect nothing\nanna expect nothing\nwait 600");
    EXPECT_NE(stage.log().find(std::string("reason=") + c.reason), std::string::npos) << stage.log();
  }
}

TEST(Closing, ThoseThatMakeRoomCanReadOnWithinABound) {
  VirtualStage stage;
  for (int i = 0; i < 128; ++i) {
    const std::string client = "idle-" + std::to_string(i);
    play(stage, client + " close stays\n" + client + " send probe 1\n" + client + " expect ready 1");
  }
  play(stage, "anna send probe 1\nanna expect ready 1\nidle-0 expect closed");
  EXPECT_EQ(stage.log().find("too_many"), std::string::npos) << "cut off, not ended in order";
  for (int i = 0; i < 40; ++i) play(stage, "more-" + std::to_string(i) + " send probe 1");
  EXPECT_NE(stage.log().find("too_many"), std::string::npos);
  EXPECT_LE(stage.most_connections(), 128U + 16U + 2U);
}

// ---- Descriptors ----

TEST(Closing, AtEverySizeOfTheTableEachKindOfConnectionKeepsItsRoom) {
  for (const char* sockets : {"64", "256", "1024"}) {
    SCOPED_TRACE(sockets);
    static std::string size;
    size = sockets;
    std::vector<std::string> members{"up-1", "main"};
    for (int i = 1; i <= 4; ++i) members.push_back("box-" + std::to_string(i));
    VirtualStage stage(members, 192, [](std::string config) {
      const std::string key = R"("sockets":256)";
      return config.replace(config.find(key), key.size(), "\"sockets\":" + size);
    });
    const int limit = std::stoi(size);
    // Discovery is down, and clients come that rest.
    play(stage, "bulletin close refusing\nwait 3000");
    for (int i = 0; i < limit; ++i)
      play(stage, "idle-" + std::to_string(i) + " close stays\nidle-" + std::to_string(i) + " send probe 1");
    for (int i = 0; i < 40; ++i) play(stage, "ops-" + std::to_string(i) + " send raw 47");
    // Each cache is asked by a new caller, several times at once.
    for (int i = 1; i <= 20; ++i) {
      const std::string client = "anna-" + std::to_string(i);
      play(stage, client + " send " + std::to_string(i) + " video limit=5000");
    }
    EXPECT_LE(stage.most_connections(),
              static_cast<std::size_t>(limit - 14));  // the rest is the process's own
    play(stage, "wait 100\nnew send 999 order unique=k limit=3000\nwait 1");
    std::string asked;
    for (const std::string& member : members) asked += stage.received(member);
    EXPECT_NE(asked.find("serve 00000000000003e7"), std::string::npos)
        << "no room for a new caller's request";
    play(stage, "bulletin close not\nwait 850\nbulletin expect get last=1");
  }
}

TEST(Closing, AnIdleConnectionToOneCacheMakesRoomForTheFirstToAnother) {
  std::vector<std::string> members{"up-1", "main"};
  for (int i = 1; i <= 20; ++i) members.push_back("box-" + std::to_string(i));
  VirtualStage stage(members, 192, [](std::string config) {
    const std::string key = R"("sockets":256)";
    return config.replace(config.find(key), key.size(), R"("sockets":64)");  // 8 of them to caches
  });
  int served = 0;
  for (int i = 1; i <= 60; ++i) {
    const std::string number = std::to_string(i), client = "anna-" + number;
    play(stage, client + " send " + number + " pages\nwait 1");
    for (const std::string& member : members) {
      if (stage.received(member).find("serve ") == std::string::npos) continue;
      play(stage, member + " send HIT " + number + " ver=a b");
      ++served;
    }
    play(stage, client + " expect served " + number + "\n" + client + " close\nwait 20");
  }
  EXPECT_EQ(served, 60);
}

TEST(Closing, AClientThatTheSystemGivesNoDescriptorForTakesTheIdlestsPlace) {
  VirtualStage stage;
  play(stage, "anna send probe 1\nanna expect ready 1\nwait 10\nbert send 1 pages\nbox-1 expect serve 1");
  stage.run_out_of_descriptors();
  play(stage, "anna expect closed\nedge expect log closed kind=front conn=1 reason=too_many");
  stage.run_out_of_descriptors();  // bert is owed an answer
  play(stage, "box-1 send HIT 1 ver=a b\nbert expect served 1");
}

/// A client asks, and never reads the answer.
constexpr const char* kNeverReads = R"(
    anna send 1 pages
    box-1 expect serve 1
    anna close deaf
    box-1 send HIT 1 ver=a b
)";

TEST(Closing, AClientThatAsksAndNeverReadsIsCutOffOnceNobodyWaitsAnyLonger) {
  // Guards the descriptors: it would be taken for a busy one for ever. The longest deadline is 5 s.
  VirtualStage stage;
  play(stage, std::string(kNeverReads) + "wait 4900");
  EXPECT_FALSE(stage.closed("anna"));
  play(stage, "wait 200\nedge expect log closed kind=front conn=1 reason=backlog");
}

// ---- The end of the process ----

TEST(Closing, AClientThatNeverReadsDoesNotKeepTheProcessFromEnding) {
  VirtualStage stage;
  play(stage, std::string(kNeverReads) + "edge send TERM\nwait 3300");
  EXPECT_FALSE(stage.stopped());
  play(stage, "wait 350\nedge expect stopped\nedge expect log closed kind=front conn=1 reason=stopping");
}

}  // namespace
}  // namespace edge_proxy::test
