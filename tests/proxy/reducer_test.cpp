// SPDX-License-Identifier: MIT
// Tests the reducer of the proxy in virtual time. scenario.h describes the language of the scenarios.
#include <gtest/gtest.h>

#include <fstream>
#include <random>

#include "support/reducer_scenarios.h"

namespace edge_proxy::test {
namespace {

// ---- Served requests ----

TEST(Reducer, RequestFieldsReachTheCacheUnchanged) {
  run_scenario(R"(
    anna send 1 pages piece=5 ver=tag9 unique=k1
    box-1 expect serve 1 profile=pages thing=0000000000000001 nth=5 seen=tag9 replay=k1 from=up-1 max=2490 rank=1 oldest=8000 mode=collapse+refresh
    box-1 send HIT 1 ver=t1,born=5 all the bytes
    anna expect served 1 !unchanged body=all the bytes
    anna expect nothing
  )");
}

TEST(Reducer, ResponseBodyReachesTheClientUnchanged) {
  VirtualTimeHarness harness;
  run_scenario(harness, "anna send 1 pages\nbox-1 expect serve 1");
  std::string body = "a\r\nb c=,\0 serve 9 - 0\r\n";
  body += std::string(1000, '\xff');
  harness.send("box-1",
               "0000000000000001 HIT ver=t1 " + std::to_string(body.size()) + "\r\n" + body + "\r\n");
  EXPECT_NE(harness.take_received("anna").find(body), std::string::npos);
}

TEST(Reducer, ValidClientCopyIsAnsweredNotModified) {
  run_scenario(R"(
    anna send 1 pages ver=t1
    box-1 expect serve 1 seen=t1
    box-1 send VALID 1 ver=t1,born=5
    anna expect served 1 unchanged=1 ver=t1 body=
  )");
}

TEST(Reducer, NotModifiedResponseWithoutClientCopyIsRetried) {
  run_scenario(R"(
    anna send 1 pages
    box-1 expect serve 1
    box-1 send VALID 1 ver=t1,born=5
    box-1 expect serve 1
    box-1 send HIT 1 ver=t1,born=5 b
    anna expect served 1 !unchanged body=b
  )");
}

TEST(Reducer, UncacheableRequestReachesTheCacheWithKeyBodyAndOrigin) {
  run_scenario(R"(
    anna send 1 order unique=5c0f6e1a body=two books
    box-1 expect serve 1 profile=order replay=5c0f6e1a from=main !mode body=two books
    box-1 send HIT 1 ver=t1,born=5 done
    anna expect served 1 body=done
  )");
}

TEST(Reducer, ResponsesInAnotherOrderReachTheirRequests) {
  run_scenario(R"(
    anna send 1 pages
    anna send 2 pages
    box-1 expect serve 1
    box-1 expect serve 2
    box-1 send HIT 2 ver=b two
    box-1 send HIT 1 ver=a one
    anna expect served 2 body=two
    anna expect served 1 body=one
  )");
}

// ---- Rejected, expired and cancelled requests ----

TEST(Reducer, RequestWithoutFurtherAttemptsIsRejectedAtOnceWithRetryAfter) {
  run_scenario(R"(
    anna send 1 pages
    box-1 expect serve 1
    box-1 send SHED 1
    anna expect refused 1 later=*
    anna expect nothing
  )");
}

TEST(Reducer, LostKeyedRequestIsNotRetriedAfterTheDeduplicationWindow) {
  run_scenario(R"(
    anna send 1 order unique=k limit=3000
    box-1 expect serve 1
    wait 2100
    box-1 close reset
    box-1 expect nothing
    box-2 expect nothing
    anna expect refused 1
  )");
}

TEST(Reducer, UnansweredAttemptIsRejectedBeforeTheClientLimit) {
  run_scenario(R"(
    anna send 1 order unique=k limit=1000
    box-1 expect serve 1
    wait 985
    anna expect nothing
    wait 10
    anna expect refused 1
    box-1 expect cancel 1
    # a late answer is dropped
    box-1 send HIT 1 ver=a late
    anna expect nothing
  )");
}

TEST(Reducer, CancelledRequestGetsNoAnswerAndItsAttemptIsCancelled) {
  run_scenario(R"(
    anna send 1 pages
    box-1 expect serve 1
    anna send giveUp 1
    box-1 expect cancel 1
    box-1 send HIT 1 ver=a late
    anna expect nothing
    # a cancel of an unknown call is ignored
    anna send giveUp 99
    anna send 2 pages
    box-1 expect serve 2
  )");
}

TEST(Reducer, ClosedClientConnectionCancelsItsAttempts) {
  run_scenario(R"(
    anna send 1 pages
    box-1 expect serve 1
    anna close
    box-1 expect cancel 1
    edge expect log closed kind=front conn=1 reason=peer_closed requests=1
  )");
}

// ---- Failed attempts and connections ----

TEST(Reducer, CacheMissIsRetriedAtAnotherCache) {
  VirtualTimeHarness harness({"box-1", "box-2", "up-1", "up-2", "main"});
  run_scenario(harness, "anna send 1 pages\nwait 1");
  const std::string first = harness.take_received("box-1").empty() ? "box-2" : "box-1";
  const std::string other = first == "box-1" ? "box-2" : "box-1";
  run_scenario(harness, first + " send NONE 1\n" + other + " expect serve 1\n" + other +
                            " send HIT 1 ver=a b\n" + "anna expect served 1 body=b\n");
}

TEST(Reducer, RefusedConnectionRejectsAKeyedRequestAtOnce) {
  run_scenario(R"(
    box-1 close refusing
    anna send 1 order unique=k
    anna expect refused 1
    edge expect log reason=connect_refused
  )");
}

TEST(Reducer, UnansweredConnectTimesOut) {
  run_scenario(R"(
    box-1 set silent
    anna send 1 pages
    wait 399
    anna expect nothing
    wait 2
    anna expect refused 1
    edge expect log reason=connect_timeout
  )");
}

TEST(Reducer, MalformedResponseClosesOnlyItsConnection) {
  run_scenario(R"(
    anna send 1 pages
    box-1 expect serve 1
    box-1 send raw what is this
    edge expect log reason=bad_answer
    wait 20
    # the request is idempotent and the cache is not ejected, so the attempt is repeated there
    box-1 expect serve 1
    box-1 send HIT 1 ver=a b
    anna expect served 1 body=b
    anna send 2 pages
    box-1 expect serve 2
  )");
}

TEST(Reducer, MalformedResponseLosesNoOtherRequest) {
  // One malformed response must not lose other requests that share the connection.
  VirtualTimeHarness harness;
  run_scenario(
      harness,
      "anna send 1 video\nbox-1 expect serve 1\nanna send 2 video\nbox-1 expect serve 2\n" +
          std::string("anna send 3 video\nbox-1 expect serve 3\nanna send 4 video\nbox-1 expect serve 4\n") +
          "box-1 send HIT 1 ver=a b\nbox-1 send HIT 2 ver=a b\nbox-1 send HIT 3 ver=a b\n" +
          "box-1 send HIT 4 ver=a b\nanna expect served 1\nanna expect served 2\nanna expect served 3\n" +
          "anna expect served 4\n");
  // At least two connections are established and idle now.
  run_scenario(harness, R"(
    anna send 5 video
    box-1 expect serve 5
    anna send 6 order unique=k
    box-1 expect serve 6
    box-1 send raw 0000000000000005 HIT what is this
    wait 15
    box-1 expect serve 5
    box-1 expect nothing
    box-1 send HIT 6 ver=a b
    anna expect served 6
  )");
}

TEST(Reducer, SilentConnectionWithTimedOutAttemptsGetsNoNewRequest) {
  // The connections to a machine that has vanished stay open but silent.
  run_scenario(R"(
    anna send 1 pages limit=600
    box-1 expect serve 1
    wait 600
    box-1 expect cancel 1
    anna expect refused 1
    box-1 set silent
    wait 2000
    edge expect log reason=silent
    anna send 2 pages
    box-1 expect nothing
    wait 410
    anna expect refused 2
  )");
}

TEST(Reducer, ConnectTimeoutClosesSilentConnectionsToThatEndpoint) {
  // Requests on a machine that has vanished must not wait until their clients time out.
  run_scenario(R"(
    anna send 1 video limit=5000
    box-1 expect serve 1
    box-1 set silent
    wait 1000
    anna send 2 video limit=5000
    box-1 expect nothing
    anna expect nothing
    wait 402
    anna expect refused 2
    edge expect log reason=connect_timeout
    edge expect log reason=silent
    wait 11
    anna expect refused 1
  )");
}

TEST(Reducer, IdleEndpointConnectionIsClosedBeforeTheCacheClosesIt) {
  run_scenario(R"(
    anna send 1 pages
    box-1 expect serve 1
    box-1 send HIT 1 ver=a b
    wait 27900
    bulletin send comment
    wait 300
    edge expect log closed kind=member conn=4 reason=idle
  )");
}

// ---- Endpoint lists ----

TEST(Reducer, ProxyIsReadyOnlyAfterACompleteEndpointList) {
  run_scenario(R"(
    anna send probe 1
    anna expect unready 1
    bulletin expect get last=0
    bulletin send head
    )" + endpoint_list_event(1, member_json("box-1", "box-1:1") + "," + member_json("main", "main:1"), true) +
                   R"(
    anna send probe 2
    anna expect ready 2
  )",
               {});
}

