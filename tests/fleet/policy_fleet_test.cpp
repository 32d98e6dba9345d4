// SPDX-License-Identifier: MIT
// A change of policy over several processes of the program, with client load on all the while and faults of processes and
// between them. At the end of each test all decisions of all processes are held against each other.
#include <gtest/gtest.h>

#include <future>

#include "policy_checker.h"

namespace dahliahall::test {
namespace {

using namespace std::chrono_literals;

class Policies : public testing::Test {
 protected:
  void begin(std::size_t count, std::size_t voters,
             std::function<std::string(std::size_t, std::string)> edit = nullptr) {
    Fleet::Options options;
    options.voters = voters;
    options.more_policy = R"(,"lease":2000000)";
    options.edit = std::move(edit);
    fleet_ = std::make_unique<Fleet>(count, options);
    fleet_->expect("all decide", 30s, [&] { return all_decide(0); });
    clients_ = std::make_unique<Clients>(*fleet_, 5ms);
  }
  void TearDown() override {
    if (!fleet_) return;
    clients_.reset();
    std::vector<std::string> logs;
    for (std::size_t i = 0; i < fleet_->size(); ++i) logs.push_back(fleet_->log(i));
    const Checked checked = check_decisions(logs, 350ms);
    EXPECT_GT(checked.decisions, 100U);
    EXPECT_EQ(checked.violations.size(), 0U) << checked.violations.front() << "\n" << fleet_->story();
    std::printf("decisions %zu, violations %zu\n", checked.decisions, checked.violations.size());
  }

  std::string policy(std::size_t i) { return fleet_->call(i, "GET", "/v1/policy").second; }
  bool decides(std::size_t i, std::uint64_t epoch) {
    const std::string told = policy(i);
    return told.find("\"epoch\":" + std::to_string(epoch) + ",") != std::string::npos &&
           told.find("\"decides\":true") != std::string::npos;
  }
  bool all_decide(std::uint64_t epoch) {
    for (std::size_t i = 0; i < fleet_->size(); ++i) {
      if (fleet_->runs(i) && !decides(i, epoch)) return false;
    }
    return true;
  }
  std::size_t leader() {
    for (std::size_t i = 0; i < fleet_->size(); ++i) {
      if (fleet_->runs(i) && fleet_->policy_figure(i, "leads") == 1) return i;
    }
    return 0;
  }
  std::pair<int, std::string> put(std::size_t i, const std::string& key, std::uint64_t base,
                                  const std::string& policy = R"({"attempts_cap":3})") {
    return fleet_->call(i, "PUT", "/v1/policy",
                        R"({"key":")" + key + R"(","base":)" + std::to_string(base) + R"(,"policy":)" + policy + "}",
                        12s);
  }
  /// Asks under one key until it is known what became of it.
  int settle(std::size_t i, const std::string& key, std::uint64_t base, std::string* body = nullptr) {
    int status = 0;
    fleet_->expect("what became of " + key + " is known", 60s, [&] {
      const auto answer = put(i, key, base);
      status = answer.first;
      if (body != nullptr) *body = answer.second;
      return status == 200 || status == 409;
    });
    return status;
  }

