// SPDX-License-Identifier: MIT
// The watch on the list and repeated attempts at rare moments, in virtual time.
#include <gtest/gtest.h>

#include "support/virtual_time_harness.h"

namespace edge_proxy::test {
namespace {

std::string draining(int no, const std::string& id) {
  return R"(bulletin send {"no":)" + std::to_string(no) +
         R"(,"roster":{"revision":2,"complete":false,"members":[)" + member_json(id, id + ":1", "leaving") +
         "]}}\n";
}

// ---- The watch ----

TEST(Watch, ABulletinThatTakesHalfASecondToAnswerIsReadAllTheSame) {
  // Guards against hanging up on it each time before it has spoken: the list would never come.
  VirtualTimeHarness stage(std::vector<std::string>{});
  run_scenario(stage, "anna send probe 1\nanna expect unready 1");
  std::string told;
  for (int waited = 0; waited < 4000 && stage.log().find("list no=1") == std::string::npos; waited += 50) {
    told += stage.take_received("bulletin");
    const std::size_t calls = told.size();
    if (calls == 0) {
      stage.wait(std::chrono::milliseconds(50));
      continue;
    }
    stage.wait(std::chrono::milliseconds(500));
    const std::string more = stage.take_received("bulletin");
    told = more;  // it has hung up and called again: the answer to the first call comes to nothing
    if (!more.empty()) continue;
    run_scenario(stage,
                 "bulletin send head\nbulletin send "
                 R"({"no":1,"roster":{"revision":1,"complete":true,"members":[)" +
                     member_json("box-1", "box-1:1") + "]}}\n");
  }
  run_scenario(stage, "edge expect log list no=1 complete=1\nanna send probe 2\nanna expect ready 2");
}

TEST(Watch, AnEventThatIsHalfReadWhenTheBulletinMovesIsAskedForAnew) {
  VirtualTimeHarness stage;
  run_scenario(stage, R"(
    bulletin expect get last=1
    bulletin send head
    bulletin send raw id: 2\ndata: {"no":2,"recall":{"lot":17,
    edge send HUP bulletin-2
    bulletin-2 expect get last=1
    bulletin-2 send head
    bulletin-2 send {"no":2,"recall":{"lot":17,"issued":1}}
    bulletin-2 send {"no":3,"recall":{"lot":18,"issued":1}}
    bulletin-2 close
    wait 1000
    bulletin-2 expect get last=3
  )");
}

TEST(Watch, OneThatBringsBytesAndNeverEndsALineIsAskedAnew) {
  // Guards against taking it for alive: drains and purges wait in the bulletin.
  VirtualTimeHarness stage;
  run_scenario(stage, "bulletin expect get last=1\nbulletin send head\nbulletin send comment");
  std::string asked;
  int waited = 0;
  for (; waited < 6000 && asked.find("Last-Event-ID: 1") == std::string::npos; waited += 100) {
    stage.send("bulletin", ":");
    stage.wait(std::chrono::milliseconds(100));
    asked += stage.take_received("bulletin");
  }
  EXPECT_LE(waited, 5300);
  EXPECT_GE(waited, 4900) << "a long line may come in pieces";
  EXPECT_NE(stage.log().find("closed kind=bulletin"), std::string::npos);
}

/// Two requests share a connection whose stream breaks; another one is up. Both are to be asked again 10 ms
/// later, and 200 ms pass in which the program has no time.
void stand_before_a_repeat(VirtualTimeHarness& stage) {
  run_scenario(stage, R"(
    bulletin expect get last=1
    bulletin send head
    anna send 1 pages
    box-1 expect serve 1
    bert send 2 pages
    box-1 expect serve 2
    box-1 send raw what is this
  )");
  stage.stall_event_loop(std::chrono::milliseconds(200));
  stage.deliver_unsplit();
}

TEST(Watch, ADrainThatComesWithAnAttemptThatIsDueBindsIt) {
  // Guards against what is due going before what has come.
  VirtualTimeHarness stage;
  stand_before_a_repeat(stage);
  run_scenario(stage,
               draining(2, "box-1") + "box-1 expect nothing\nanna expect refused 1\nbert expect refused 2");
}

TEST(Watch, AClientsEndThatComesWithAnAttemptThatIsDueBindsIt) {
  VirtualTimeHarness stage;
  stand_before_a_repeat(stage);
  run_scenario(stage, "anna close\nwait 100\nbox-1 expect serve 2\nbox-1 expect nothing");
}

TEST(Watch, WhatWaitsBehindARequestThatIsNotTakenIsRecheckedWhenItIsWritten) {
  VirtualTimeHarness stage;
  run_scenario(stage, R"(
    box-1 set delayed_connect
    anna send 1 video
    bert send 2 video
    carl send 3 video
    # it comes up and reads nothing: one request is on its way, the others can still be taken back
    box-1 set not_reading
    box-1 expect serve 1
    box-1 expect nothing
    bert close
    box-1 set normal
    box-1 expect serve 3
    box-1 expect nothing
  )");
}

/// A request is on its way to a cache that has served one and reads nothing any more.
constexpr const char* kStuck = R"(
    bulletin expect get last=1
    bulletin send head
    anna send 1 pages
    box-1 expect serve 1
    box-1 send HIT 1 ver=a b
    anna expect served 1
    box-1 set not_reading
    anna send 2 pages
    box-1 expect serve 2 from=up-1
)";

TEST(Watch, ADrainEndsTheConnectionOnWhichARequestIsStuck) {
  // Guards the drain: the member reads again seconds later, and the request would begin then.
  VirtualTimeHarness stage;
  run_scenario(stage, kStuck);
  run_scenario(stage,
               draining(2, "box-1") + "edge expect log reason=stalled\nwait 20\nanna expect refused 2");
}

TEST(Watch, ADrainingSourceAndAPurgeEndItToo) {
  for (const std::string& news :
       {draining(2, "up-1"),
        std::string(R"(bulletin send {"no":2,"recall":{"lot":17,"issued":1}})") + "\n"}) {
    VirtualTimeHarness stage;
    run_scenario(stage, kStuck + news + "edge expect log reason=stalled");
  }
}

/// The list says that this member has gone, or is another process now.
std::string gone(const std::string& id) {
  return R"(bulletin send {"no":2,"roster":{"revision":2,"complete":false,"members":[)" +
         member_json(id, id + ":1", "left") + "]}}\n";
}
std::string replaced(const std::string& id) {
  return R"(bulletin send {"no":2,"roster":{"revision":2,"complete":false,"members":[)" +
         member_json(id, id + ":1", "active", 1764576000123) + "]}}\n";
}

TEST(Watch, AnAnswerThatCameWithTheNewsThatItsCacheIsGoneIsServed) {
  // The list is read first. Guards the answer, which is not read yet then, and a keyed request against being
  // taken for one that may have run and gave nothing.
  for (const std::string& news : {gone("box-1"), replaced("box-1")}) {
    SCOPED_TRACE(news);
    VirtualTimeHarness stage;
    run_scenario(stage, "bulletin send head\nanna send 1 order unique=k\nbox-1 expect serve 1");
    stage.set_unread_bytes("box-1", "0000000000000001 HIT ver=a 1\r\nb\r\n");
    run_scenario(stage, news + "anna expect served 1 body=b\nedge expect log closed kind=member");
    EXPECT_EQ(stage.log().find("wrong request="), std::string::npos) << stage.log();
  }
}

TEST(Watch, WhatACacheThatIsGoneHasNotAnsweredWhollyMayHaveRun) {
  // Guards the rules on drains and repeats: nothing new goes there, and what has not come by now is not
  // waited for. What the connection still brings is no answer to the further attempt.
  VirtualTimeHarness stage({"box-1", "box-2", "up-1", "main"});
  run_scenario(stage, "bulletin send head\nanna send 1 pages\nwait 1");
  const bool one = !stage.take_received("box-1").empty();
  const std::string first = one ? "box-1" : "box-2", other = one ? "box-2" : "box-1";
  stage.set_unread_bytes(first, "0000000000000001 HIT ver=a 4\r\nhal");
  run_scenario(stage, gone(first) + "edge expect log reason=member_left requests=1\nwait 10\n" + other +
                          " expect serve 1\n" + other + " send HIT 1 ver=a b\nanna expect served 1 body=b");
}

// ---- Repeats ----

/// An order that may have run at one cache; the other one's connections come up late.
std::string repeat_waits(VirtualTimeHarness& stage, int fails_after) {
  run_scenario(
      stage,
      "box-1 set delayed_connect\nbox-2 set delayed_connect\nanna send 1 order unique=k limit=3000\nwait 1");
  // Whichever was chosen has a connection coming up; the one that is let up first is not the other.
  run_scenario(stage, "box-1 set normal\nwait 1");
  const bool one = stage.take_received("box-1").find("serve ") != std::string::npos;
  const std::string first = one ? "box-1" : "box-2", other = one ? "box-2" : "box-1";
  if (one) {
    run_scenario(stage, "wait " + std::to_string(fails_after) + "\nbox-1 close reset\nwait 1");
  } else {
    run_scenario(stage, "box-1 set delayed_connect\nbox-2 set normal\nwait 1\nbox-2 expect serve 1\nwait " +
                            std::to_string(fails_after) + "\nbox-2 close reset\nwait 1");
  }
  return other;
}

TEST(Repeats, AKeyedRequestThatWaitsUntilAfterItsWindowIsNotWritten) {
  VirtualTimeHarness stage({"box-1", "box-2", "up-1", "up-2", "main"});
  const std::string other = repeat_waits(stage, 1900);  // the window is 2 s
  run_scenario(stage, "wait 120\n" + other + " set normal\n" + other +
                          " expect nothing\nwait 1\nanna expect refused 1");
}

TEST(Repeats, AKeyedRequestIsRepeatedWithinItsWindow) {
  VirtualTimeHarness stage({"box-1", "box-2", "up-1", "up-2", "main"});
  const std::string other = repeat_waits(stage, 1900);
  run_scenario(stage, "wait 60\n" + other + " set normal\n" + other + " expect serve 1 replay=k\n" + other +
                          " send HIT 1 ver=a b\nanna expect served 1");
}

TEST(Repeats, ASecondAnswerIsNotTakenForThatOfTheNextAttempt) {
  // Where requests go straight to the origin, the next attempt goes to the same member. Taken for its own,
  // the second answer would let a third attempt out beside the second.
  VirtualTimeHarness stage({"box-1", "up-1", "main"}, 192, [](std::string config) {
    const std::string key = R"("straight":false)";
    return config.replace(config.find(key), key.size(), R"("straight":true)");
  });
  run_scenario(stage, "anna send 1 order unique=k\nmain expect serve 1");
  const std::string shed = "0000000000000001 SHED - 0\r\n\r\n";
  stage.send("main", shed + shed);
  run_scenario(stage,
               "main expect serve 1\nmain expect nothing\nmain send HIT 1 ver=a b\nanna expect served 1");
}

}  // namespace
}  // namespace edge_proxy::test