TEST(Reducer, QueuedRequestIsNotSentToADrainingCache) {
  // The request is queued while its connection is being established, and the cache starts draining meanwhile.
  VirtualTimeHarness harness;
  run_scenario(harness, "bulletin send head\nbox-1 set silent\nanna send 1 pages\n" +
                            endpoint_list_event(2, member_json("box-1", "box-1:1", "leaving")) +
                            "anna expect refused 1\nwait 2000\n" + "box-1 expect nothing\n");
}

TEST(Reducer, QueuedRequestWithADrainingSourceIsRejected) {
  VirtualTimeHarness harness;
  run_scenario(harness, "bulletin send head\nbox-1 set silent\nanna send 1 pages\n" +
                            endpoint_list_event(2, member_json("up-1", "up-1:1", "leaving")) +
                            "anna expect refused 1\n");
}

TEST(Reducer, DrainingCacheCompletesItsRequests) {
  VirtualTimeHarness harness;
  run_scenario(
      harness,
      "bulletin send head\nanna send 1 pages\nbox-1 expect serve 1\n" +
          endpoint_list_event(2, member_json("box-1", "box-1:1", "leaving")) +
          "box-1 send HIT 1 ver=a b\nanna expect served 1\nwait 200\nedge expect log reason=member_left\n");
}

