// SPDX-License-Identifier: MIT
// Policy changes across several processes under client load, with faults of processes and of the network. At
// the end of each test the decisions of all processes are checked against each other.
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

class PolicyCluster : public testing::Test {
 protected:
  void start_fleet(std::size_t count, std::size_t voters,
                   std::function<std::string(std::size_t, std::string)> edit = nullptr) {
    Fleet::Options options;
    options.voters = voters;
    options.extra_policy_config = R"(,"lease":2000000)";
    options.edit_config = std::move(edit);
    fleet_ = std::make_unique<Fleet>(count, options);
    fleet_->expect("all decide", 30s, [&] { return all_decide(0); });
    client_load_ = std::make_unique<ClientLoad>(*fleet_, 5ms);
  }
  void TearDown() override { check_and_stop(100); }
  /// Checks all decisions against each other and stops the fleet; expects more than `min_decisions`
  /// decisions.
  void check_and_stop(std::size_t min_decisions) {
    if (!fleet_) return;
    client_load_.reset();
    std::vector<std::string> logs;
    for (std::size_t i = 0; i < fleet_->size(); ++i) logs.push_back(fleet_->log(i));
    const DecisionCheck checked = check_decisions(logs, 350ms);
    EXPECT_GT(checked.decisions, min_decisions);
    EXPECT_TRUE(checked.violations.empty()) << checked.violations.front() << "\n" << fleet_->diagnostics();
    std::printf("decisions %zu, violations %zu\n", checked.decisions, checked.violations.size());
    fleet_.reset();
  }

  std::string policy(std::size_t i) { return fleet_->call(i, "GET", "/v1/policy").second; }
  bool decides(std::size_t i, std::uint64_t epoch) {
    const std::string report = policy(i);
    return report.find("\"epoch\":" + std::to_string(epoch) + ",") != std::string::npos &&
           report.find("\"decides\":true") != std::string::npos;
  }
  bool all_decide(std::uint64_t epoch) {
    for (std::size_t i = 0; i < fleet_->size(); ++i) {
      if (fleet_->is_running(i) && !decides(i, epoch)) return false;
    }
    return true;
  }
  std::size_t leader() {
    for (std::size_t i = 0; i < fleet_->size(); ++i) {
      if (fleet_->is_running(i) && fleet_->policy_metric(i, "leads") == 1) return i;
    }
    return 0;
  }
  std::pair<int, std::string> put(std::size_t i, const std::string& key, std::uint64_t base,
                                  const std::string& policy = R"({"attempts_cap":3})") {
    return fleet_->call(
        i, "PUT", "/v1/policy",
        R"({"key":")" + key + R"(","base":)" + std::to_string(base) + R"(,"policy":)" + policy + "}", 12s);
  }
  /// Repeats the change under the same key until its outcome is known; returns status 200 or 409.
  int put_until_decided(std::size_t i, const std::string& key, std::uint64_t base,
                        std::string* body = nullptr) {
    int status = 0;
    fleet_->expect("the outcome of " + key + " is known", 60s, [&] {
      const auto answer = put(i, key, base);
      status = answer.first;
      if (body != nullptr) *body = answer.second;
      return status == 200 || status == 409;
    });
    return status;
  }

  std::unique_ptr<Fleet> fleet_;
  std::unique_ptr<ClientLoad> client_load_;
};

TEST_F(PolicyCluster, ChangeAppliesToAllAndAnIncompatibleMemberAbortsIt) {
  start_fleet(5, 3, [](std::size_t i, std::string text) {
    // The last process has a different name for a request class.
    for (std::size_t at = 0; i == 4 && (at = text.find("\"pages\"", at)) != std::string::npos;)
      text.replace(at, 7, "\"sheet\"");
    return text;
  });
  EXPECT_EQ(put(3, "first", 0).first, 200) << fleet_->diagnostics();
  EXPECT_TRUE(all_decide(1) || fleet_->expect("all decide", 5s, [&] { return all_decide(1); }))
      << fleet_->diagnostics();
  EXPECT_EQ(put(1, "stale", 0).first, 409);
  EXPECT_EQ(put(1, "first", 0).first, 200) << "a repeated key must return the outcome of the first change";
  const auto [status, body] = put(0, "odd", 1, R"({"classes":{"pages":{"worth":2}}})");
  EXPECT_EQ(status, 409);
  EXPECT_NE(body.find("edge-4: field 'classes.pages': is not a request class"), std::string::npos) << body;
  EXPECT_EQ(put(0, "unknown key", 1, R"({"colour":1})").first, 422);
  // The caller is answered when the log contains the abort; the other processes receive it shortly
  // afterwards.
  EXPECT_TRUE(fleet_->expect("all decide again", 5s, [&] { return all_decide(1); })) << fleet_->diagnostics();
}

