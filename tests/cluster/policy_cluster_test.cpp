// SPDX-License-Identifier: MIT
// A change of policy over several processes of the program, with client load on all the while and faults of
// processes and between them. At the end of each test all decisions of all processes are held against each
// other.
#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>
#include <future>
#include <random>
#include <sstream>

#include "cluster/policy_checker.h"

namespace edge_proxy::test {
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
  void TearDown() override { check(100); }
  /// Holds all decisions against each other, and ends the fleet. `least`: there have to be more of them.
  void check(std::size_t least) {
    if (!fleet_) return;
    clients_.reset();
    std::vector<std::string> logs;
    for (std::size_t i = 0; i < fleet_->size(); ++i) logs.push_back(fleet_->log(i));
    const Checked checked = check_decisions(logs, 350ms);
    EXPECT_GT(checked.decisions, least);
    EXPECT_TRUE(checked.violations.empty()) << checked.violations.front() << "\n" << fleet_->story();
    std::printf("decisions %zu, violations %zu\n", checked.decisions, checked.violations.size());
    fleet_.reset();
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
    return fleet_->call(
        i, "PUT", "/v1/policy",
        R"({"key":")" + key + R"(","base":)" + std::to_string(base) + R"(,"policy":)" + policy + "}", 12s);
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
  EXPECT_TRUE(all_decide(1) || fleet_->expect("all decide", 5s, [&] { return all_decide(1); }))
      << fleet_->story();
  EXPECT_EQ(put(1, "stale", 0).first, 409);
  EXPECT_EQ(put(1, "first", 0).first, 200) << "the same key is the same change";
  const auto [status, body] = put(0, "odd", 1, R"({"classes":{"pages":{"worth":2}}})");
  EXPECT_EQ(status, 409);
  EXPECT_NE(body.find("edge-4: field 'classes.pages': is no class"), std::string::npos) << body;
  EXPECT_EQ(put(0, "unknown key", 1, R"({"colour":1})").first, 422);
  // The one that asked is told when the log has the abort; the others hear of it a moment later.
  EXPECT_TRUE(fleet_->expect("all decide again", 5s, [&] { return all_decide(1); })) << fleet_->story();
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
    auto asked =
        std::async(std::launch::async, [&, epoch] { return put(by, "k" + std::to_string(i), epoch); });
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

/// A schedule of faults and changes drawn from the seed: the same one each time. Every answer that an
/// operator got is held against what the log came to.
void play_schedule(
    Fleet& fleet, std::uint64_t seed, const std::function<bool(std::uint64_t)>& all_decide,
    const std::function<std::pair<int, std::string>(std::size_t, const std::string&, std::uint64_t)>& put) {
  std::mt19937_64 random(seed);
  const std::size_t count = fleet.size();
  std::map<std::string, int> told;
  std::vector<std::future<std::pair<std::string, int>>> asked;
  const auto epoch_at = [&](std::size_t i) -> std::uint64_t {
    const std::string report = fleet.call(i, "GET", "/v1/policy").second;
    const std::size_t at = report.find("\"epoch\":");
    return at == std::string::npos ? 0 : std::stoull(report.substr(at + 8));
  };
  for (int turn = 0; turn < 7; ++turn) {
    const std::size_t whom = random() % count;
    const std::uint64_t draw = random() % 7, first = 1 + random() % (count - 1);
    if (draw <= 2) {
      if (fleet.runs(whom)) {
        const std::string key = "s" + std::to_string(seed) + "-" + std::to_string(turn);
        asked.push_back(std::async(std::launch::async, [&put, whom, key, base = epoch_at(whom)] {
          return std::pair{key, put(whom, key, base).first};
        }));
      }
    } else if (draw == 3) {
      fleet.split(first, true);
    } else if (draw == 4) {
      if (fleet.runs(whom)) fleet.kill(whom);
    } else if (draw == 5) {
      if (fleet.runs(whom)) fleet.stop(whom);
    } else {
      fleet.split(first, false);
      for (std::size_t i = 0; i < count; ++i) {
        if (fleet.pid(i) > 0 && !fleet.runs(i)) fleet.resume(i);
        if (fleet.pid(i) <= 0) fleet.start(i);
      }
    }
    Fleet::pass(std::chrono::milliseconds(50 + random() % 900));
  }
  fleet.set_all({});
  for (std::size_t i = 0; i < count; ++i) {
    if (fleet.pid(i) > 0 && !fleet.runs(i)) fleet.resume(i);
    if (fleet.pid(i) <= 0) fleet.start(i);
  }
  for (auto& one : asked) {
    const auto [key, status] = one.get();
    told[key] = status;
  }
  fleet.expect("all decide alike", 60s, [&] { return all_decide(epoch_at(0)); });
  for (const auto& [key, status] : told) {
    // A key that was never put into the log is put there now, on an epoch that never was: refused for good.
    int last = 0;
    fleet.expect("what became of " + key + " is known", 60s, [&, k = key] {
      last = put(0, k, 1'000'000).first;
      return last == 200 || last == 409;
    });
    if (status == 200 || status == 409) {
      EXPECT_EQ(last, status) << key << " seed " << seed << "\n" << fleet.story();
    }
  }
}

/// A dozen; EDGE_PROXY_SCHEDULES="FIRST COUNT" plays others.
TEST_F(Policies, DrawnSchedules) {
  std::uint64_t first = 1, many = 12;
  if (const char* schedules = std::getenv("EDGE_PROXY_SCHEDULES")) {
    std::istringstream in(schedules);
    in >> first >> many;
  }
  for (std::uint64_t seed = first; seed < first + many; ++seed) {
    begin(4 + seed % 3, 3);
    play_schedule(
        *fleet_, seed, [this](std::uint64_t epoch) { return all_decide(epoch); },
        [this](std::size_t i, const std::string& key, std::uint64_t base) { return put(i, key, base); });
    check(20);
    if (HasFailure()) {
      ADD_FAILURE() << "seed " << seed;
      return;
    }
  }
}

/// Not a check: prints figures of docs/consensus.md. Run by name, on a build without sanitizers.
TEST_F(Policies, DISABLED_Figures) {
  for (const std::size_t count : {5U, 20U, 50U}) {
    begin(count, 3);
    std::uint64_t epoch = 0;
    const auto change = [&](const char* what, std::size_t by) {
      const auto refused = [&] {
        std::uint64_t all = 0;
        for (std::size_t i = 0; i < count; ++i) {
          if (fleet_->runs(i)) all += fleet_->policy_figure(i, "refused");
        }
        return all;
      };
      const std::uint64_t before = refused();
      const auto began = std::chrono::steady_clock::now();
      const auto answer = put(by, "f" + std::to_string(epoch) + what, epoch);
      const auto took =
          std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - began);
      epoch += answer.first == 200 ? 1 : 0;
      std::printf("processes=%zu %s: %d after %ld ms, refused calls %lu\n", count, what, answer.first,
                  static_cast<long>(took.count()), static_cast<unsigned long>(refused() - before));
    };
    for (int n = 0; n < 3; ++n) {
      change("all up", 4);
      fleet_->expect("all decide", 20s, [&] { return all_decide(epoch); });
    }
    fleet_->kill(3);
    change("one down", 4);
    fleet_->start(3);
    fleet_->expect("all decide", 30s, [&] { return all_decide(epoch); });
    fleet_->split(count - count / 5, true);
    change("a fifth cut off", 0);
    fleet_->split(count - count / 5, false);
    fleet_->expect("all decide", 30s, [&] { return all_decide(epoch); });
    const std::size_t lead = leader();
    fleet_->kill(lead);
    const auto found = fleet_->expect(
        "another leads", 30s, [&] { return leader() != 0 || fleet_->policy_figure(0, "leads") == 1; });
    std::printf("processes=%zu without a leader after a kill: %ld ms\n", count,
                found ? static_cast<long>(found->count()) : -1);
    check(20);
  }
}

}  // namespace
}  // namespace edge_proxy::test
