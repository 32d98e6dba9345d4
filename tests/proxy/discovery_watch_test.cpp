// SPDX-License-Identifier: MIT
// Tests of the discovery stream and of retries when several events coincide, in virtual time.
#include <gtest/gtest.h>

#include "support/virtual_time_harness.h"

namespace edge_proxy::test {
namespace {

/// Returns a scenario line with an event that marks the member as draining.
std::string drain_event(int no, const std::string& id) {
  return R"(bulletin send {"no":)" + std::to_string(no) +
         R"(,"roster":{"revision":2,"complete":false,"members":[)" + member_json(id, id + ":1", "leaving") +
         "]}}\n";
}

// ---- The discovery stream ----

TEST(DiscoveryStream, ReadsFromAServiceThatRespondsAfterHalfASecond) {
  // With a timeout shorter than the response time, the proxy would disconnect each time before the response
  // and never get the list.
  VirtualTimeHarness harness(std::vector<std::string>{});
  run_scenario(harness, "anna send probe 1\nanna expect unready 1");
  std::string unanswered_calls;
  for (int waited = 0; waited < 4000 && harness.log().find("list no=1") == std::string::npos; waited += 50) {
    unanswered_calls += harness.take_received("bulletin");
    if (unanswered_calls.empty()) {
      harness.wait(std::chrono::milliseconds(50));
      continue;
    }
    harness.wait(std::chrono::milliseconds(500));
    const std::string more = harness.take_received("bulletin");
    unanswered_calls = more;  // not empty if the proxy has reconnected: the first call is obsolete then
    if (!more.empty()) continue;
    run_scenario(harness,
                 "bulletin send head\nbulletin send "
                 R"({"no":1,"roster":{"revision":1,"complete":true,"members":[)" +
                     member_json("box-1", "box-1:1") + "]}}\n");
  }
  run_scenario(harness, "edge expect log list no=1 complete=1\nanna send probe 2\nanna expect ready 2");
}

TEST(DiscoveryStream, RequestsAPartlyReadEventAgainAfterAnAddressChange) {
  VirtualTimeHarness harness;
  run_scenario(harness, R"(
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

TEST(DiscoveryStream, ReconnectsIfNoLineIsCompleted) {
  // Such a connection must not count as alive, since drains and invalidations may be waiting.
  VirtualTimeHarness harness;
  run_scenario(harness, "bulletin expect get last=1\nbulletin send head\nbulletin send comment");
  std::string requests;
  int waited = 0;
  for (; waited < 6000 && requests.find("Last-Event-ID: 1") == std::string::npos; waited += 100) {
    harness.send("bulletin", ":");
    harness.wait(std::chrono::milliseconds(100));
    requests += harness.take_received("bulletin");
  }
  EXPECT_LE(waited, 5300);
  EXPECT_GE(waited, 4900) << "a long line may arrive in pieces";
  EXPECT_NE(harness.log().find("closed kind=bulletin"), std::string::npos);
}

/// Two requests share a connection that fails because of a malformed response, while another connection is
/// open. Both retries are due 10 ms later, but the event loop stalls for 200 ms.
void stall_before_retries(VirtualTimeHarness& harness) {
  run_scenario(harness, R"(
    bulletin expect get last=1
    bulletin send head
    anna send 1 pages
    box-1 expect serve 1
    bert send 2 pages
    box-1 expect serve 2
    box-1 send raw what is this
  )");
  harness.stall_event_loop(std::chrono::milliseconds(200));
  harness.deliver_unsplit();
}

TEST(DiscoveryStream, AppliesADrainBeforeADueRetry) {
  // An input that has arrived must be applied before expired timers.
  VirtualTimeHarness harness;
  stall_before_retries(harness);
  run_scenario(harness, drain_event(2, "box-1") +
                            "box-1 expect nothing\nanna expect refused 1\nbert expect refused 2");
}

TEST(DiscoveryStream, AppliesADisconnectBeforeADueRetry) {
  VirtualTimeHarness harness;
  stall_before_retries(harness);
  run_scenario(harness, "anna close\nwait 100\nbox-1 expect serve 2\nbox-1 expect nothing");
}

TEST(DiscoveryStream, ChecksQueuedRequestsAgainWhenTheyAreWritten) {
  VirtualTimeHarness harness;
  run_scenario(harness, R"(
    box-1 set delayed_connect
    anna send 1 video
    bert send 2 video
    carl send 3 video
    # the connection is established, but the cache reads nothing: one request is written, two are queued
    box-1 set not_reading
    box-1 expect serve 1
    box-1 expect nothing
    bert close
    box-1 set normal
    box-1 expect serve 3
    box-1 expect nothing
  )");
}

/// A request is being written to a cache that has served one request and has stopped reading.
constexpr const char* kStalledWrite = R"(
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

TEST(DiscoveryStream, ADrainClosesAConnectionWithAStalledRequest) {
  // If the member started to read again seconds later, it would start the request while draining.
  VirtualTimeHarness harness;
  run_scenario(harness, kStalledWrite);
  run_scenario(harness,
               drain_event(2, "box-1") + "edge expect log reason=stalled\nwait 20\nanna expect refused 2");
}

TEST(DiscoveryStream, ADrainingSourceAndAnInvalidationCloseAConnectionWithAStalledRequest) {
  for (const std::string& event :
       {drain_event(2, "up-1"),
        std::string(R"(bulletin send {"no":2,"recall":{"lot":17,"issued":1}})") + "\n"}) {
    VirtualTimeHarness harness;
    run_scenario(harness, kStalledWrite + event + "edge expect log reason=stalled");
  }
}

/// These return scenario lines with events that report the member as removed or as another process.
std::string removal_event(const std::string& id) {
  return R"(bulletin send {"no":2,"roster":{"revision":2,"complete":false,"members":[)" +
         member_json(id, id + ":1", "left") + "]}}\n";
}
std::string replacement_event(const std::string& id) {
  return R"(bulletin send {"no":2,"roster":{"revision":2,"complete":false,"members":[)" +
         member_json(id, id + ":1", "active", 1764576000123) + "]}}\n";
}

TEST(DiscoveryStream, ServesAnUnreadAnswerOfARemovedCache) {
  // The endpoint list is read before the answer, which is still unread when the cache is removed. The answer
  // must not be lost, and the keyed request must not count as one that may have run without an answer.
  for (const std::string& event : {removal_event("box-1"), replacement_event("box-1")}) {
    SCOPED_TRACE(event);
    VirtualTimeHarness harness;
    run_scenario(harness, "bulletin send head\nanna send 1 order unique=k\nbox-1 expect serve 1");
    harness.set_unread_bytes("box-1", "0000000000000001 HIT ver=a 1\r\nb\r\n");
    run_scenario(harness, event + "anna expect served 1 body=b\nedge expect log closed kind=member");
    EXPECT_EQ(harness.log().find("wrong request="), std::string::npos) << harness.log();
  }
}

TEST(DiscoveryStream, RetriesAfterAPartialAnswerOfARemovedCache) {
  // The removed cache gets no new attempts, and the rest of its answer is not waited for. The bytes that its
  // connection still delivers are not assigned to the next attempt.
  VirtualTimeHarness harness({"box-1", "box-2", "up-1", "main"});
  run_scenario(harness, "bulletin send head\nanna send 1 pages\nwait 1");
  const bool is_box_1 = !harness.take_received("box-1").empty();
  const std::string first = is_box_1 ? "box-1" : "box-2", other = is_box_1 ? "box-2" : "box-1";
  harness.set_unread_bytes(first, "0000000000000001 HIT ver=a 4\r\nhal");
  run_scenario(harness, removal_event(first) + "edge expect log reason=member_left requests=1\nwait 10\n" +
                            other + " expect serve 1\n" + other +
                            " send HIT 1 ver=a b\nanna expect served 1 body=b");
}

// ---- Retries ----

/// A keyed request may have run at one cache, and its retry waits for a connection to the other one. Returns
/// the name of the other cache.
std::string wait_for_retry(VirtualTimeHarness& harness, int failure_after_ms) {
  run_scenario(
      harness,
      "box-1 set delayed_connect\nbox-2 set delayed_connect\nanna send 1 order unique=k limit=3000\nwait 1");
  // If box-1 was selected, it gets the request as soon as its connection is established.
  run_scenario(harness, "box-1 set normal\nwait 1");
  const bool is_box_1 = harness.take_received("box-1").find("serve ") != std::string::npos;
  const std::string first = is_box_1 ? "box-1" : "box-2", other = is_box_1 ? "box-2" : "box-1";
  if (is_box_1) {
    run_scenario(harness, "wait " + std::to_string(failure_after_ms) + "\nbox-1 close reset\nwait 1");
  } else {
    run_scenario(harness, "box-1 set delayed_connect\nbox-2 set normal\nwait 1\nbox-2 expect serve 1\nwait " +
                              std::to_string(failure_after_ms) + "\nbox-2 close reset\nwait 1");
  }
  return other;
}

TEST(Retries, DoesNotWriteAKeyedRequestAfterItsWindow) {
  VirtualTimeHarness harness({"box-1", "box-2", "up-1", "up-2", "main"});
  const std::string other = wait_for_retry(harness, 1900);  // the window is 2 s
  run_scenario(harness, "wait 120\n" + other + " set normal\n" + other +
                            " expect nothing\nwait 1\nanna expect refused 1");
}

TEST(Retries, RetriesAKeyedRequestWithinItsWindow) {
  VirtualTimeHarness harness({"box-1", "box-2", "up-1", "up-2", "main"});
  const std::string other = wait_for_retry(harness, 1900);
  run_scenario(harness, "wait 60\n" + other + " set normal\n" + other + " expect serve 1 replay=k\n" + other +
                            " send HIT 1 ver=a b\nanna expect served 1");
}

TEST(Retries, ARepeatedAnswerIsNotAssignedToTheNextAttempt) {
  // If requests go straight to the origin, the next attempt goes to the same member. If the second answer
  // were assigned to that attempt, a third attempt would be sent while the second is outstanding.
  VirtualTimeHarness harness({"box-1", "up-1", "main"}, 192, [](std::string config) {
    const std::string key = R"("straight":false)";
    return config.replace(config.find(key), key.size(), R"("straight":true)");
  });
  run_scenario(harness, "anna send 1 order unique=k\nmain expect serve 1");
  const std::string shed = "0000000000000001 SHED - 0\r\n\r\n";
  harness.send("main", shed + shed);
  run_scenario(harness,
               "main expect serve 1\nmain expect nothing\nmain send HIT 1 ver=a b\nanna expect served 1");
}

}  // namespace
}  // namespace edge_proxy::test