TEST(Reducer, NewCacheAtAReusedAddressGetsItsOwnConnections) {
  VirtualTimeHarness harness;
  run_scenario(
      harness,
      "bulletin send head\nanna send 1 pages\nbox-1 expect serve 1\nbox-1 send HIT 1 ver=a b\n" +
          endpoint_list_event(
              2, member_json("box-1", "box-1:1", "left") + "," + member_json("box-9", "box-1:1")) +
          "edge expect log closed kind=member conn=4 reason=member_left\nanna expect served 1\n" +
          "anna send 2 pages\nbox-1 expect serve 2\nbox-1 send HIT 2 ver=a b\nanna expect served 2\n");
}

TEST(Reducer, ConnectionsFromBeforeACacheRestartAreClosed) {
  VirtualTimeHarness harness;
  const auto up_since = std::chrono::duration_cast<std::chrono::milliseconds>(harness.now()).count() - 60000;
  run_scenario(harness, "bulletin send head\nanna send 1 pages\nbox-1 expect serve 1\n" +
                            endpoint_list_event(2, member_json("box-1", "box-1:1", "active", up_since)) +
                            "edge expect log reason=member_replaced\nwait 20\nanna expect refused 1\n");
}

// ---- Invalidations ----

TEST(Reducer, InvalidationLimitsTheCopyAgeOfLaterRequests) {
  VirtualTimeHarness harness;
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(harness.now()).count();
  run_scenario(
      harness,
      "bulletin send head\nbulletin send {\"no\":2,\"recall\":{\"item\":\"0000000000000001\",\"issued\":" +
          std::to_string(ms - 500) + "}}\nanna send 1 video\nbox-1 expect serve 1 oldest=499\n" +
          "anna send 2 video\nbox-1 expect serve 2 !oldest\n");
}

