// SPDX-License-Identifier: MIT
// Requests that clients withdraw at full speed leave nothing behind: tables whose entries have a time limit
// are bounded, and what they hold is part of the memory account.
#include <gtest/gtest.h>

#include <set>
#include <sstream>

#include "proxy/resource_limits.h"
#include "proxy/upstream/upstream_connection.h"
#include "support/reducer_scenarios.h"

namespace edge_proxy::test {
namespace {

using namespace std::chrono_literals;

constexpr int kWithdrawnRequests = 12'000;
/// Stale timers that the reducer and the router may keep.
constexpr long kMaxStaleEntries = 2 * 1024;
/// Connections of the harness to one cache.
constexpr long kMaxConnections = 32;
constexpr long kMaxUnconfirmedAttempts = proxy::kMaxUnconfirmedAttempts;
constexpr long kOutstandingAttemptBytes = proxy::kOutstandingAttemptBytes;

/// Returns the value behind `name=` in the last log line that has it; -1 if there is none.
long last_logged(const std::string& log, const std::string& name) {
  const std::size_t at = log.rfind(" " + name + "=");
  return at == std::string::npos ? -1 : std::stol(log.substr(at + name.size() + 2));
}

std::string response_to(int number) {
  std::ostringstream response;
  response.fill('0');
  response.width(16);
  response << std::hex << number;
  return response.str() + " HIT ver=a 1\r\nb\r\n";
}

std::string long_request(int number) {
  auto fields = request_fields(number, "pages");
  fields["limit"] = "10000";
  return request_message(number, fields);
}

// Guards against records of withdrawn requests that stay until the time limits of the requests.
TEST(WithdrawnRequests, AreForgottenOnceTheyAreAnswered) {
  VirtualTimeHarness harness;
  for (int number = 1; number <= kWithdrawnRequests; ++number) {
    harness.send("anna", long_request(number));
    harness.send("anna", cancel_message(number));
    harness.send("box-1", response_to(number));
  }
  harness.wait(1100ms);
  run_scenario(harness, "bert send 20001 pages");
  harness.wait(1000ms);
  const long kept = last_logged(harness.log(), "kept");
  EXPECT_GE(kept, 0);
  EXPECT_LE(kept, kMaxStaleEntries);
}

// Guards against records of withdrawn requests that no cache answers any more.
TEST(WithdrawnRequests, AreBoundedIfNoCacheAnswers) {
  VirtualTimeHarness harness;
  for (int number = 1; number <= kWithdrawnRequests; ++number) {
    harness.send("anna", long_request(number));
    harness.send("anna", cancel_message(number));
  }
  harness.wait(1100ms);
  harness.take_received("box-1");
  run_scenario(harness, "bert send 20001 pages\nbox-1 expect serve 20001");
  harness.wait(1000ms);
  const long kept = last_logged(harness.log(), "kept");
  EXPECT_GE(kept, 0);
  EXPECT_LE(kept, kMaxStaleEntries + kMaxConnections * kMaxUnconfirmedAttempts);
}

// Guards against connections that take no attempts any more because their cancels are never confirmed.
TEST(WithdrawnRequests, AnAnswerConfirmsTheCancelsWrittenBefore) {
  std::set<proxy::ConnectionId> connections;
  VirtualTimeHarness harness({"box-1", "up-1", "main"}, 192, nullptr,
                             [&](Time, const proxy::Input&, const std::vector<proxy::Effect>& effects) {
                               for (const proxy::Effect& effect : effects) {
                                 const auto* connect = std::get_if<proxy::Connect>(&effect);
                                 if (connect != nullptr) connections.insert(connect->connection);
                               }
                             });
  run_scenario(harness, "anna send 1 pages\nbox-1 expect serve 1\nbox-1 send HIT 1 ver=a b");
  const std::size_t connections_before = connections.size();
  for (int number = 2; number <= 2000; ++number) {
    harness.send("anna", long_request(number));
    if (number % 50 == 0) {
      harness.send("box-1", response_to(number));
    } else {
      harness.send("anna", cancel_message(number));
    }
  }
  EXPECT_EQ(connections.size(), connections_before);
  EXPECT_EQ(harness.log().find("unconfirmed_cancels"), std::string::npos);
}

// Guards against an answer that crosses its cancel and is taken for the answer to a later request with the
// same id.
TEST(WithdrawnRequests, ALateAnswerIsNotGivenToALaterRequestWithTheSameId) {
  VirtualTimeHarness harness;
  run_scenario(harness, R"(
    anna send 1 pages
    box-1 expect serve 1
    box-1 send HIT 1 ver=a warm
    anna expect served 1
    anna send 2 pages
    box-1 expect serve 2
    anna send giveUp 2
    box-1 expect cancel 2
    bert send 2 pages item=00000000000000bb
    box-1 expect serve 2 thing=00000000000000bb
    box-1 send HIT 2 ver=a right
    bert expect served 2 body=right
  )");
  // The connection of the first attempt is another one: its late answer finds no open attempt.
  std::set<proxy::ConnectionId> written_on;
  VirtualTimeHarness observed(
      {"box-1", "up-1", "main"}, 192, nullptr,
      [&](Time, const proxy::Input&, const std::vector<proxy::Effect>& effects) {
        for (const proxy::Effect& effect : effects) {
          const auto* write = std::get_if<proxy::Write>(&effect);
          if (write != nullptr && write->bytes.find("serve 0000000000000002") != std::string::npos)
            written_on.insert(write->connection);
        }
      });
  run_scenario(observed, R"(
    anna send 2 pages
    anna send giveUp 2
    bert send 2 pages
    box-1 expect serve 2
    box-1 expect cancel 2
    box-1 expect serve 2
  )");
  EXPECT_EQ(written_on.size(), 2U);
}

// Guards against attempts that outlive their withdrawn requests and are in no memory account, where caches
// take no cancels.
TEST(WithdrawnRequests, TheirOpenAttemptsCountAgainstTheMemoryLimit) {
  VirtualTimeHarness harness({"box-1", "box-2", "box-3", "box-4", "up-1", "main"}, 16, without_cancels);
  for (int number = 1; number <= 4000; ++number) {
    harness.send("anna", long_request(number));
    harness.send("anna", cancel_message(number));
  }
  harness.wait(1100ms);
  const long out = last_logged(harness.log(), "out");
  EXPECT_GT(out, 0);
  EXPECT_LE(out * kOutstandingAttemptBytes, last_logged(harness.log(), "limit"));
  EXPECT_GE(last_logged(harness.log(), "requests"), out * kOutstandingAttemptBytes);
}

}  // namespace
}  // namespace edge_proxy::test