TEST_F(PolicyCluster, ChangesSurviveAKilledLeader) {
  start_fleet(5, 3);
  std::uint64_t epoch = 0;
  for (const auto delay : {0ms, 60ms, 200ms}) {
    const std::size_t leader_index = leader(), by = leader_index == 4 ? 3 : 4;
    const std::string key = "k" + std::to_string(delay.count());
    auto pending_put = std::async(std::launch::async, [&, epoch] { return put(by, key, epoch); });
    Fleet::sleep_for(delay);
    fleet_->kill(leader_index);
    const int first_status = pending_put.get().first;
    const int final_status = put_until_decided(by, key, epoch);
    EXPECT_TRUE(first_status == 503 || first_status == final_status)
        << first_status << " " << final_status << fleet_->diagnostics();
    epoch += final_status == 200 ? 1 : 0;
    fleet_->start(leader_index);
    fleet_->expect("all decide", 30s, [&] { return all_decide(epoch); });
  }
  EXPECT_GT(epoch, 0U);
}

TEST_F(PolicyCluster, MinorityStopsDecidingAndReturnsAtTheNewEpoch) {
  start_fleet(5, 3);
  fleet_->split(3, true);
  EXPECT_EQ(put_until_decided(0, "k", 0), 200) << fleet_->diagnostics();
  EXPECT_FALSE(decides(4, 0) || decides(4, 1)) << fleet_->diagnostics();
  EXPECT_EQ(put(4, "other", 0).first, 503) << "the outcome is unknown to a process in the minority";
  fleet_->split(3, false);
  fleet_->expect("all decide", 30s, [&] { return all_decide(1); });
}

TEST_F(PolicyCluster, ProcessStoppedDuringAChangeMakesNoDecisionUnderTheOldEpoch) {
  start_fleet(4, 3);
  const std::size_t stopped = leader() == 3 ? 2 : 3;
  fleet_->stop(stopped);
  EXPECT_EQ(put_until_decided(leader(), "k", 0), 200) << fleet_->diagnostics();
  fleet_->resume(stopped);
  fleet_->expect("all decide", 30s, [&] { return all_decide(1); });
}

TEST_F(PolicyCluster, ChangeIsResolvedAfterAllAreKilledAtOnce) {
  start_fleet(4, 3);
  auto pending_put = std::async(std::launch::async, [&] { return put(3, "k", 0); });
  Fleet::sleep_for(120ms);
  for (std::size_t i = 0; i < 4; ++i) fleet_->kill(i);
  pending_put.get();
  for (std::size_t i = 0; i < 4; ++i) fleet_->start(i);
  const int final_status = put_until_decided(2, "k", 0);
  EXPECT_EQ(final_status, 200) << fleet_->diagnostics();
  fleet_->expect("all decide", 30s, [&] { return all_decide(1); });
}

TEST_F(PolicyCluster, RollingRestartDuringChangesKeepsAllDeciding) {
  start_fleet(4, 3);
  std::uint64_t epoch = 0;
  for (std::size_t i = 0; i < 4; ++i) {
    const std::size_t by = (i + 1) % 4;
    auto pending_put =
        std::async(std::launch::async, [&, epoch] { return put(by, "k" + std::to_string(i), epoch); });
    fleet_->terminate(i);
    fleet_->start(i);
    pending_put.get();
    epoch += put_until_decided(by, "k" + std::to_string(i), epoch) == 200 ? 1 : 0;
    fleet_->expect("all decide", 30s, [&] { return all_decide(epoch); });
  }
  EXPECT_EQ(epoch, 4U) << fleet_->diagnostics();
}

TEST_F(PolicyCluster, VoterWithALostDiskIsReplacedThroughTheLog) {
  start_fleet(4, 3);
  const std::size_t leader_index = leader(), lost = (leader_index + 1) % 3;
  fleet_->kill(lost);
  fleet_->empty_disk(lost);
  fleet_->start(lost);
  fleet_->expect("it decides without being a voter", 30s, [&] { return decides(lost, 0); });
  const std::string report = policy(lost);
  const std::size_t at = report.find("\"log_id\":\"") + 10;
  const std::string id = report.substr(at, report.find('"', at) - at), name = Fleet::name(lost);
  EXPECT_EQ(policy(leader_index).find(id), std::string::npos) << "the new log id must not be a voter yet";
  EXPECT_EQ(fleet_->call(leader_index, "POST", "/v1/policy/voters/" + name + "=" + id + "/add").first, 202);
  fleet_->expect("it is a voter", 30s, [&] { return policy(leader()).find(id) != std::string::npos; });
  EXPECT_EQ(put_until_decided(3, "k", 0), 200) << fleet_->diagnostics();
  fleet_->expect("all decide", 30s, [&] { return all_decide(1); });
}