  std::unique_ptr<Fleet> fleet_;
  std::unique_ptr<Clients> clients_;
};

TEST_F(Policies, AChangeTakesHoldOnAllAndOneThatCannotRunItEndsItForAll) {
  begin(5, 3, [](std::size_t i, std::string text) {
    // The last one has another name for a class.
    for (std::size_t at = 0; i == 4 && (at = text.find("\"pages\"", at)) != std::string::npos;)
      text.replace(at, 7, "\"sheet\"");
    return text;
  });
  EXPECT_EQ(put(3, "first", 0).first, 200) << fleet_->story();
  EXPECT_TRUE(all_decide(1) || fleet_->expect("all decide", 5s, [&] { return all_decide(1); })) << fleet_->story();
  EXPECT_EQ(put(1, "stale", 0).first, 409);
  EXPECT_EQ(put(1, "first", 0).first, 200) << "the same key is the same change";
  const auto [status, body] = put(0, "odd", 1, R"({"classes":{"pages":{"worth":2}}})");
  EXPECT_EQ(status, 409);
  EXPECT_NE(body.find("edge-4: field 'classes.pages': is no class"), std::string::npos) << body;
  EXPECT_EQ(put(0, "unknown key", 1, R"({"colour":1})").first, 422);
  EXPECT_TRUE(all_decide(1)) << fleet_->story();
}

TEST_F(Policies, TheLeaderIsKilledDuringChanges) {
  begin(5, 3);
  std::uint64_t epoch = 0;
  for (const auto delay : {0ms, 60ms, 200ms}) {
    const std::size_t lead = leader(), by = lead == 4 ? 3 : 4;
    const std::string key = "k" + std::to_string(delay.count());
    auto asked = std::async(std::launch::async, [&, epoch] { return put(by, key, epoch); });
    Fleet::pass(delay);
    fleet_->kill(lead);
    const int early = asked.get().first;
    const int last = settle(by, key, epoch);
    EXPECT_TRUE(early == 503 || early == last) << early << " " << last << fleet_->story();
    epoch += last == 200 ? 1 : 0;
    fleet_->start(lead);
    fleet_->expect("all decide", 30s, [&] { return all_decide(epoch); });
  }
  EXPECT_GT(epoch, 0U);
}

TEST_F(Policies, ThoseCutOffStopAndComeBackToTheNewEpoch) {
  begin(5, 3);
  fleet_->split(3, true);
  EXPECT_EQ(settle(0, "k", 0), 200) << fleet_->story();
  EXPECT_FALSE(decides(4, 0) || decides(4, 1)) << fleet_->story();
  EXPECT_EQ(put(4, "other", 0).first, 503) << "neither yes nor no";
  fleet_->split(3, false);
  fleet_->expect("all decide", 30s, [&] { return all_decide(1); });
}

TEST_F(Policies, OneStoppedBeforeTheChangeDecidesNothingUnderTheOldEpochAfterIt) {
  begin(4, 3);
  const std::size_t still = leader() == 3 ? 2 : 3;
  fleet_->stop(still);
  EXPECT_EQ(settle(leader(), "k", 0), 200) << fleet_->story();
  fleet_->resume(still);
  fleet_->expect("all decide", 30s, [&] { return all_decide(1); });
}

TEST_F(Policies, AllAreKilledAtOnceDuringAChange) {
  begin(4, 3);
  auto asked = std::async(std::launch::async, [&] { return put(3, "k", 0); });
  Fleet::pass(120ms);
  for (std::size_t i = 0; i < 4; ++i) fleet_->kill(i);
  asked.get();
  for (std::size_t i = 0; i < 4; ++i) fleet_->start(i);
  const int last = settle(2, "k", 0);
  EXPECT_EQ(last, 200) << fleet_->story();
  fleet_->expect("all decide", 30s, [&] { return all_decide(1); });
}

TEST_F(Policies, ARollingRestartDuringChanges) {
  begin(4, 3);
  std::uint64_t epoch = 0;
  for (std::size_t i = 0; i < 4; ++i) {
    const std::size_t by = (i + 1) % 4;
    auto asked = std::async(std::launch::async, [&, epoch] { return put(by, "k" + std::to_string(i), epoch); });
    fleet_->terminate(i);
    fleet_->start(i);
    asked.get();
    epoch += settle(by, "k" + std::to_string(i), epoch) == 200 ? 1 : 0;
    fleet_->expect("all decide", 30s, [&] { return all_decide(epoch); });
  }
  EXPECT_EQ(epoch, 4U) << fleet_->story();
}

TEST_F(Policies, AVoterThatLostItsDiskIsReplacedThroughTheLog) {
  begin(4, 3);
  const std::size_t lead = leader(), lost = (lead + 1) % 3;
  fleet_->kill(lost);
  fleet_->empty_disk(lost);
  fleet_->start(lost);
  fleet_->expect("it decides as one that is no voter", 30s, [&] { return decides(lost, 0); });
  const std::string told = policy(lost);
  const std::size_t at = told.find("\"log_id\":\"") + 10;
  const std::string id = told.substr(at, told.find('"', at) - at), name = Fleet::name(lost);
  EXPECT_EQ(policy(lead).find(id), std::string::npos) << "its votes are gone with its disk";
  EXPECT_EQ(fleet_->call(lead, "POST", "/v1/policy/voters/" + name + "=" + id + "/add").first, 202);
  fleet_->expect("it votes", 30s, [&] { return policy(leader()).find(id) != std::string::npos; });
  EXPECT_EQ(settle(3, "k", 0), 200) << fleet_->story();
  fleet_->expect("all decide", 30s, [&] { return all_decide(1); });
}

}  // namespace
}  // namespace dahliahall::test
