// SPDX-License-Identifier: MIT
// Copies of the local cache after a gap in the event stream: they are used again only once the new stream has
// told what was missed, however it is cut into pieces.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <string>

#include "support/virtual_time_harness.h"

namespace edge_proxy::test {
namespace {

using namespace std::chrono_literals;

constexpr int kCopies = 24;
const std::string kHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

std::int64_t unix_ms(const VirtualTimeHarness& harness) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(harness.now()).count();
}

std::string purge_event(int number, const std::string& scope, std::int64_t issued_ms) {
  const std::string text = std::to_string(number);
  return "id: " + text + "\ndata: {\"no\":" + text + ",\"recall\":{" + scope +
         ",\"issued\":" + std::to_string(issued_ms) + "}}\n\n";
}

/// Sends a request for the object and returns whether the local cache answered it. An attempt at a cache is
/// cancelled.
class LocalReads {
 public:
  explicit LocalReads(VirtualTimeHarness& harness) : harness_(harness) {}

  bool is_served_locally(int object) {
    send(object);
    const bool is_served = harness_.take_received("anna").find("old bytes") != std::string::npos;
    if (!is_served) harness_.send("anna", cancel_message(number_));
    harness_.take_received("box-1");
    return is_served;
  }

  /// Makes a cache answer two requests for the object, after which the proxy has a copy.
  void fill(int object, std::int64_t born_ms) {
    answer_from_cache(object, born_ms);
    answer_from_cache(object, born_ms);
  }

  /// Sends a request for the object, which must reach a cache, and answers it.
  void answer_from_cache(int object, std::int64_t born_ms) {
    send(object);
    const auto ids = requested_ids(harness_.take_received("box-1"));
    ASSERT_EQ(ids.size(), 1U);
    harness_.send("box-1", ids[0] + " HIT ver=t1,born=" + std::to_string(born_ms) + " 9\r\nold bytes\r\n");
    harness_.take_received("anna");
  }

 private:
  void send(int object) {
    ++number_;
    auto fields = request_fields(number_, "video");
    fields["item"] = request_fields(object, "video").at("item");
    harness_.send("anna", request_message(number_, fields));
  }

  VirtualTimeHarness& harness_;
  int number_ = 1000;
};

/// Delivers the stream in random pieces with random pauses, and checks that no copy is served before its end.
void check_no_copy_is_served_before_the_end_of(std::string stream, VirtualTimeHarness& harness,
                                               LocalReads& reads) {
  int object = 0;
  while (!stream.empty()) {
    const auto size = *rc::gen::inRange<std::size_t>(1, stream.size() + 1);
    harness.send("bulletin", stream.substr(0, size));
    stream.erase(0, size);
    RC_ASSERT(!reads.is_served_locally(1 + object++ % kCopies));
    harness.wait(std::chrono::milliseconds(*rc::gen::inRange(0, 1400)));
    RC_ASSERT(!reads.is_served_locally(1 + object++ % kCopies));
  }
}

/// Returns a stream with comments and missed purges of other objects, which ends with the one of the group.
std::string stream_of_missed_purges(std::int64_t purged_ms) {
  std::string stream;
  if (*rc::gen::arbitrary<bool>()) stream += ":\n\n";
  const int earlier = *rc::gen::inRange(0, 3);
  int event = 1;
  for (int i = 0; i < earlier; ++i)
    stream += purge_event(++event, "\"item\":\"00000000000000ff\"", purged_ms - 1);
  if (*rc::gen::arbitrary<bool>()) stream += ":\n\n";
  return stream + purge_event(++event, "\"lot\":17", purged_ms);
}

// Guards against purged copies that are served between the reconnect and the missed purge. The stream is the
// head, a comment, missed purges of other objects and of the group, and a comment, cut anywhere.
RC_GTEST_PROP(DiscoveryGap, NoCopyIsServedBeforeTheMissedPurgeIsRead, ()) {
  VirtualTimeHarness harness;
  harness.deliver_unsplit();
  LocalReads reads(harness);
  harness.send("bulletin", kHead + ":\n\n");
  harness.wait(1ms);
  for (int object = 1; object <= kCopies; ++object) reads.fill(object, unix_ms(harness));
  RC_ASSERT(reads.is_served_locally(kCopies));

  run_scenario(harness, "bulletin close refusing");
  harness.wait(std::chrono::milliseconds(*rc::gen::inRange(0, 5000)));
  const std::int64_t purged_ms = unix_ms(harness);
  harness.wait(std::chrono::milliseconds(*rc::gen::inRange(0, 5000)));
  run_scenario(harness, "bulletin set normal");
  for (int i = 0; i < 100 && harness.take_received("bulletin").empty(); ++i) harness.wait(20ms);

  check_no_copy_is_served_before_the_end_of(kHead + stream_of_missed_purges(purged_ms), harness, reads);
}

// Guards against a purge that was issued after the list of known events was written and before the first
// stream began, or before its head came: copies that caches still gave out are not served until it is read.
RC_GTEST_PROP(DiscoveryGap, NoCopyIsServedBeforeTheFirstStreamHasToldWhatWasMissed, ()) {
  VirtualTimeHarness harness;
  harness.deliver_unsplit();
  LocalReads reads(harness);
  const std::int64_t purged_ms = unix_ms(harness) - *rc::gen::inRange(0, 5000);
  harness.wait(std::chrono::milliseconds(*rc::gen::inRange(0, 100)));
  harness.send("bulletin", kHead);
  for (int object = 1; object <= kCopies; ++object) reads.fill(object, purged_ms);
  check_no_copy_is_served_before_the_end_of(stream_of_missed_purges(purged_ms), harness, reads);
}

// Guards against copies that stay unused although the new stream has told what was missed.
TEST(DiscoveryGap, CopiesAreServedAgainAfterALaterPurgeOfAnotherObject) {
  VirtualTimeHarness harness;
  LocalReads reads(harness);
  harness.send("bulletin", kHead + ":\n\n");
  harness.wait(1ms);
  reads.fill(1, unix_ms(harness));
  ASSERT_TRUE(reads.is_served_locally(1));
  run_scenario(harness, "bulletin close");
  harness.wait(1000ms);
  harness.send("bulletin", kHead + ":\n\n");
  EXPECT_FALSE(reads.is_served_locally(1)) << "a comment does not show what was missed";
  harness.wait(1200ms);
  harness.send("bulletin", purge_event(2, "\"item\":\"00000000000000ff\"", unix_ms(harness)));
  EXPECT_TRUE(reads.is_served_locally(1));
}

// Guards against copies that are never used again where no purge follows a gap.
TEST(DiscoveryGap, ACopyThatACacheStillSendsOnceMissedPurgesAreSettledIsServed) {
  VirtualTimeHarness harness;
  LocalReads reads(harness);
  harness.send("bulletin", kHead + ":\n\n");
  harness.wait(1ms);
  const std::int64_t born_ms = unix_ms(harness);
  reads.fill(1, born_ms);
  run_scenario(harness, "bulletin close");
  harness.wait(1000ms);
  harness.send("bulletin", kHead + ":\n\n");
  for (int second = 0; second < 7; ++second) {
    EXPECT_FALSE(reads.is_served_locally(1)) << "after " << second << " s";
    harness.wait(1000ms);
    harness.send("bulletin", ":\n\n");
  }
  reads.answer_from_cache(1, born_ms);
  EXPECT_TRUE(reads.is_served_locally(1));
}

}  // namespace
}  // namespace edge_proxy::test