/// Runs a schedule of faults and changes that is determined by the seed. Every final answer to an operator is
/// compared with the outcome in the log.
void run_fault_schedule(
    Fleet& fleet, std::uint64_t seed, const std::function<bool(std::uint64_t)>& all_decide,
    const std::function<std::pair<int, std::string>(std::size_t, const std::string&, std::uint64_t)>& put) {
  std::mt19937_64 random(seed);
  const std::size_t count = fleet.size();
  std::map<std::string, int> first_statuses;  // by key
  std::vector<std::future<std::pair<std::string, int>>> pending_puts;
  const auto epoch_at = [&](std::size_t i) -> std::uint64_t {
    const std::string status_json = fleet.call(i, "GET", "/v1/policy").second;
    const std::size_t at = status_json.find("\"epoch\":");
    return at == std::string::npos ? 0 : std::stoull(status_json.substr(at + 8));
  };
  for (int turn = 0; turn < 7; ++turn) {
    const std::size_t target = random() % count;
    const std::uint64_t draw = random() % 7, first = 1 + random() % (count - 1);
    if (draw <= 2) {
      if (fleet.is_running(target)) {
        const std::string key = "s" + std::to_string(seed) + "-" + std::to_string(turn);
        pending_puts.push_back(std::async(std::launch::async, [&put, target, key, base = epoch_at(target)] {
          return std::pair{key, put(target, key, base).first};
        }));
      }
    } else if (draw == 3) {
      fleet.split(first, true);
    } else if (draw == 4) {
      if (fleet.is_running(target)) fleet.kill(target);
    } else if (draw == 5) {
      if (fleet.is_running(target)) fleet.stop(target);
    } else {
      fleet.split(first, false);
      for (std::size_t i = 0; i < count; ++i) {
        if (fleet.pid(i) > 0 && !fleet.is_running(i)) fleet.resume(i);
        if (fleet.pid(i) <= 0) fleet.start(i);
      }
    }
    Fleet::sleep_for(std::chrono::milliseconds(50 + random() % 900));
  }
  fleet.set_fault_on_all({});
  for (std::size_t i = 0; i < count; ++i) {
    if (fleet.pid(i) > 0 && !fleet.is_running(i)) fleet.resume(i);
    if (fleet.pid(i) <= 0) fleet.start(i);
  }
  for (auto& pending_put : pending_puts) {
    const auto [key, status] = pending_put.get();
    first_statuses[key] = status;
  }
  fleet.expect("all decide alike", 60s, [&] { return all_decide(epoch_at(0)); });
  for (const auto& [key, status] : first_statuses) {
    // A key that never reached the log is added now with a base epoch that never existed, so it is refused.
    int final_status = 0;
    fleet.expect("the outcome of " + key + " is known", 60s, [&, k = key] {
      final_status = put(0, k, 1'000'000).first;
      return final_status == 200 || final_status == 409;
    });
    if (status == 200 || status == 409) {
      EXPECT_EQ(final_status, status) << key << " seed " << seed << "\n" << fleet.diagnostics();
    }
  }
}

/// Runs 12 seeds; EDGE_PROXY_SCHEDULES="FIRST COUNT" selects others.
TEST_F(PolicyCluster, RandomFaultSchedulesKeepDecisionsConsistent) {
  std::uint64_t first = 1, count = 12;
  if (const char* schedules = std::getenv("EDGE_PROXY_SCHEDULES")) {
    std::istringstream range(schedules);
    range >> first >> count;
  }
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    start_fleet(4 + seed % 3, 3);
    run_fault_schedule(
        *fleet_, seed, [this](std::uint64_t epoch) { return all_decide(epoch); },
        [this](std::size_t i, const std::string& key, std::uint64_t base) { return put(i, key, base); });
    check_and_stop(20);
    if (HasFailure()) {
      ADD_FAILURE() << "seed " << seed;
      return;
    }
  }
}

/// Prints figures of docs/consensus.md; makes no assertions. Run by name on a build without sanitizers.
TEST_F(PolicyCluster, DISABLED_Figures) {
  for (const std::size_t count : {5U, 20U, 50U}) {
    start_fleet(count, 3);
    std::uint64_t epoch = 0;
    const auto change = [&](const char* what, std::size_t by) {
      const auto refused = [&] {
        std::uint64_t all = 0;
        for (std::size_t i = 0; i < count; ++i) {
          if (fleet_->is_running(i)) all += fleet_->policy_metric(i, "refused");
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
    const std::size_t leader_index = leader();
    fleet_->kill(leader_index);
    const auto found = fleet_->expect("another process leads", 30s, [&] {
      return leader() != 0 || fleet_->policy_metric(0, "leads") == 1;
    });
    std::printf("processes=%zu without a leader after a kill: %ld ms\n", count,
                found ? static_cast<long>(found->count()) : -1);
    check_and_stop(20);
  }
}

}  // namespace
}  // namespace edge_proxy::test
