// SPDX-License-Identifier: MIT
// Drawn plays of rare moments under the settings of several customers, in virtual time: answers of every
// word, late, twice and never, resets, drains and purges, cancels and ends of clients. One judge holds all
// that was sent and answered against the rules. A failing seed is played again by its number.
#include <gtest/gtest.h>

#include <cstdlib>
#include <iomanip>
#include <random>
#include <sstream>

#include "support/virtual_time_harness.h"

namespace edge_proxy::test {
namespace {

using namespace std::chrono_literals;

std::string with(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return at == std::string::npos ? text : text.replace(at, from.size(), to);
}

enum class May { repeat, within_window, not_repeat };

/// One customer's settings, and what the judge has to know of them.
struct Customer {
  const char* name;
  std::string (*edit)(std::string);
  int attempts = 8;
  bool cancels = true, two_at_once = false;
  int limit_ms = 2400;
  std::vector<std::pair<std::string, May>> classes{
      {"video", May::repeat}, {"pages", May::repeat}, {"order", May::within_window}};
  std::chrono::milliseconds window = 2s;
  const char* sizes = "";
};

const std::vector<Customer>& customers() {
  static const std::vector<Customer> all{
      {"as the site", [](std::string c) { return c; }},
      {"no cancels, one attempt",
       [](std::string c) {
         return with(with(c, R"("cancelling":true)", R"("cancelling":false)"), R"("attempts_cap":8)",
                     R"("attempts_cap":1)");
       },
       1, false},
      {"effects that may not be repeated, one request a connection",
       [](std::string c) {
         c = with(c, R"("effect":"dedup",)", R"("effect":"fragile",)");
         return with(c, R"("multiplex":32)", R"("multiplex":1)");
       },
       8,
       true,
       false,
       2400,
       {{"video", May::repeat}, {"pages", May::repeat}, {"order", May::not_repeat}}},
      {"straight to the origin, short window",
       [](std::string c) {
         return with(with(c, R"("straight":false)", R"("straight":true)"), R"("memory_span":2000000)",
                     R"("memory_span":300000)");
       },
       8,
       true,
       false,
       2400,
       {{"video", May::repeat}, {"pages", May::repeat}, {"order", May::within_window}},
       300ms},
      {"other names and effects, deadlines below half a second, no sizes",
       [](std::string c) {
         c = with(with(c, R"("deadline":5000000)", R"("deadline":450000)"), R"("deadline":2500000)",
                  R"("deadline":400000)");
         c = with(with(c, R"("deadline":3000000)", R"("deadline":450000)"), R"("aim":600000)",
                  R"("aim":300000)");
         c = with(with(c, R"("name":"video")", R"("name":"scan")"), R"("name":"order")", R"("name":"note")");
         c = with(c, R"("effect":"retryable","worth":2.0)",
                  R"("effect":"dedup","group":"zone","memory_span":200000,"worth":2.0)");
         c = with(c, R"("memory_span":2000000)", R"("memory_span":200000)");
         c = with(c, R"("drain_grace":1000000)", R"("drain_grace":150000)");
         return with(c, R"("weights":"nominal")", R"("weights":"rough")");
       },
       8,
       true,
       false,
       400,
       {{"scan", May::within_window}, {"pages", May::repeat}, {"note", May::within_window}},
       200ms,
       " !ram"},
      {"two copies at once, long deadlines",
       [](std::string c) {
         c = with(c, R"("second_copies":false)", R"("second_copies":true)");
         return with(c, R"("deadline":2500000)", R"("deadline":8000000)");
       },
       8, true, true},
  };
  return all;
}

class Play {
 public:
  Play(const Customer& customer, unsigned seed)
      : customer_(customer), draws_(seed), stage_(kMembers, 192, customer.edit) {
    run_scenario(stage_, "bulletin expect get last=1\nbulletin send head");
  }

