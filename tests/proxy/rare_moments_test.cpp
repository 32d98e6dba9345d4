// SPDX-License-Identifier: MIT
// Randomized scenarios under the settings of several customers, in virtual time: responses of every status,
// late, repeated and missing ones, resets, drains, invalidations, cancels and disconnects. All attempts and
// answers are checked against the rules. A failing scenario can be repeated by its seed.
#include <gtest/gtest.h>

#include <cstdlib>
#include <iomanip>
#include <random>
#include <sstream>

#include "support/virtual_time_harness.h"

namespace edge_proxy::test {
namespace {

using namespace std::chrono_literals;

std::string replace_in(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return at == std::string::npos ? text : text.replace(at, from.size(), to);
}

enum class RetryRule { always, within_window, never };

/// The settings of one customer, and the rules that follow from them.
struct Customer {
  const char* name;
  std::string (*edit)(std::string);
  int max_attempts = 8;
  bool allows_cancel = true, allows_hedging = false;
  int deadline_ms = 2400;
  std::vector<std::pair<std::string, RetryRule>> classes{
      {"video", RetryRule::always}, {"pages", RetryRule::always}, {"order", RetryRule::within_window}};
  std::chrono::milliseconds window = 2s;
  const char* extra_fields = "";
};

const std::vector<Customer>& customers() {
  static const std::vector<Customer> all{
      {"default settings", [](std::string config) { return config; }},
      {"no cancels, one attempt per request",
       [](std::string config) {
         return replace_in(replace_in(config, R"("cancelling":true)", R"("cancelling":false)"),
                           R"("attempts_cap":8)", R"("attempts_cap":1)");
       },
       1, false},
      {"no retries of requests with effects, one request per connection",
       [](std::string config) {
         config = replace_in(config, R"("effect":"dedup",)", R"("effect":"fragile",)");
         return replace_in(config, R"("multiplex":32)", R"("multiplex":1)");
       },
       8,
       true,
       false,
       2400,
       {{"video", RetryRule::always}, {"pages", RetryRule::always}, {"order", RetryRule::never}}},
      {"straight to the origin, short window",
       [](std::string config) {
         return replace_in(replace_in(config, R"("straight":false)", R"("straight":true)"),
                           R"("memory_span":2000000)", R"("memory_span":300000)");
       },
       8,
       true,
       false,
       2400,
       {{"video", RetryRule::always}, {"pages", RetryRule::always}, {"order", RetryRule::within_window}},
       300ms},
      {"other names and effects, deadlines below half a second, no size fields",
       [](std::string config) {
         config = replace_in(replace_in(config, R"("deadline":5000000)", R"("deadline":450000)"),
                             R"("deadline":2500000)", R"("deadline":400000)");
         config = replace_in(replace_in(config, R"("deadline":3000000)", R"("deadline":450000)"),
                             R"("aim":600000)", R"("aim":300000)");
         config = replace_in(replace_in(config, R"("name":"video")", R"("name":"scan")"), R"("name":"order")",
                             R"("name":"note")");
         config = replace_in(config, R"("effect":"retryable","worth":2.0)",
                             R"("effect":"dedup","group":"zone","memory_span":200000,"worth":2.0)");
         config = replace_in(config, R"("memory_span":2000000)", R"("memory_span":200000)");
         config = replace_in(config, R"("drain_grace":1000000)", R"("drain_grace":150000)");
         return replace_in(config, R"("weights":"nominal")", R"("weights":"rough")");
       },
       8,
       true,
       false,
       400,
       {{"scan", RetryRule::within_window}, {"pages", RetryRule::always}, {"note", RetryRule::within_window}},
       200ms,
       " !ram"},
      {"hedged requests, long deadlines",
       [](std::string config) {
         config = replace_in(config, R"("second_copies":false)", R"("second_copies":true)");
         return replace_in(config, R"("deadline":2500000)", R"("deadline":8000000)");
       },
       8, true, true},
  };
  return all;
}

class RandomScenario {
 public:
  RandomScenario(const Customer& customer, unsigned seed)
      : customer_(customer), random_engine_(seed), harness_(kMembers, 192, customer.edit) {
    run_scenario(harness_, "bulletin expect get last=1\nbulletin send head");
  }