TEST(Reducer, InvalidationLimitsTheCopyAgeOfQueuedRequests) {
  VirtualTimeHarness harness;
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(harness.now()).count();
  run_scenario(harness, "bulletin send head\nanna send 1 pages\nbox-1 expect serve 1");
  harness.set_write_stalled("box-1", true);
  run_scenario(harness,
               "anna send giveUp 1\nbox-1 expect cancel 1\nanna send 2 video\nbox-1 expect nothing\n"
               "bulletin send {\"no\":2,\"recall\":{\"lot\":17,\"issued\":" +
                   std::to_string(ms - 300) + "}}\n");
  harness.set_write_stalled("box-1", false);
  run_scenario(harness, "box-1 expect serve 2 oldest=299\n");
}

// ---- Invalid input from clients ----

TEST(Reducer, InvalidRequestFieldsAreAnsweredFailed) {
  run_scenario(R"(
    anna send 1 pages txn=short
    anna expect failed 1
    anna send 2 unheard
    anna expect failed 2
    anna send 3 pages limit=soon
    anna expect failed 3
    anna send 4 pages !item
    anna expect failed 4
    anna send 5 order
    anna expect failed 5
    anna send 6 pages lot=256
    anna expect failed 6
    anna send 7 pages unique=a,from=main
    anna expect failed 7
    anna send 8 pages piece=-1
    anna expect failed 8
    anna send 9 pages ram=nan
    anna expect failed 9
    box-1 expect nothing
  )");
}

TEST(Reducer, DuplicateRequestIdFailsOnlyTheSecondRequest) {
  run_scenario(R"(
    anna send 1 pages
    box-1 expect serve 1
    bert send 1 pages
    bert expect failed 1
    box-1 send HIT 1 ver=a b
    anna expect served 1
    bert expect nothing
  )");
}

TEST(Reducer, UnknownMethodGetsAnApplicationException) {
  run_scenario(R"(
    anna send dance 4
    anna expect exception 4
    anna send probe 5
    anna expect ready 5
  )");
}

TEST(Reducer, MalformedFrameClosesOnlyItsConnection) {
  run_scenario(R"(
    bert send 1 pages
    anna send raw 7f ff ff ff
    anna expect closed
    wait 600
    edge expect log reason=bad_frame
    box-1 expect serve 1
    box-1 send HIT 1 ver=a b
    bert expect served 1
  )");
}

TEST(Reducer, MalformedFrameIsAnsweredBeforeTheConnectionIsDrained) {
  run_scenario(R"(
    # the frame length is 60 MB
    anna send raw 03 93 87 00 80 01 00 01
    anna expect exception 0 unreadable=1
    anna expect closed
    # a negative frame length without data, and a frame without a message
    bert send raw ff ff ff ff
    bert expect exception 0
    bert expect closed
    carl send raw 00 00 00 03 01 02 03
    carl expect exception 0
    carl expect closed
    wait 600
    edge expect log closed kind=front conn=5 reason=bad_frame
  )");
}

TEST(Reducer, ClientThatSendsTooMuchWhileDrainingIsDisconnected) {
  VirtualTimeHarness harness;
  run_scenario(harness, "anna set keeps_open\nanna send raw 03 93 87 00\nanna expect exception 0");
  for (int i = 0; i < 5; ++i) harness.send("anna", std::string(64 * 1024, 'x'));
  run_scenario(harness, "edge expect log closed kind=front conn=1 reason=bad_frame");
}

