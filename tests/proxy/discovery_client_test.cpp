// SPDX-License-Identifier: MIT
// The stream of the discovery service as the reducer reads it, in virtual time.
#include <gtest/gtest.h>

#include <chrono>
#include <iomanip>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "support/reducer_scenarios.h"

namespace edge_proxy::test {
namespace {

TEST(Reducer, ReloadChangesTheDiscoveryServiceAndKeepsConnections) {
  VirtualTimeHarness harness;
  run_scenario(harness, "bulletin expect get last=1\nbulletin send head\n" +
                            endpoint_list_event(2, member_json("box-2", "box-2:1")) + R"(
    anna send 1 pages
    wait 1
    edge send HUP bulletin-2
    bulletin expect closed
    bulletin-2 expect get last=2
    edge expect log reason=bulletin_moved
    # neither the same service nor a faulty file changes anything
    edge send HUP bulletin-2
    edge send HUP nowhere
    edge expect log reload failed, nothing changed: field 'bulletin'
    bulletin-2 expect nothing
    anna close
    edge expect log kind=front conn=1 reason=peer_closed requests=1
  )");
}

TEST(Reducer, ReloadWhileDiscoveryIsUnreachableConnectsToTheNewService) {
  run_scenario(R"(
    bulletin close refusing
    bulletin close reset
    bulletin close refusing
    wait 60
    edge send HUP bulletin-2
    bulletin-2 expect get last=1
    bulletin-2 send head
    wait 2000
    bulletin-2 expect nothing
    edge send TERM
    edge send HUP bulletin-3
    bulletin-3 expect get last=1
    wait 1100
    edge expect stopped
    edge send HUP bulletin-4
    bulletin-4 expect nothing
  )");
}

TEST(Reducer, EventLoopStallDoesNotCountAsSilenceOfPeers) {
  VirtualTimeHarness harness;
  run_scenario(
      harness,
      "bulletin send head\nanna send 1 video limit=5000\nbox-1 expect serve 1\nbulletin expect get last=1");
  harness.stall_event_loop(std::chrono::milliseconds(4000));
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(harness.now()).count();
  run_scenario(harness,
               R"(bulletin send {"no":2,"recall":{"lot":17,"issued":)" + std::to_string(ms - 3000) + R"(}}
    anna send 2 video
    box-1 expect serve 2 oldest=2999
    box-1 send HIT 1 ver=a b
    anna expect served 1
    wait 200
    bulletin expect nothing
    edge expect log event loop stalled ms=4000
  )");
}

TEST(Reducer, UnansweredDiscoveryRequestIsRetriedBeforeTheInvalidationBound) {
  run_scenario(R"(
    bulletin expect get last=1
    wait 251
    bulletin expect get last=1
    bulletin send head
    wait 2000
    bulletin expect nothing
  )");
}

TEST(Reducer, ClosedDiscoveryStreamIsReopenedAtOnce) {
  run_scenario(R"(
    bulletin expect get last=1
    bulletin send head
    wait 1000
    bulletin close
    wait 51
    bulletin expect get last=1
  )");
}

/// Returns the times in milliseconds at which a proxy failed to connect to an unreachable discovery service.
/// `edit_config` may replace the seed.
std::vector<int> failed_connect_times(std::string (*edit_config)(std::string)) {
  VirtualTimeHarness harness({"box-1"}, 192, edit_config);
  run_scenario(harness, "bulletin send head\nwait 1000\nbulletin close refusing\n");
  std::vector<int> times;
  std::size_t seen = harness.log().size();
  for (int ms = 1; ms <= 5000; ++ms) {
    harness.wait(std::chrono::milliseconds(1));
    if (harness.log().find("kind=bulletin", seen) == std::string::npos) continue;
    seen = harness.log().size();
    times.push_back(ms);
  }
  return times;
}

TEST(Reducer, ProxiesWithDifferentSeedsReconnectToDiscoveryAtDifferentTimes) {
  const auto one = failed_connect_times(nullptr);
  const auto other = failed_connect_times(
      [](std::string text) { return text.replace(text.find("8c1f30d27a5be964"), 16, "0123456789abcdef"); });
  ASSERT_GE(one.size(), 6U);
  ASSERT_GE(other.size(), 6U);
  int in_step = 0;
  for (std::size_t i = 0; i < 6; ++i) in_step += one[i] == other[i] ? 1 : 0;
  EXPECT_LE(in_step, 1);
  EXPECT_LE(one.size(), 16U);  // the backoff grows to delays of 0.4 to 0.8 s
}

TEST(Reducer, FailedAttemptsAreLoggedUpToALimit) {
  // The sums of a second show only that attempts failed; single lines identify the requests and their
  // sources.
  VirtualTimeHarness harness;
  std::string scenario;
  for (int number = 1; number <= 40; ++number) {
    const std::string id = std::to_string(number);
    scenario += "anna send " + id + " pages\nbox-1 expect serve " + id + "\nbox-1 send FAULT " + id + "\n";
  }
  run_scenario(harness, scenario);
  const std::string log = harness.log();
  EXPECT_NE(
      log.find("wrong request=0000000000000001 attempt=0 member=box-1 source=up-1 ending=error took_ms=0"),
      std::string::npos)
      << log;
  std::size_t lines = 0;
  for (std::size_t at = log.find("wrong "); at != std::string::npos; at = log.find("wrong ", at + 1)) ++lines;
  EXPECT_LE(lines, 16U);
}

TEST(Reducer, EmptyCompleteEndpointListIsIgnored) {
  VirtualTimeHarness harness;
  run_scenario(harness,
               "bulletin send head\n" + endpoint_list_event(2, "", true) +
                   "edge expect log list empty no=2 ignored\nanna send 1 pages\nbox-1 expect serve 1\n");
  VirtualTimeHarness without_endpoints{std::vector<std::string>()};
  run_scenario(without_endpoints, "bulletin send head\n" + endpoint_list_event(1, "", true) +
                                      "anna send probe 1\nanna expect ready 1\n");
}

TEST(Reducer, ReopenedDiscoveryStreamResumesAfterTheLastEvent) {
  VirtualTimeHarness harness;
  run_scenario(harness, "bulletin expect get last=1\nbulletin send head\n" +
                            endpoint_list_event(2, member_json("box-2", "box-2:1")) +
                            "bulletin close\nwait 100\nbulletin expect get last=2\n");
}

TEST(Reducer, DiscoveryEventGapIsRequestedAgainAndARepeatedEventIsIgnored) {
  VirtualTimeHarness harness;
  run_scenario(harness,
               "bulletin expect get last=1\nbulletin send head\n" +
                   endpoint_list_event(1, member_json("box-1", "box-1:1", "left")) +
                   endpoint_list_event(3, member_json("box-1", "box-1:1", "left")) +
                   "edge expect log bulletin gap last=1 got=3\nwait 100\nbulletin expect get last=1\n"
                   "anna send 1 pages\nbox-1 expect serve 1\n");
}

TEST(Reducer, DiscoveryEventGapThatPersistsIsSkipped) {
  VirtualTimeHarness harness;
  const std::string third = endpoint_list_event(3, member_json("box-1", "box-1:1", "left"));
  run_scenario(
      harness,
      "bulletin expect get last=1\nbulletin send head\n" + third +
          "wait 100\nbulletin expect get last=1\nbulletin send head\n" + third +
          "edge expect log list no=3\nanna send 1 pages\nbox-1 expect nothing\nanna expect refused 1\n");
}

TEST(Reducer, TablesDoNotGrowWithFormerEndpointsAndClients) {
  // Caches are replaced continuously over a long time, some of them at an address that was used before.
  VirtualTimeHarness harness;
  run_scenario(harness, "bulletin send head\n");
  for (int number = 2; number < 300; ++number) {
    const std::string current = "box-" + std::to_string(number),
                      previous = "box-" + std::to_string(number - 1);
    const std::string address = number % 2 == 0 ? "box-1:1" : current + ":1";
    const std::string id = std::to_string(number), client = "client-" + id;
    const std::string peer = number % 2 == 0 ? "box-1" : current;
    run_scenario(harness, endpoint_list_event(number, member_json(previous, "box-1:1", "left") + "," +
                                                          member_json(current, address)) +
                              client + " send " + id + " pages\n" + peer + " expect serve " + id + "\n" +
                              peer + " send HIT " + id + " ver=a b\n" + client + " expect served " + id +
                              "\n" + client + " close\nwait 50\nbulletin send comment\n");
  }
  const std::string log = harness.log();
  const std::string last_line = log.substr(log.rfind("load taken="));
  EXPECT_NE(last_line.find(" members=3 "), std::string::npos) << last_line;
  // Timers of completed requests remain until they expire: those of 2.5 s at 20 requests per second.
  EXPECT_LT(std::stoi(last_line.substr(last_line.find(" kept=") + 6)), 500) << last_line;
}

TEST(Reducer, RouterAndConnectionsAgreeOnAttemptsInFlight) {
  // An attempt whose Outcome is never reported would occupy capacity of its endpoint forever.
  VirtualTimeHarness harness({"box-1", "box-2", "up-1", "main"});
  std::mt19937 random(7);
  for (int number = 1; number <= 400; ++number) {
    const std::string id = std::to_string(number), box = random() % 2 == 0 ? "box-1" : "box-2";
    run_scenario(harness,
                 "anna send " + id + (random() % 4 == 0 ? " order unique=k" : " video") + " limit=700\n");
    const auto event = random() % 8;
    std::ostringstream hex;
    hex << std::hex << std::setw(16) << std::setfill('0') << number;
    if (event < 3) harness.send(box, hex.str() + " HIT ver=a 1\r\nb\r\n");
    if (event == 3) harness.send(box, hex.str() + " SHED - 0\r\n\r\n");
    if (event == 4) harness.send(box, hex.str() + " HIT what is this\r\n");
    if (event == 5) run_scenario(harness, "anna send giveUp " + id);
    if (event == 6) run_scenario(harness, box + " close reset");
    run_scenario(harness, "wait 30\nbulletin send comment");
    harness.take_received("anna");
  }
  const std::string log = harness.log();
  int lines = 0;
  for (std::size_t at = 0; (at = log.find(" out=", at)) != std::string::npos; ++at, ++lines) {
    const std::string line = log.substr(at, log.find('\n', at) - at);
    EXPECT_EQ(std::stoi(line.substr(5)), std::stoi(line.substr(line.find(" believed_out=") + 14))) << line;
  }
  EXPECT_GT(lines, 5);
}

TEST(Reducer, SilentDiscoveryStreamIsReopened) {
  run_scenario(R"(
    bulletin expect get last=1
    bulletin send head
    wait 2400
    bulletin send comment
    wait 2400
    bulletin expect nothing
    wait 200
    edge expect log closed kind=bulletin conn=2 reason=silent
    bulletin expect get last=1
  )");
}

TEST(Reducer, MalformedDiscoveryEventIsSkippedAndAnErrorStatusIsRetried) {
  run_scenario(R"(
    bulletin expect get last=1
    bulletin send head
    bulletin send {"no":2,"recall":{"item":"zz","issued":5}}
    edge expect log bulletin unreadable event id=2
    bulletin close
    wait 100
    bulletin expect get last=2
    bulletin send raw HTTP/1.1 503 Busy\n\n
    edge expect log reason=bad_stream
    wait 200
    bulletin expect get last=2
  )");
}

}  // namespace
}  // namespace edge_proxy::test