  void run() {
    for (int step = 0; step < 3000 && !::testing::Test::HasFailure(); ++step) {
      if (chance(0.06)) send_request();
      if (chance(0.01)) cancel_or_disconnect();
      if (chance(0.002)) change_endpoint_list();
      if (chance(0.001)) invalidate();
      if (chance(0.002)) reset_connections();
      if (step % 500 == 0) run_line("bulletin send comment");
      advance();
    }
    for (int step = 0; step < 300 && !::testing::Test::HasFailure(); ++step) {
      if (step % 50 == 0) run_line("bulletin send comment");
      advance(10ms);
    }
    for (const auto& [number, request] : requests_) {
      if (!request.cancelled_at) {
        EXPECT_EQ(request.answer_count, 1) << "request " << number;
      }
    }
    EXPECT_GT(served_, 50);
    EXPECT_GT(attempts_.size(), 150U);
  }

 private:
  static inline const std::vector<std::string> kMembers{"box-1", "box-2", "box-3", "up-1", "up-2", "main"};
  struct Request {
    std::string client;
    RetryRule retry_rule = RetryRule::always;
    bool is_write = false;
    Time sent_at{0}, deadline{0};
    std::optional<Time> cancelled_at;
    int answer_count = 0;
  };
  struct SentAttempt {
    int request = 0;
    std::string member;
    Time sent_at{0};
    bool is_outstanding = true, may_have_run = true;
  };
  struct ScheduledResponse {
    std::size_t attempt = 0;
    std::string status;
  };

  double random_fraction() { return std::uniform_real_distribution<double>(0, 1)(random_engine_); }
  bool chance(double probability) { return random_fraction() < probability; }
  int random_below(int limit) { return static_cast<int>(random_fraction() * limit); }
  [[nodiscard]] Time now() const { return harness_.now(); }
  [[nodiscard]] long long now_ms() const { return now().count() / 1000; }
  void run_line(const std::string& line) { run_scenario(harness_, line); }

  void advance(std::chrono::milliseconds duration = 1ms) {
    harness_.wait(duration);
    read_all_members();
    for (auto due = scheduled_responses_.begin(); due != scheduled_responses_.end() && due->first <= now();) {
      const ScheduledResponse response = due->second;
      due = scheduled_responses_.erase(due);
      send_response(response);
    }
    for (const std::string& client : clients_) read_client(client);
  }

  void send_request() {
    const auto& [name, retry_rule] = customer_.classes[static_cast<std::size_t>(random_below(3))];
    const int number = ++last_request_;
    Request request;
    request.client = chance(0.5) ? "anna-" + std::to_string(number) : "bert-" + std::to_string(number % 5);
    if (disconnected_clients_.count(request.client) != 0) return;
    request.retry_rule = retry_rule;
    request.is_write = name == customer_.classes[2].first;
    request.sent_at = now();
    request.deadline = now() + std::chrono::milliseconds(customer_.deadline_ms);
    clients_.insert(request.client);
    requests_[number] = request;
    run_line(request.client + " send " + std::to_string(number) + " " + name +
             " limit=" + std::to_string(customer_.deadline_ms) + " unique=k" + std::to_string(number) +
             customer_.extra_fields);
  }

  /// Reads all bytes that were written so far, so that the next event does not apply to attempts before it.
  void read_all_members() {
    for (const std::string& member : kMembers) read_member(member, harness_.take_received(member));
  }

  void cancel_or_disconnect() {
    if (requests_.empty()) return;
    read_all_members();
    auto& [number, request] = *std::next(requests_.begin(), random_below(static_cast<int>(requests_.size())));
    if (request.cancelled_at || request.answer_count > 0) return;
    read_client(request.client);
    if (request.answer_count > 0) return;
    if (chance(0.5)) {
      run_line(request.client + " send giveUp " + std::to_string(number));
      request.cancelled_at = now();
      return;
    }
    run_line(request.client + (chance(0.5) ? " close" : " close reset"));
    disconnected_clients_.insert(request.client);
    for (auto& [other_number, other] : requests_) {
      if (other.client == request.client && !other.cancelled_at) other.cancelled_at = now();
    }
  }

