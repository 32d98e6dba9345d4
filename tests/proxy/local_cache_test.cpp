// SPDX-License-Identifier: MIT
// Copies in the proxy's own memory, in virtual time.
#include "proxy/local_cache.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "support/reducer_scenarios.h"

namespace edge_proxy::test {
namespace {

/// A purge of another object, issued 1 s after the start of virtual time: the stream has told what was
/// missed.
const std::string kLaterPurge = R"({"no":2,"recall":{"item":"00000000000000ff","issued":1800000001000}})";

/// Returns a scenario in which a cache sends a part of one object of group 17 twice.
std::string send_part_twice(const std::string& verb, const std::string& first, const std::string& second) {
  std::string text = "bulletin send head\nbulletin send " + kLaterPurge + "\n";
  int number = 1;
  for (const std::string& answer : {first, second}) {
    const std::string id = std::to_string(number++);
    text += "anna send " + id + " " + verb + " item=00000000000000aa\nbox-1 expect serve " + id +
            "\nbox-1 send HIT " + id + " " + answer + "\nanna expect served " + id + "\n";
  }
  return text;
}

TEST(LocalCache, PartReceivedTwiceIsServedLocally) {
  run_scenario(send_part_twice("video", "ver=t1,born=5 the bytes", "ver=t1,born=6 the bytes") + R"(
    anna send 3 video item=00000000000000aa
    anna expect served 3 ver=t1 !unchanged body=the bytes
    anna send 4 video item=00000000000000aa ver=t1
    anna expect served 4 ver=t1 unchanged=1 body=
    anna send 5 video item=00000000000000aa piece=4
    box-1 expect serve 5
    anna send 6 pages item=00000000000000aa
    box-1 expect serve 6
    ops send GET /v1/metrics
    ops expect 200 svc.calls.video.success:4|c svc.backend_calls:4|c
    wait 1100
    edge expect log own=2
  )");
}

TEST(LocalCache, PartsThatDifferAreNotServedLocally) {
  run_scenario(send_part_twice("video", "ver=t1,born=5 the bytes", "ver=t1,born=6 the bXtes") + R"(
    anna send 3 video item=00000000000000aa
    box-1 expect serve 3
  )");
}

TEST(LocalCache, InvalidationRemovesCopiesAndOlderResponsesAreNotStored) {
  VirtualTimeHarness harness;
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(harness.now()).count();
  const std::string older_response = "ver=t1,born=" + std::to_string(ms - 50) + " b",
                    newer_response = "ver=t1,born=" + std::to_string(ms + 1) + " b";
  run_scenario(harness, send_part_twice("video", older_response, older_response) + R"(
    anna send 3 video item=00000000000000aa
    anna expect served 3
    bulletin send {"no":3,"recall":{"lot":17,"issued":)" +
                            std::to_string(ms - 1) + R"(}}
    anna send 4 video item=00000000000000aa
    box-1 expect serve 4
    box-1 send HIT 4 )" + older_response +
                            R"(
    anna expect served 4
    anna send 5 video item=00000000000000aa
    box-1 expect serve 5
    box-1 send HIT 5 )" + newer_response +
                            R"(
    anna expect served 5
    anna send 6 video item=00000000000000aa
    anna expect served 6
  )");
}

TEST(LocalCache, CopiesAreNotServedAfterExpiryOrWhileDiscoveryIsSilent) {
  VirtualTimeHarness harness;
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(harness.now()).count();
  const std::string answer = "ver=t1,born=" + std::to_string(ms - 5000) + " b";
  run_scenario(harness, send_part_twice("pages", answer, answer) + R"(
    anna send 3 pages item=00000000000000aa
    anna expect served 3
    wait 1600
    anna send 4 pages item=00000000000000aa
    box-1 expect serve 4
    bulletin send comment
    anna send 5 pages item=00000000000000aa
    anna expect served 5
    wait 1000
    bulletin send comment
    wait 400
    anna send 6 pages item=00000000000000aa
    box-1 expect serve 6
  )");
}

TEST(LocalCache, CopiesAreNotServedWithoutACompleteDiscoveryLine) {
  // An incomplete line carries no event, so invalidations may be missing.
  VirtualTimeHarness harness;
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(harness.now()).count();
  const std::string answer = "ver=t1,born=" + std::to_string(ms) + " b";
  run_scenario(harness, send_part_twice("video", answer, answer));
  for (int i = 0; i < 16; ++i) {
    harness.send("bulletin", ":");
    harness.wait(std::chrono::milliseconds(100));
  }
  run_scenario(harness, R"(
    anna send 3 video item=00000000000000aa
    box-1 expect serve 3
    bulletin send comment
    anna send 4 video item=00000000000000aa
    anna expect served 4
  )");
}

TEST(LocalCache, RequestsAboveTheLinkCapacityGoToTheCaches) {
  VirtualTimeHarness harness;
  const std::string body(20'000, 'y');  // takes one of two transfer slots for 0.2 s
  run_scenario(harness, send_part_twice("video ram=1800", "ver=t1,born=5 " + body, "ver=t1,born=6 " + body));
  run_scenario(harness, R"(
    anna send 3 video ram=1800 item=00000000000000aa
    anna expect served 3
    anna send 4 video ram=1800 item=00000000000000aa
    anna expect served 4
    # the caches have copies, since the part is popular
    anna send 5 video ram=1800 item=00000000000000aa
    box-1 expect serve 5
    wait 210
    anna send 6 video ram=1800 item=00000000000000aa
    anna expect served 6
  )");
}

TEST(LocalCache, CopiesStayWithinTheirShareOfTheMemory) {
  config::Config config = config::parse(config_text({"main"}, {}, 16), {});
  proxy::LocalCache local_cache(config);
  codec::CacheResponse answer;
  answer.status = codec::CacheResponseStatus::hit;
  answer.fields = "ver=a,born=5";
  answer.body = std::string(100'000, 'y');
  const Time now = std::chrono::hours(500000);
  std::size_t found_copies = 0;
  for (std::uint64_t object = 0; object < 10'000; ++object) {
    local_cache.insert({0, object, 0}, 1, answer, now);
    local_cache.insert({0, object, 0}, 1, answer, now);
  }
  for (std::uint64_t object = 0; object < 10'000; ++object)
    found_copies += local_cache.find({0, object, 0}, now, Time{0}) != nullptr ? 1 : 0;
  EXPECT_EQ(found_copies, 16U * 1024 * 1024 / 7 / 100'000);
  EXPECT_LE(local_cache.table_entries(), found_copies + 4096);
}

}  // namespace
}  // namespace edge_proxy::test