TEST(Reducer, DuplicateCallIdClosesTheConnection) {
  run_scenario(R"(
    anna send 1 pages
    box-1 expect serve 1
    anna send 1 pages txn=00000000000000aa
    anna expect exception 0
    anna expect closed
    box-1 expect cancel 1
    box-1 send HIT 1 ver=a b
    anna expect nothing
  )");
}

TEST(Reducer, ClientsWithoutACompleteMessageAreClosedAfterATimeout) {
  run_scenario(R"(
    anna send raw 00 00 00 40 80
    bert send probe 1
    bert expect ready 1
    carl send raw 00
    wait 2400
    carl send raw 00
    wait 150
    anna expect closed
    carl expect closed
    edge expect log closed kind=front conn=1 reason=no_message
    edge expect log closed kind=front conn=5 reason=no_message
    bert send raw 00 00
    wait 2600
    bert expect closed
    dora send probe 1
    dora expect ready 1
    wait 5800
    dora send probe 2
    dora expect ready 2
    wait 6200
    edge expect log closed kind=front conn=7 reason=idle
  )");
}

TEST(Reducer, ClientAcceptedDuringATimerConnectKeepsItsConnectionId) {
  // If the discovery timer expired in the same loop iteration in which a client was accepted, both
  // connections got one id, and the client's connection and request were lost.
  VirtualTimeHarness harness;
  run_scenario(harness, "wait 205\nedge expect log closed kind=bulletin conn=2 reason=silent");
  harness.stall_event_loop(std::chrono::milliseconds(400));  // the reconnect timer expires meanwhile
  run_scenario(harness,
               "anna send 1 pages\nbox-1 expect serve 1\nbox-1 send HIT 1 ver=a b\nanna expect served 1");
}

TEST(Reducer, ClientWithAnOpenCallIsNotClosedForAPartialMessage) {
  run_scenario(R"(
    anna send 1 video limit=5000
    box-1 expect serve 1
    anna send raw 00 00
    wait 3500
    box-1 send HIT 1 ver=a b
    anna expect served 1
  )");
}

TEST(Reducer, SilentClientsAreEvictedBeforeActiveOnes) {
  // 128 silent connections (half of 256 descriptors) must not keep out all other clients.
  VirtualTimeHarness harness;
  run_scenario(harness,
               "anna send 1 video limit=5000\nbox-1 expect serve 1\nbert send probe 1\nbert expect ready 1");
  for (int i = 0; i < 200; ++i) run_scenario(harness, "silent-" + std::to_string(i) + " send raw 00");
  run_scenario(harness, R"(
    edge expect log closed kind=front conn=5 reason=too_many
    bert send 2 video
    box-1 expect serve 2
    box-1 send HIT 1 ver=a b
    anna expect served 1
    carl send 3 video
    box-1 expect serve 3
  )");
  EXPECT_FALSE(harness.is_closed("silent-199"));
}

TEST(Reducer, NewConnectionIsNotEvicted) {
  // If each request uses a connection of its own, the first request on a new connection may still be in
  // transit when the next connection is accepted.
  VirtualTimeHarness harness;
  run_scenario(harness, "old send raw 00\nwait 600");
  for (int i = 0; i < 126; ++i) run_scenario(harness, "idle-" + std::to_string(i) + " send probe 1");
  run_scenario(harness, "wait 100\nnew send raw 00\nnewer send raw 00\nnewest send raw 00");
  EXPECT_TRUE(harness.is_closed("old"));
  EXPECT_TRUE(harness.is_closed("idle-0"));
  for (const char* peer : {"new", "newer", "newest", "idle-1"}) EXPECT_FALSE(harness.is_closed(peer)) << peer;
}

TEST(Reducer, OpenCallsAboveTheConnectionLimitAreRejected) {
  VirtualTimeHarness harness({"box-1", "box-2", "box-3", "box-4", "up-1", "up-2", "up-3", "up-4", "main"});
  for (int i = 1; i <= 32; ++i) run_scenario(harness, "anna send " + std::to_string(i) + " video limit=5000");
  ASSERT_EQ(harness.take_received("anna"), "");
  run_scenario(
      harness,
      "anna send 40 video\nanna expect refused 40 later=500\nbert send 41 video\nbert expect nothing\n");
}