  void change_endpoint_list() {
    read_all_members();
    const std::string member =
        kMembers[static_cast<std::size_t>(random_below(5))];  // the origin is never drained
    const bool is_draining = draining_.erase(member) == 0;
    if (is_draining) draining_.insert(member);
    run_line(
        R"(bulletin send {"no":)" + std::to_string(++last_event_) +
        R"(,"roster":{"revision":2,"complete":false,"members":[)" +
        member_json(member, member + ":1", is_draining ? "leaving" : "active", is_draining ? 0 : now_ms()) +
        "]}}");
  }

  void invalidate() {
    read_all_members();
    invalidated_ms_ = now_ms();
    run_line(R"(bulletin send {"no":)" + std::to_string(++last_event_) + R"(,"recall":{"lot":17,"issued":)" +
             std::to_string(invalidated_ms_) + "}}");
  }

  void reset_connections() {
    const std::string member = kMembers[static_cast<std::size_t>(random_below(3))];
    read_all_members();
    for (SentAttempt& attempt : attempts_) {
      if (attempt.member == member) attempt.is_outstanding = false;
    }
    run_line(member + " close reset");
  }

  /// Reads the attempts and cancels that a member has received, and checks the attempts against the rules.
  void read_member(const std::string& member, const std::string& bytes) {
    std::string& all = member_bytes_[member] += bytes;
    for (std::size_t end = 0; (end = all.find("\r\n")) != std::string::npos;) {
      std::istringstream line(all.substr(0, end));
      std::string command, id, fields;
      std::size_t length = 0;
      line >> command >> id >> fields >> length;
      const bool is_attempt = command == "serve";
      if (is_attempt && all.size() < end + 4 + length) return;
      all.erase(0, is_attempt ? end + 4 + length : end + 2);
      const int request = std::stoi(id, nullptr, 16);
      if (is_attempt) {
        check_attempt(member, request, "," + fields + ",");
      } else {
        EXPECT_TRUE(customer_.allows_cancel) << "cancels are disabled";
        for (SentAttempt& attempt : attempts_) {
          if (attempt.request == request && attempt.member == member) attempt.is_outstanding = false;
        }
      }
    }
  }

  void check_attempt(const std::string& member, int number, const std::string& fields) {
    SCOPED_TRACE("request " + std::to_string(number) + " at " + member + " now " + std::to_string(now_ms()));
    const Request& request = requests_.at(number);
    if (request.cancelled_at) {
      EXPECT_LE(now() - *request.cancelled_at, 1ms) << "the request was cancelled or its client disconnected";
    }
    EXPECT_EQ(request.answer_count, 0) << "the request was already answered";
    EXPECT_EQ(draining_.count(member), 0U) << "the member is draining";
    for (const std::string& source : draining_)
      EXPECT_EQ(fields.find(",from=" + source + ","), std::string::npos) << "the source is draining";
    const std::size_t oldest = fields.find(",oldest=");
    if (invalidated_ms_ > 0 && !request.is_write) {
      ASSERT_NE(oldest, std::string::npos) << "no maximum age after an invalidation";
      EXPECT_LE(std::stoll(fields.substr(oldest + 8)), now_ms() - invalidated_ms_ + 2)
          << "the copy may be older than the invalidation";
    }
    int previous_attempts = 0;
    for (SentAttempt& attempt : attempts_) {
      if (attempt.request != number) continue;
      ++previous_attempts;
      // The proxy abandons its attempts on a connection that has closed.
      attempt.is_outstanding =
          attempt.is_outstanding && harness_.is_request_connection_open(attempt.member, hex(number));
      if (!customer_.allows_hedging) {
        EXPECT_FALSE(attempt.is_outstanding) << "another attempt is outstanding at " << attempt.member;
      }
      if (!attempt.may_have_run) continue;
      EXPECT_NE(request.retry_rule, RetryRule::never) << "a previous attempt may have run";
      if (request.retry_rule == RetryRule::within_window) {
        EXPECT_LE(now() - attempt.sent_at, customer_.window) << "the deduplication window has passed";
      }
    }
    EXPECT_LT(previous_attempts, customer_.max_attempts);
    attempts_.push_back({number, member, now()});
    schedule_response(attempts_.size() - 1);
  }

  static std::string hex(int number) {
    std::ostringstream id;
    id << std::hex << std::setw(16) << std::setfill('0') << number;
    return id.str();
  }

