// SPDX-License-Identifier: MIT
// Clients that read their answers slowly: an accepted request is a promise, so that no answer is lost while
// its client goes on reading. Requests that do not fit are rejected at admission.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "support/virtual_time_harness.h"

namespace edge_proxy::test {
namespace {

using namespace std::chrono_literals;

constexpr int kMaxOpenRequests = 32;  // of one connection
constexpr std::size_t kLargestObject = 240'000;
const std::vector<std::string> kMembers{"box-1", "box-2", "box-3", "box-4", "up-1", "up-2", "main"};

std::string response(const std::string& id, std::size_t body_bytes) {
  return id + " HIT ver=a " + std::to_string(body_bytes) + "\r\n" + std::string(body_bytes, 'x') + "\r\n";
}

/// Answers all requests that caches have received, each on its connection; returns their number.
int answer_all(VirtualTimeHarness& harness, std::size_t body_bytes) {
  int count = 0;
  for (const std::string& member : kMembers) {
    for (const std::string& id : requested_ids(harness.take_received(member))) {
      harness.send(member, response(id, body_bytes));
      ++count;
    }
  }
  return count;
}

/// Returns how often the text stands in the bytes.
int count_of(const std::string& bytes, const std::string& text) {
  int count = 0;
  for (std::size_t at = bytes.find(text); at != std::string::npos; at = bytes.find(text, at + 1)) ++count;
  return count;
}

// Guards against a limit on unread bytes that cuts off a client although its requests were accepted: 32
// answers of the largest size are more than an eighth of 32 MB.
TEST(SlowReaders, AllAcceptedRequestsAreAnsweredWhateverTheirSize) {
  VirtualTimeHarness harness(kMembers, 32);
  harness.set_write_stalled("anna", true);
  for (int i = 1; i <= kMaxOpenRequests; ++i)
    harness.send("anna", request_message(i, request_fields(i, "video")));
  const int accepted = answer_all(harness, kLargestObject);
  EXPECT_GE(accepted, kMaxOpenRequests / 2);
  for (int read = 0; read < 40; ++read) {  // 1 MB a second
    harness.wait(100ms);
    harness.take_written_bytes("anna", 100'000);
  }
  EXPECT_FALSE(harness.is_closed("anna"));
  EXPECT_EQ(harness.log().find("kind=front"), std::string::npos);
  EXPECT_GE(harness.take_received("anna").size(), static_cast<std::size_t>(accepted) * kLargestObject);
}

// Guards against bytes that count as unread until the last one is read.
TEST(SlowReaders, WhatTheClientHasReadCountsAtOnce) {
  VirtualTimeHarness harness(kMembers, 192);
  harness.set_write_stalled("anna", true);
  for (int i = 1; i <= 12; ++i) harness.send("anna", request_message(i, request_fields(i, "video")));
  ASSERT_EQ(answer_all(harness, kLargestObject), 12);
  run_scenario(harness, "anna send 40 pages");
  EXPECT_EQ(answer_all(harness, 1), 0) << "2.9 MB are unread: a new request is rejected";
  harness.take_written_bytes("anna", 12 * kLargestObject - 1'000'000);
  run_scenario(harness, "anna send 41 pages");
  EXPECT_EQ(answer_all(harness, 1), 1) << "1 MB is unread: a new request is accepted";
}

// Guards against an answer that is shed in the moment in which it is written, because others who do not read
// still have open requests.
TEST(SlowReaders, AUsualClientIsNotShedForOthersThatDoNotRead) {
  VirtualTimeHarness harness(kMembers, 32);
  harness.deliver_unsplit();
  int number = 0;
  for (int client = 1; client <= 20; ++client) {
    const std::string name = "idle-" + std::to_string(client);
    harness.set_write_stalled(name, true);
    for (int i = 1; i <= 8; ++i)
      harness.send(name, request_message(number + i, request_fields(number + i, "video")));
    number += 8;
    for (const std::string& member : kMembers) {
      std::vector<std::string> ids = requested_ids(harness.take_received(member));
      if (!ids.empty()) ids.pop_back();
      for (const std::string& id : ids) {
        harness.send(member, response(id, kLargestObject));
        ++number;
        harness.send("bert", request_message(number, request_fields(number, "pages")));
        answer_all(harness, kLargestObject);
        ASSERT_FALSE(harness.is_closed("bert")) << harness.log();
        EXPECT_FALSE(harness.take_received("bert").empty()) << "request " << number;
      }
    }
  }
}

// Guards against a time limit that runs from the last answer, although the client reads without a pause.
TEST(SlowReaders, AClientThatGoesOnReadingIsNotCutOffAfterTheLongestDeadline) {
  VirtualTimeHarness harness(kMembers, 192);
  harness.set_write_stalled("anna", true);
  for (int i = 1; i <= 12; ++i) harness.send("anna", request_message(i, request_fields(i, "video")));
  ASSERT_EQ(answer_all(harness, kLargestObject), 12);
  for (int step = 0; step < 60; ++step) {  // 15 s, three times the longest deadline
    harness.wait(250ms);
    harness.take_written_bytes("anna", step % 8 == 0 ? 100'000 : 0);
    ASSERT_FALSE(harness.is_closed("anna")) << "after " << step << " steps";
  }
  harness.wait(4900ms);
  EXPECT_FALSE(harness.is_closed("anna"));
  harness.wait(300ms);
  EXPECT_TRUE(harness.is_closed("anna")) << "it has read nothing for the longest deadline";
}

// Guards against replies to rejected calls that pile up for a client that does not read.
TEST(SlowReaders, RejectionsThatNobodyReadsAreBounded) {
  VirtualTimeHarness harness(kMembers, 32);
  harness.set_write_stalled("anna", true);
  run_scenario(harness, "anna send probe 1");
  for (int i = 2; i <= 4000 && !harness.is_closed("anna"); ++i) {
    run_scenario(harness, "anna send probe " + std::to_string(i));
    if (i % 100 == 0) harness.wait(10ms);
  }
  EXPECT_TRUE(harness.is_closed("anna"));
  EXPECT_EQ(count_of(harness.log(), "reason=backlog"), 1);
}

}  // namespace
}  // namespace edge_proxy::test