TEST(Reducer, ClientWithUnreadRepliesIsRejectedButItsCancelsAreHandled) {
  VirtualTimeHarness harness;
  for (int id = 1; id <= 11; ++id)
    run_scenario(harness,
                 "anna send " + std::to_string(id) + " pages\nbox-1 expect serve " + std::to_string(id));
  harness.set_write_stalled("anna", true);
  const std::string body(240'000, 'x');
  for (const char id : {'1', '2', '3', '4', '5', '6', '7', '8', '9'}) {
    harness.send("box-1", std::string("000000000000000") + id + " HIT ver=a 240000\r\n" + body + "\r\n");
  }
  std::string scenario =
      "anna send giveUp 10\nbox-1 expect cancel 10\nanna send 12 pages\nbox-1 expect nothing\n";
  for (int id = 1; id <= 9; ++id) scenario += "anna expect served " + std::to_string(id) + "\n";
  run_scenario(harness, scenario + "anna expect refused 12 later=500\n");
  harness.set_write_stalled("anna", false);
  run_scenario(harness, "anna send 13 pages\nbox-1 expect serve 13\n");
}

TEST(Reducer, ClientThatNeverReadsIsDisconnected) {
  // Its requests are rejected at admission once their answers might not fit into 16 MB. It is disconnected
  // after the longest deadline of 5 s, since accepted answers must not be lost while it may still read.
  VirtualTimeHarness harness({"box-1", "up-1", "main"}, 16);
  const std::string body(240'000, 'x');
  run_scenario(
      harness,
      "bert send 30 pages\nbox-1 expect serve 30\nbox-1 send HIT 30 ver=a b\nbert expect served 30\n");
  for (int id = 1; id <= 9; ++id) harness.send("anna", request_message(id, request_fields(id, "video")));
  const std::vector<std::string> accepted = requested_ids(harness.take_received("box-1"));
  EXPECT_GT(accepted.size(), 1U);
  EXPECT_LT(accepted.size(), 9U);
  harness.set_write_stalled("anna", true);
  for (const std::string& id : accepted) harness.send("box-1", id + " HIT ver=a 240000\r\n" + body + "\r\n");
  run_scenario(harness, "wait 4800");
  EXPECT_FALSE(harness.is_closed("anna"));
  run_scenario(
      harness,
      "wait 300\nedge expect log reason=backlog\nanna expect closed\n"
      "carl send 20 pages\nbox-1 expect serve 20\nbox-1 send HIT 20 ver=a b\ncarl expect served 20\n");
}

TEST(Reducer, CorruptedMessagesDoNotStopTheProxy) {
  // Complete messages in which a few bytes are changed, removed or duplicated. The seed is fixed, so the test
  // is deterministic.
  std::mt19937 random(7);
  const auto corrupt = [&random](std::string bytes) {
    for (unsigned changes = 1 + random() % 3; changes > 0 && !bytes.empty(); --changes) {
      const std::size_t at = random() % bytes.size();
      switch (random() % 3) {
        case 0:
          bytes[at] = static_cast<char>(random());
          break;
        case 1:
          bytes.erase(at, random() % 8);
          break;
        default:
          bytes.insert(at, bytes.substr(at, random() % 8));
      }
    }
    return bytes;
  };
  const std::string call =
      std::string("\0\0\0\x61\x80\1\0\1\0\0\0\7process\0\0\0\7\x0d\0\1\x0b\x0b\0\0\0\3", 32) +
      std::string("\0\0\0\4verb\0\0\0\5pages\0\0\0\3txn\0\0\0\x10", 28) + "00000000000000aa" +
      std::string(
          "\0\0\0\5limit\0\0\0\4"
          "2500\x0b\0\2\0\0\0\0\0",
          25);
  const std::string answer = "0000000000000001 HIT ver=t1,born=5,report=inflight:7;x1:0.5 5\r\nhello\r\n";
  const std::string chunk = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string event = "id: 2\ndata: {\"no\":2,\"roster\":{\"complete\":true,\"members\":[" +
                            member_json("box-1", "box-1:1") + "]}}\n\n";
  VirtualTimeHarness control;
  control.send("carl", call);  // well-formed, but without an object id
  run_scenario(control, "carl expect failed 7\n");
  for (int round = 0; round < 300; ++round) {
    VirtualTimeHarness harness;
    run_scenario(harness, "anna send 1 pages\nbox-1 expect serve 1\n");
    harness.send("carl", corrupt(call + call));
    harness.send("box-1", corrupt(answer + answer));
    harness.send("bulletin", corrupt(chunk + "5\r\n:\n\n\n\n\r\n") + corrupt(event));
    harness.send("bulletin", corrupt("HTTP/1.1 200 OK\r\n\r\n" + event));
    run_scenario(harness, "wait 6000\nbert send dance 9\nbert expect exception 9\n");
    ASSERT_FALSE(HasFailure()) << "round " << round;
  }
}

TEST(Reducer, OnCallPageListsEveryCloseReason) {
  std::ifstream file(EDGE_PROXY_ONCALL);
  const std::string page(std::istreambuf_iterator<char>(file), {});
  for (int reason = 0; reason <= static_cast<int>(proxy::CloseReason::stopping); ++reason) {
    const std::string name(proxy::name_of(static_cast<proxy::CloseReason>(reason)));
    EXPECT_NE(page.find("| `" + name + "` |"), std::string::npos) << name;
  }
}

// ---- Admin calls ----

TEST(Reducer, AdminCallsReturnReadinessMetricsAndErrors) {
  run_scenario(R"(
    ops send GET /v1/readyz
    ops expect 200 ready
    ops expect closed
    anna send 1 pages
    anna send 2 video
    box-1 expect serve 1
    box-1 expect serve 2
    box-1 send HIT 1 ver=a b
    anna expect served 1
    anna send 3 pages ram=1e9
    anna expect failed 3
    ops-2 send GET /v1/metrics
    ops-2 expect 200 svc.calls.pages.success:1|c svc.calls.pages.failure:1|c svc.calls.video.success:0|c svc.backend_calls:2|c svc.inflight:1|g svc.hosts_listed:3|g svc.hosts_down:0|g
    box-1 send NONE 2
    anna expect refused 2
    ops-3 send GET /v1/metrics
    ops-3 expect 200 svc.calls.video.busy:1|c svc.inflight:0|g
    ops-4 send POST /v1/metrics
    ops-4 expect 405
    ops-5 send GET /v2
    ops-5 expect 404
    ops-6 send nonsense
    ops-6 expect 400
    edge send TERM
    ops-7 send GET /v1/readyz
    ops-7 expect 503
  )");
}

TEST(Reducer, SilentAdminConnectionsAreEvictedAndTimeOut) {
  // Silent connections must not block descriptors or other callers: the oldest is evicted, the others time
  // out.
  VirtualTimeHarness harness;
  for (int i = 0; i < 40; ++i) harness.send("ops-silent-" + std::to_string(i), "GET");
  run_scenario(harness, "ops send GET /v1/readyz\nops expect 200\nwait 10200\nops-silent-39 expect closed");
  EXPECT_NE(harness.log().find("kind=admin conn=1 reason=too_many"), std::string::npos) << harness.log();
}

TEST(Reducer, SuspendedEndpointGetsNoRequestsUntilResumed) {
  VirtualTimeHarness harness({"box-1", "box-2", "up-1", "main"});
  run_scenario(harness, R"(
    ops send POST /v1/pop-caches/box-2/suspend
    ops expect 200
    ops-2 send POST /v1/pop-caches/box-2/suspend
    ops-2 expect 200
    ops-3 send POST /v1/pop-caches/box-9/suspend
    ops-3 expect 404
    ops-4 send GET /v1/metrics
    ops-4 expect 200 svc.hosts_listed:4|g svc.hosts_down:1|g
  )");
  // Ten requests are enough for both caches to rank first for some.
  const auto route_ten_requests = [&harness](int from) {
    for (int number = from; number < from + 10; ++number)
      run_scenario(harness, "anna send " + std::to_string(number) + " pages\nwait 1");
    const bool box_2_was_used = !harness.take_received("box-2").empty();
    EXPECT_FALSE(harness.take_received("box-1").empty());
    for (int number = from; number < from + 10; ++number)
      run_scenario(harness, "anna send giveUp " + std::to_string(number));
    return box_2_was_used;
  };
  EXPECT_FALSE(route_ten_requests(1));
  // Endpoint lists do not end the suspension.
  run_scenario(harness,
               "bulletin send head\n" + endpoint_list_event(2, member_json("box-2", "box-2:1", "left")) +
                   endpoint_list_event(3, member_json("box-2", "box-2:1", "active", 1'800'000'000'000)));
  EXPECT_FALSE(route_ten_requests(11));
  // The next process loads the suspension from disk.
  VirtualTimeHarness next_process({"box-1", "box-2", "up-1", "main"});
  next_process.load_overrides("out 12\nout x box-1\nnonsense\n" + harness.stored_overrides());
  run_scenario(next_process, "ops send GET /v1/metrics\nops expect 200 svc.hosts_down:1|g");
  run_scenario(harness, "ops-5 send POST /v1/pop-caches/box-2/resume\nops-5 expect 200\nwait 18000\n");
  EXPECT_TRUE(route_ten_requests(21));
  next_process.load_overrides(harness.stored_overrides());
  run_scenario(next_process, "ops-2 send GET /v1/metrics\nops-2 expect 200 svc.hosts_down:0|g");
}

TEST(Reducer, AnOverrideThatCannotBeStoredIsRefusedAndHasNoEffect) {
  // Guards against a yes for a change that other processes, or the next one, do not know.
  VirtualTimeHarness harness({"box-1", "box-2", "up-1", "main"});
  harness.fail_storing_overrides("the disk is full");
  run_scenario(harness, R"(
    ops send POST /v1/pop-caches/box-2/suspend
    ops expect 503
    ops-2 send GET /v1/metrics
    ops-2 expect 200 svc.hosts_down:0|g
  )");
  EXPECT_NE(harness.log().find("override not stored member=box-2: the disk is full"), std::string::npos);
  harness.fail_storing_overrides("");
  run_scenario(harness, "ops-3 send POST /v1/pop-caches/box-2/suspend\nops-3 expect 200\n");
  harness.fail_storing_overrides("the disk is full");
  run_scenario(harness, R"(
    ops-4 send POST /v1/pop-caches/box-2/resume
    ops-4 expect 503
    ops-5 send GET /v1/metrics
    ops-5 expect 200 svc.hosts_down:1|g
  )");
}

TEST(Reducer, AnOverrideIsNotForgottenWithTheFile) {
  // Guards against a process that reads an older or empty file after it has confirmed a suspension.
  VirtualTimeHarness harness({"box-1", "box-2", "up-1", "main"});
  run_scenario(harness, "ops send POST /v1/pop-caches/box-2/suspend\nops expect 200\n");
  for (const char* text : {"", "out 5 box-1\n", "in 6 box-2\n"}) harness.load_overrides(text);
  run_scenario(harness, "ops-9 send GET /v1/metrics\nops-9 expect 200 svc.hosts_down:2|g\n");
}

TEST(Reducer, ResumedEndpointKeepsConnectionsWithOpenRequests) {
  // A resumed endpoint counts as restarted, which must not close the connections of its running requests.
  run_scenario(R"(
    anna send 1 pages
    box-1 expect serve 1
    ops send POST /v1/pop-caches/box-1/suspend
    ops expect 200
    wait 300
    ops-2 send POST /v1/pop-caches/box-1/resume
    ops-2 expect 200
    box-1 send HIT 1 ver=a b
    anna expect served 1
  )");
}

}  // namespace
}  // namespace edge_proxy::test
