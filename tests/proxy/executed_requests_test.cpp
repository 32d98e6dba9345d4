// SPDX-License-Identifier: MIT
// The table of requests that have ended and must not run twice.
#include "proxy/client/executed_requests.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <string>

#include "proxy/resource_limits.h"
#include "support/scenario.h"

namespace edge_proxy::proxy {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kAccountBytes = std::size_t{1} << 20U;
constexpr std::size_t kPages = 1;   // idempotent
constexpr std::size_t kOrders = 2;  // with a key that all endpoints know

std::string id_of(int number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016x", static_cast<unsigned>(number));
  return text;
}

class ExecutedRequestsTest : public ::testing::Test {
 protected:
  void record(int number, Time now, std::size_t request_class = kOrders) {
    const std::string id = id_of(number);
    executed_.record({.request = id, .key = "k", .request_class = request_class, .decided_at = now}, now);
  }
  RepeatPermission permission_for(int number, std::string_view key) {
    return executed_.permission_for(id_of(number), kOrders, key, Time{0});
  }

  config::Config config_ = config::parse(test::config_text({"box-1", "main"}), {});
  MemoryAccount memory_{kAccountBytes};
  ExecutedRequests executed_{config_.settings, memory_, 4};
};

// Guards against a table that grows with the requests of clients, and outside the memory account.
TEST_F(ExecutedRequestsTest, ForgetsTheOldestAtItsLimitAndIsPartOfTheMemoryAccount) {
  for (int number = 1; number <= 100; ++number) {
    record(number, Time{number});
    EXPECT_LE(executed_.size(), 4U);
    EXPECT_EQ(memory_.held(MemoryUse::requests), executed_.size() * kExecutedRequestBytes);
  }
  EXPECT_TRUE(permission_for(96, "l").is_allowed);
  for (int number = 97; number <= 100; ++number) EXPECT_FALSE(permission_for(number, "l").is_allowed);
  executed_.set_max_entries(1);
  EXPECT_EQ(memory_.held(MemoryUse::requests), kExecutedRequestBytes);
  EXPECT_FALSE(permission_for(100, "l").is_allowed);
}

// Guards against a later attempt of a request that extends its deduplication window.
TEST_F(ExecutedRequestsTest, WindowStartsWithTheFirstAttempt) {
  record(1, 10s);
  record(1, 11s);
  EXPECT_EQ(executed_.size(), 1U);
  EXPECT_EQ(permission_for(1, "k").send_before,
            Time{10s} + config_.settings.classes[kOrders].deduplication_window);
}

// Guards against records that end too early, too late or not at all.
TEST_F(ExecutedRequestsTest, RecordsEndWhenNoClientWaitsAnyLonger) {
  const Time longest_wait = kMaxDeadlines * longest_deadline(config_.settings);
  record(1, 10s);
  record(2, 10s + 1us);
  record(1, 11s);
  executed_.forget_expired(10s + longest_wait);
  EXPECT_EQ(executed_.size(), 2U);
  executed_.forget_expired(10s + 1us + longest_wait);
  EXPECT_EQ(executed_.size(), 1U);
  EXPECT_FALSE(permission_for(1, "l").is_allowed);
  executed_.forget_expired(11s + longest_wait);
  EXPECT_EQ(executed_.size(), 0U);
  EXPECT_EQ(memory_.total(), 0U);
}

TEST_F(ExecutedRequestsTest, RequestsThatMayRunAnyNumberOfTimesAreNotRemembered) {
  record(1, 10s, kPages);
  EXPECT_EQ(executed_.size(), 0U);
}

}  // namespace
}  // namespace edge_proxy::proxy