  void schedule_response(std::size_t attempt) {
    const double kind = random_fraction();
    const char* status = kind < 0.6    ? "HIT"
                         : kind < 0.68 ? "SHED"
                         : kind < 0.76 ? "NONE"
                         : kind < 0.82 ? "FAULT"
                         : kind < 0.86 ? "LATE"
                         : kind < 0.93 ? "HIT twice"
                                       : "";
    if (*status == '\0') return;  // no response
    scheduled_responses_.emplace(now() + std::chrono::milliseconds(1 + random_below(chance(0.1) ? 900 : 60)),
                                 ScheduledResponse{attempt, status});
  }

  void send_response(const ScheduledResponse& response) {
    SentAttempt& attempt = attempts_[response.attempt];
    const bool is_repeated = response.status == "HIT twice";
    const std::string id = hex(attempt.request);
    const std::string status = response.status.substr(0, response.status.find(' '));
    if (!harness_.is_request_connection_open(attempt.member, id)) return;
    // A cancelled or reset attempt may still get a response, which the proxy ignores.
    if (attempt.is_outstanding) {
      attempt.may_have_run = status == "HIT" || status == "FAULT";
      attempt.is_outstanding = false;
    }
    const std::string bytes =
        id + " " + status + (status == "HIT" ? " ver=a,born=5 1\r\nb\r\n" : " - 0\r\n\r\n");
    harness_.send(attempt.member, bytes);
    if (is_repeated)
      scheduled_responses_.emplace(now() + std::chrono::milliseconds(1 + random_below(5)),
                                   ScheduledResponse{response.attempt, "HIT"});
  }

  /// Reads the answers that a client has received: one for each request, before its deadline, and none for
  /// cancelled requests.
  void read_client(const std::string& client) {
    std::string& all = client_bytes_[client] += harness_.take_received(client);
    const auto u32 = [&all](std::size_t at) {
      std::uint32_t value = 0;
      for (std::size_t i = 0; i < 4; ++i) value = value << 8U | static_cast<unsigned char>(all.at(at + i));
      return value;
    };
    while (all.size() >= 4 && all.size() >= 4 + u32(0)) {
      const std::uint32_t method_length = u32(8);
      const int number = static_cast<int>(u32(12 + method_length));
      const bool is_exception = all.at(7) == 3;
      const int result = is_exception ? 2 : all.at(12 + method_length + 6);  // 0 served, 1 rejected, 2 failed
      all.erase(0, 4 + u32(0));
      SCOPED_TRACE("request " + std::to_string(number));
      Request& request = requests_.at(number);
      EXPECT_FALSE(request.cancelled_at) << "answered although the request was cancelled";
      EXPECT_EQ(++request.answer_count, 1) << "answered twice";
      EXPECT_LE(now(), request.deadline);
      if (result == 0) ++served_;
      if (result != 1 || request.retry_rule != RetryRule::never) continue;
      for (const SentAttempt& attempt : attempts_) {
        if (attempt.request == number) {
          EXPECT_FALSE(attempt.may_have_run) << "rejected although an attempt may have run";
        }
      }
    }
  }

  const Customer& customer_;
  std::mt19937 random_engine_;
  VirtualTimeHarness harness_;
  int last_request_ = 0, last_event_ = 1, served_ = 0;
  long long invalidated_ms_ = 0;
  std::map<int, Request> requests_;
  std::vector<SentAttempt> attempts_;
  std::multimap<Time, ScheduledResponse> scheduled_responses_;
  std::set<std::string> clients_, disconnected_clients_, draining_;
  std::map<std::string, std::string> member_bytes_, client_bytes_;
};

class RandomScenarios : public ::testing::TestWithParam<std::size_t> {};

TEST_P(RandomScenarios, AllRulesHoldUnderTheSettingsOfACustomer) {
  const Customer& customer = customers().at(GetParam());
  const char* count = std::getenv("EDGE_PROXY_PLAYS");
  const unsigned scenarios = count == nullptr ? 3 : static_cast<unsigned>(std::atoi(count));
  for (unsigned seed = 1; seed <= scenarios && !HasFailure(); ++seed) {
    SCOPED_TRACE(std::string(customer.name) + ", seed " + std::to_string(seed));
    RandomScenario(customer, seed).run();
  }
}

INSTANTIATE_TEST_SUITE_P(Customers, RandomScenarios, ::testing::Range<std::size_t>(0, 6));

}  // namespace
}  // namespace edge_proxy::test