  void run() {
    for (int step = 0; step < 3000 && !::testing::Test::HasFailure(); ++step) {
      if (chance(0.06)) ask();
      if (chance(0.01)) leave();
      if (chance(0.002)) change_list();
      if (chance(0.001)) purge();
      if (chance(0.002)) reset();
      if (step % 500 == 0) say("bulletin send comment");
      step_on();
    }
    for (int step = 0; step < 300 && !::testing::Test::HasFailure(); ++step) {
      if (step % 50 == 0) say("bulletin send comment");
      step_on(10ms);
    }
    for (const auto& [number, request] : requests_) {
      if (!request.gone) {
        EXPECT_EQ(request.answers, 1) << "request " << number;
      }
    }
    EXPECT_GT(served_, 50);
    EXPECT_GT(attempts_.size(), 150U);
  }

 private:
  static inline const std::vector<std::string> kMembers{"box-1", "box-2", "box-3", "up-1", "up-2", "main"};
  struct Asked {
    std::string client;
    May may = May::repeat;
    bool writes = false;
    Time sent{0}, limit{0};
    std::optional<Time> gone;
    int answers = 0;
  };
  struct Sent {
    int request = 0;
    std::string member;
    Time at{0};
    bool out = true, may_have_run = true;
  };
  struct Planned {
    std::size_t attempt = 0;
    std::string word;
  };

  double draw() { return std::uniform_real_distribution<double>(0, 1)(draws_); }
  bool chance(double p) { return draw() < p; }
  int up_to(int most) { return static_cast<int>(draw() * most); }
  [[nodiscard]] Time now() const { return stage_.now(); }
  [[nodiscard]] long long now_ms() const { return now().count() / 1000; }
  void say(const std::string& line) { run_scenario(stage_, line); }

  void step_on(std::chrono::milliseconds span = 1ms) {
    stage_.wait(span);
    hear_all();
    for (auto due = plans_.begin(); due != plans_.end() && due->first <= now();) {
      const Planned planned = due->second;
      due = plans_.erase(due);
      answer(planned);
    }
    for (const std::string& client : clients_) read(client);
  }

  void ask() {
    const auto& [name, may] = customer_.classes[static_cast<std::size_t>(up_to(3))];
    const int number = ++last_;
    Asked asked;
    asked.client = chance(0.5) ? "anna-" + std::to_string(number) : "bert-" + std::to_string(number % 5);
    if (left_.count(asked.client) != 0) return;
    asked.may = may;
    asked.writes = name == customer_.classes[2].first;
    asked.sent = now();
    asked.limit = now() + std::chrono::milliseconds(customer_.limit_ms);
    clients_.insert(asked.client);
    requests_[number] = asked;
    say(asked.client + " send " + std::to_string(number) + " " + name + " limit=" +
        std::to_string(customer_.limit_ms) + " unique=k" + std::to_string(number) + customer_.sizes);
  }

  /// What was written until now: before news of it is given that it need not know.
  void hear_all() {
    for (const std::string& member : kMembers) hear(member, stage_.take_received(member));
  }

  void leave() {
    if (requests_.empty()) return;
    hear_all();
    auto& [number, asked] = *std::next(requests_.begin(), up_to(static_cast<int>(requests_.size())));
    if (asked.gone || asked.answers > 0) return;
    read(asked.client);
    if (asked.answers > 0) return;
    if (chance(0.5)) {
      say(asked.client + " send giveUp " + std::to_string(number));
      asked.gone = now();
      return;
    }
    say(asked.client + (chance(0.5) ? " close" : " close reset"));
    left_.insert(asked.client);
    for (auto& [n, other] : requests_) {
      if (other.client == asked.client && !other.gone) other.gone = now();
    }
  }

