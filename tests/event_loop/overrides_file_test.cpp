// SPDX-License-Identifier: MIT
#include "event_loop/overrides_file.h"

#include <gtest/gtest.h>
#include <sys/stat.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "proxy/resource_limits.h"

namespace edge_proxy::event_loop {
namespace {

using namespace std::chrono_literals;
using proxy::OverrideAction;
using proxy::OverrideOutcome;
using Clock = std::chrono::steady_clock;

/// The overrides file of one process, and what it has told the reducer.
struct Process {
  explicit Process(const std::string& path)
      : file(path, {.now = [] { return Time{1'000'000}; },
                    .on_stored =
                        [this](proxy::OverridesStored stored) {
                          table = std::move(stored.overrides);
                          for (proxy::OverrideReply& reply : stored.replies)
                            replies.push_back(std::move(reply));
                        },
                    .log = [this](const std::string& line) { log += line + "\n"; }}) {}

  void suspend(proxy::ConnectionId call, const std::string& id) {
    file.store(call, {OverrideAction::suspend, id, Time{1'000'000}});
  }

  proxy::OverrideTable table;
  std::vector<proxy::OverrideReply> replies;
  std::string log;
  OverridesFile file;
};

class OverridesFileTest : public testing::Test {
 protected:
  void SetUp() override { ASSERT_NE(mkdtemp(folder_.data()), nullptr); }
  void TearDown() override { std::filesystem::remove_all(folder_); }

  /// Iterates the main loop until the condition holds; returns false after `limit`. The longest iteration is
  /// kept.
  template <typename Condition>
  bool wait_until(Condition condition, std::chrono::milliseconds limit = 5s) {
    const auto end = Clock::now() + limit;
    while (!condition() && Clock::now() < end) {
      const auto start = Clock::now();
      g_main_context_iteration(nullptr, FALSE);
      longest_iteration_ = std::max(longest_iteration_, Clock::now() - start);
      g_usleep(500);
    }
    return condition();
  }
  [[nodiscard]] std::string path() const { return folder_ + "/overrides"; }

  std::string folder_ = "/tmp/edge_proxy-test-XXXXXX";
  Clock::duration longest_iteration_{0};
};

TEST_F(OverridesFileTest, ChangesAreStoredAndReachTheOtherProcess) {
  Process one(path()), two(path());
  for (proxy::ConnectionId call = 1; call <= 6; ++call) {
    (call % 2 == 0 ? one : two).suspend(call, "box-" + std::to_string(call));
  }
  EXPECT_TRUE(one.replies.empty()) << "a call was answered before it was stored";
  EXPECT_TRUE(
      wait_until([&] { return one.table.suspended_count() == 6 && two.table.suspended_count() == 6; }));
  ASSERT_EQ(one.replies.size(), 3U);
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(one.replies[i].call, 2 * (i + 1));
    EXPECT_EQ(one.replies[i].outcome, OverrideOutcome::stored);
  }
  Process next(path());
  next.file.load();
  EXPECT_EQ(next.table.suspended_count(), 6U);
}

TEST_F(OverridesFileTest, AHeldLockDelaysNothingAndIsRefusedInTime) {
  // Guards against a main loop that waits for a stopped process, and against a caller who gets no answer.
  storage::SystemSharedFile holder(path(), 1000);
  ASSERT_EQ(holder.try_lock(), 0);
  Process process(path());
  const auto start = Clock::now();
  process.suspend(1, "a");
  process.suspend(2, "b");
  EXPECT_TRUE(wait_until([&] { return process.replies.size() == 2; }));
  EXPECT_LT(Clock::now() - start, 1s);
  EXPECT_LT(longest_iteration_, proxy::kOverrideStoreTimeout / 2);
  for (const proxy::OverrideReply& reply : process.replies) {
    EXPECT_EQ(reply.outcome, OverrideOutcome::not_stored);
    EXPECT_NE(reply.reason, "");
  }
  holder.unlock();
  process.suspend(3, "c");
  EXPECT_TRUE(wait_until([&] { return process.replies.size() == 3; }));
  EXPECT_EQ(process.replies[2].outcome, OverrideOutcome::stored);
  EXPECT_EQ(process.table.suspended_count(), 1U) << "a refused change took effect";
}

TEST_F(OverridesFileTest, AMissingFolderIsRefused) {
  Process process(folder_ + "/missing/overrides");
  process.suspend(1, "a");
  EXPECT_TRUE(wait_until([&] { return process.replies.size() == 1; }));
  EXPECT_EQ(process.replies.at(0).outcome, OverrideOutcome::not_stored);
  EXPECT_EQ(process.table.suspended_count(), 0U);
  EXPECT_NE(process.log, "");
}

TEST_F(OverridesFileTest, WithoutAFolderChangesEndWithTheProcess) {
  Process process("");
  process.suspend(1, "a");
  EXPECT_TRUE(process.replies.empty()) << "the reducer may not be called while it runs";
  EXPECT_TRUE(wait_until([&] { return process.replies.size() == 1; }));
  EXPECT_EQ(process.replies.at(0).outcome, OverrideOutcome::stored);
  EXPECT_TRUE(process.table.is_suspended("a"));
}

TEST_F(OverridesFileTest, ADeletedFileIsWrittenAgain) {
  Process process(path());
  process.suspend(1, "a");
  EXPECT_TRUE(wait_until([&] { return process.replies.size() == 1; }));
  std::filesystem::remove(path());
  EXPECT_TRUE(wait_until([&] { return std::filesystem::exists(path()); }));
  Process next(path());
  next.file.load();
  EXPECT_TRUE(next.table.is_suspended("a"));
}

TEST_F(OverridesFileTest, FifoIsNotOpened) {
  // Guards against a startup that blocks: opening a FIFO waits for a writer.
  ASSERT_EQ(mkfifo(path().c_str(), 0600), 0);
  Process process(path());
  process.file.load();
  process.suspend(1, "a");
  EXPECT_TRUE(wait_until([&] { return process.replies.size() == 1; }));
  EXPECT_EQ(process.replies.at(0).outcome, OverrideOutcome::not_stored);
}

TEST_F(OverridesFileTest, ACallInProgressMayOutliveTheObject) {
  storage::SystemSharedFile holder(path(), 1000);
  ASSERT_EQ(holder.try_lock(), 0);
  {
    Process process(path());
    process.suspend(1, "a");
    wait_until([] { return false; }, 20ms);
  }
  holder.unlock();
  wait_until([] { return false; }, 100ms);
}

}  // namespace
}  // namespace edge_proxy::event_loop