  void change_list() {
    hear_all();
    const std::string member = kMembers[static_cast<std::size_t>(up_to(5))];  // the origin stays
    const bool out = draining_.erase(member) == 0;
    if (out) draining_.insert(member);
    say(R"(bulletin send {"no":)" + std::to_string(++event_) +
        R"(,"roster":{"revision":2,"complete":false,"members":[)" +
        member_json(member, member + ":1", out ? "leaving" : "active", out ? 0 : now_ms()) + "]}}");
  }

  void purge() {
    hear_all();
    purged_ms_ = now_ms();
    say(R"(bulletin send {"no":)" + std::to_string(++event_) + R"(,"recall":{"lot":17,"issued":)" +
        std::to_string(purged_ms_) + "}}");
  }

  void reset() {
    const std::string member = kMembers[static_cast<std::size_t>(up_to(3))];
    hear_all();
    for (Sent& sent : attempts_) {
      if (sent.member == member) sent.out = false;
    }
    say(member + " close reset");
  }

  /// What came for a member: attempts, held against the rules, and cancels.
  void hear(const std::string& member, const std::string& bytes) {
    std::string& all = heard_[member] += bytes;
    for (std::size_t end = 0; (end = all.find("\r\n")) != std::string::npos;) {
      std::istringstream line(all.substr(0, end));
      std::string word, id, fields;
      std::size_t length = 0;
      line >> word >> id >> fields >> length;
      const bool serve = word == "serve";
      if (serve && all.size() < end + 4 + length) return;
      all.erase(0, serve ? end + 4 + length : end + 2);
      const int request = std::stoi(id, nullptr, 16);
      if (serve) {
        judge(member, request, "," + fields + ",");
      } else {
        EXPECT_TRUE(customer_.cancels) << "a cancel where none is allowed";
        for (Sent& sent : attempts_) {
          if (sent.request == request && sent.member == member) sent.out = false;
        }
      }
    }
  }

  void judge(const std::string& member, int number, const std::string& fields) {
    SCOPED_TRACE("request " + std::to_string(number) + " at " + member + " now " + std::to_string(now_ms()));
    const Asked& asked = requests_.at(number);
    if (asked.gone) {
      EXPECT_LE(now() - *asked.gone, 1ms) << "its client has gone";
    }
    EXPECT_EQ(asked.answers, 0) << "it was answered";
    EXPECT_EQ(draining_.count(member), 0U) << "it drains";
    for (const std::string& drains : draining_)
      EXPECT_EQ(fields.find(",from=" + drains + ","), std::string::npos) << "its source drains";
    const std::size_t oldest = fields.find(",oldest=");
    if (purged_ms_ > 0 && !asked.writes) {
      ASSERT_NE(oldest, std::string::npos) << "after a purge";
      EXPECT_LE(std::stoll(fields.substr(oldest + 8)), now_ms() - purged_ms_ + 2) << "older than the purge";
    }
    int before = 0;
    for (Sent& sent : attempts_) {
      if (sent.request != number) continue;
      ++before;
      sent.out = sent.out && stage_.is_request_connection_open(
                                 sent.member, hex(number));  // an end of the connection gives it up
      if (!customer_.two_at_once) {
        EXPECT_FALSE(sent.out) << "another attempt is out at " << sent.member;
      }
      if (!sent.may_have_run) continue;
      EXPECT_NE(asked.may, May::not_repeat) << "it may have run";
      if (asked.may == May::within_window) {
        EXPECT_LE(now() - sent.at, customer_.window) << "past its window";
      }
    }
    EXPECT_LT(before, customer_.attempts);
    attempts_.push_back({number, member, now()});
    plan(attempts_.size() - 1);
  }

  static std::string hex(int number) {
    std::ostringstream id;
    id << std::hex << std::setw(16) << std::setfill('0') << number;
    return id.str();
  }

  void plan(std::size_t attempt) {
    const double kind = draw();
    const char* word = kind < 0.6    ? "HIT"
                       : kind < 0.68 ? "SHED"
                       : kind < 0.76 ? "NONE"
                       : kind < 0.82 ? "FAULT"
                       : kind < 0.86 ? "LATE"
                       : kind < 0.93 ? "HIT twice"
                                     : "";
    if (*word == '\0') return;  // silence
    plans_.emplace(now() + std::chrono::milliseconds(1 + up_to(chance(0.1) ? 900 : 60)),
                   Planned{attempt, word});
  }

  void answer(const Planned& planned) {
    Sent& sent = attempts_[planned.attempt];
    const bool twice = planned.word == "HIT twice";
    const std::string id = hex(sent.request);
    const std::string word = planned.word.substr(0, planned.word.find(' '));
    if (!stage_.is_request_connection_open(sent.member, id)) return;
    // What was cancelled, or cut off by a reset, may still be answered: too late for this side.
    if (sent.out) {
      sent.may_have_run = word == "HIT" || word == "FAULT";
      sent.out = false;
    }
    const std::string bytes = id + " " + word + (word == "HIT" ? " ver=a,born=5 1\r\nb\r\n" : " - 0\r\n\r\n");
    stage_.send(sent.member, bytes);
    if (twice)
      plans_.emplace(now() + std::chrono::milliseconds(1 + up_to(5)), Planned{planned.attempt, "HIT"});
  }

  /// Answers that a client got: one for each request, in time, none to those that have gone.
  void read(const std::string& client) {
    std::string& all = answers_[client] += stage_.take_received(client);
    const auto u32 = [&all](std::size_t at) {
      std::uint32_t value = 0;
      for (std::size_t i = 0; i < 4; ++i) value = value << 8U | static_cast<unsigned char>(all.at(at + i));
      return value;
    };
    while (all.size() >= 4 && all.size() >= 4 + u32(0)) {
      const std::uint32_t name = u32(8);
      const int number = static_cast<int>(u32(12 + name));
      const bool exception = all.at(7) == 3;
      const int kind = exception ? 2 : all.at(12 + name + 6);  // 0 served, 1 refused, 2 failed
      all.erase(0, 4 + u32(0));
      SCOPED_TRACE("request " + std::to_string(number));
      Asked& asked = requests_.at(number);
      EXPECT_FALSE(asked.gone) << "answered though its client has gone";
      EXPECT_EQ(++asked.answers, 1) << "a second answer";
      EXPECT_LE(now(), asked.limit);
      if (kind == 0) ++served_;
      if (kind != 1 || asked.may != May::not_repeat) continue;
      for (const Sent& sent : attempts_) {
        if (sent.request == number) {
          EXPECT_FALSE(sent.may_have_run) << "refused though it may have run";
        }
      }
    }
  }

  const Customer& customer_;
  std::mt19937 draws_;
  VirtualTimeHarness stage_;
  int last_ = 0, event_ = 1, served_ = 0;
  long long purged_ms_ = 0;
  std::map<int, Asked> requests_;
  std::vector<Sent> attempts_;
  std::multimap<Time, Planned> plans_;
  std::set<std::string> clients_, left_, draining_;
  std::map<std::string, std::string> heard_, answers_;
};

class RareMoments : public ::testing::TestWithParam<std::size_t> {};

TEST_P(RareMoments, AllRulesHoldUnderACustomersSettings) {
  const Customer& customer = customers().at(GetParam());
  const char* more = std::getenv("EDGE_PROXY_PLAYS");
  const unsigned plays = more == nullptr ? 3 : static_cast<unsigned>(std::atoi(more));
  for (unsigned seed = 1; seed <= plays && !HasFailure(); ++seed) {
    SCOPED_TRACE(std::string(customer.name) + ", seed " + std::to_string(seed));
    Play(customer, seed).run();
  }
}

INSTANTIATE_TEST_SUITE_P(Customers, RareMoments, ::testing::Range<std::size_t>(0, 6));

}  // namespace
}  // namespace edge_proxy::test
