// SPDX-License-Identifier: MIT
#include "event_loop/overrides_store.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "support/shared_disk.h"

namespace edge_proxy::test {
namespace {

using event_loop::OverridesStore;
using event_loop::OverridesUpdate;
using event_loop::PendingOverride;
using event_loop::PendingOverrides;
using proxy::OverrideAction;
using proxy::OverrideOutcome;

/// A process whose steps at the file can be given errors or other processes' actions.
class Process {
 public:
  explicit Process(SharedDisk& disk)
      : store_(std::make_unique<SimulatedFile>(disk, [this](DiskStep step) { return before_step_(step); })) {}

  /// Fails the next steps of that kind, as often as `count` says.
  void fail(DiskStep failing, int count = 1) {
    before_step_ = [failing, left = count](DiskStep step) mutable {
      return step == failing && left > 0 ? (--left, EIO) : 0;
    };
  }
  /// Runs `action` once, before the next step of that kind.
  void before(DiskStep awaited, std::function<void()> action) {
    before_step_ = [awaited, action = std::move(action), is_done = false](DiskStep step) mutable {
      if (step == awaited && !std::exchange(is_done, true)) action();
      return 0;
    };
  }
  OverridesUpdate poll() { return store_.update({}, Time{now_}); }
  OverridesUpdate change(const std::string& id, OverrideAction action) {
    return store_.update(
        {std::make_shared<PendingOverride>(1, proxy::OverrideChange{action, id, Time{++now_}})}, Time{now_});
  }
  OverrideOutcome suspend(const std::string& id) {
    return change(id, OverrideAction::suspend).replies.at(0).outcome;
  }
  OverrideOutcome resume(const std::string& id) {
    return change(id, OverrideAction::resume).replies.at(0).outcome;
  }
  bool is_suspended(const std::string& id) { return poll().table.is_suspended(id); }
  void advance_clock(std::int64_t microseconds) { now_ += microseconds; }
  OverridesStore& store() { return store_; }

 private:
  std::int64_t now_ = 1'000'000;
  SimulatedFile::BeforeStep before_step_ = [](DiskStep) { return 0; };
  OverridesStore store_;
};

bool is_stored_suspended(const std::optional<std::string>& content, const std::string& id) {
  return content && proxy::StoredOverrides::parse(*content).table.is_suspended(id);
}

class OverridesStoreTest : public testing::Test {
 protected:
  SharedDisk disk_;
  Process one_{disk_}, two_{disk_}, three_{disk_};
};

TEST_F(OverridesStoreTest, CallsAtTwoProcessesAreBothKept) {
  // Guards against the last writer of the file winning: review/8.
  EXPECT_EQ(one_.suspend("a"), OverrideOutcome::stored);
  EXPECT_EQ(two_.suspend("b"), OverrideOutcome::stored);
  EXPECT_EQ(three_.suspend("c"), OverrideOutcome::stored);
  for (Process* process : {&one_, &two_, &three_}) {
    for (const char* id : {"a", "b", "c"}) EXPECT_TRUE(process->is_suspended(id)) << id;
  }
}

TEST_F(OverridesStoreTest, YesIsSaidOnlyOnceTheChangeIsFlushed) {
  EXPECT_EQ(one_.suspend("a"), OverrideOutcome::stored);
  EXPECT_TRUE(is_stored_suspended(disk_.flushed, "a"));
  // A repeated call changes nothing, but the process that stored the first one may not have flushed it.
  disk_.flushed.reset();
  EXPECT_EQ(two_.suspend("a"), OverrideOutcome::stored);
  EXPECT_TRUE(is_stored_suspended(disk_.flushed, "a"));
}

TEST_F(OverridesStoreTest, AFailedStepIsRefusedAndChangesNothing) {
  for (const DiskStep step : {DiskStep::try_lock, DiskStep::read, DiskStep::prepare, DiskStep::publish,
                              DiskStep::take_replaced, DiskStep::sync_folder}) {
    SharedDisk disk;
    Process one(disk), two(disk);
    EXPECT_EQ(one.suspend("kept"), OverrideOutcome::stored);
    one.fail(step);
    const OverridesUpdate update = one.change("a", OverrideAction::suspend);
    ASSERT_EQ(update.replies.size(), 1U);
    EXPECT_EQ(update.replies[0].outcome, OverrideOutcome::not_stored);
    EXPECT_NE(update.replies[0].reason, "");
    EXPECT_FALSE(update.table.is_suspended("a")) << static_cast<int>(step);
    for (Process* process : {&one, &two}) {
      EXPECT_FALSE(process->is_suspended("a")) << static_cast<int>(step);
      EXPECT_TRUE(process->is_suspended("kept")) << static_cast<int>(step);
    }
    one.fail(step);
    EXPECT_EQ(one.resume("kept"), OverrideOutcome::not_stored);
    for (Process* process : {&one, &two}) {
      EXPECT_TRUE(process->is_suspended("kept")) << static_cast<int>(step);
    }
  }
}

TEST_F(OverridesStoreTest, ARefusedChangeThatAnotherProcessHasSeenIsTakenBack) {
  one_.before(DiskStep::sync_folder, [this] { EXPECT_TRUE(two_.is_suspended("a")); });
  const auto call = std::make_shared<PendingOverride>(
      1, proxy::OverrideChange{OverrideAction::suspend, "a", Time{1'000'000}});
  two_.before(DiskStep::read, [&call] { EXPECT_TRUE(call->withdraw()); });  // its time has passed
  EXPECT_TRUE(one_.store().update({call}, Time{1'000'000}).replies.empty());
  EXPECT_FALSE(one_.is_suspended("a"));
  EXPECT_FALSE(two_.is_suspended("a"));
  EXPECT_FALSE(is_stored_suspended(disk_.flushed, "a"));
}

TEST_F(OverridesStoreTest, OlderShortenedDamagedAndMissingFilesAreWrittenAgain) {
  EXPECT_EQ(one_.suspend("a"), OverrideOutcome::stored);
  const std::string older = *disk_.content;
  EXPECT_EQ(one_.resume("a"), OverrideOutcome::stored);
  EXPECT_EQ(one_.suspend("b"), OverrideOutcome::stored);
  const std::string current = *disk_.content;
  std::vector<std::optional<std::string>> contents{std::nullopt, older, "", "garbage"};
  for (std::size_t size = 0; size < current.size(); ++size) contents.emplace_back(current.substr(0, size));
  for (std::size_t byte = 0; byte < current.size(); ++byte) {
    contents.emplace_back(current);
    (*contents.back())[byte] = static_cast<char>(current[byte] ^ 4);
  }
  for (const auto& content : contents) {
    disk_.replace(content);
    const OverridesUpdate update = one_.poll();
    EXPECT_FALSE(update.table.is_suspended("a"));
    EXPECT_TRUE(update.table.is_suspended("b"));
    EXPECT_EQ(update.table.suspended_count(), 1U) << content.value_or("missing");
    EXPECT_TRUE(is_stored_suspended(disk_.flushed, "b"));
    EXPECT_FALSE(is_stored_suspended(disk_.flushed, "a"));
  }
}

TEST_F(OverridesStoreTest, AResumeOutlivesAProcessThatHoldsTheOldSuspension) {
  EXPECT_EQ(one_.suspend("a"), OverrideOutcome::stored);
  EXPECT_TRUE(two_.is_suspended("a"));
  EXPECT_EQ(one_.resume("a"), OverrideOutcome::stored);
  one_.advance_clock(3'600'000'000);
  EXPECT_FALSE(one_.is_suspended("a"));
  EXPECT_EQ(one_.suspend("b"), OverrideOutcome::stored);
  EXPECT_FALSE(two_.is_suspended("a"));  // the process was stopped for an hour
}

TEST_F(OverridesStoreTest, TheOrderOfCallsCountsAndNotTheClocksOfTheProcesses) {
  two_.advance_clock(5'000'000);
  EXPECT_EQ(two_.suspend("a"), OverrideOutcome::stored);
  EXPECT_EQ(one_.resume("a"), OverrideOutcome::stored);  // its clock is behind
  EXPECT_FALSE(one_.is_suspended("a"));
  EXPECT_FALSE(two_.is_suspended("a"));
  EXPECT_EQ(one_.suspend("a"), OverrideOutcome::stored);
  EXPECT_TRUE(two_.is_suspended("a"));
}

TEST_F(OverridesStoreTest, CallsOfOneUpdateAreAppliedInTheirOrder) {
  PendingOverrides calls;
  for (const auto action : {OverrideAction::suspend, OverrideAction::resume, OverrideAction::suspend}) {
    calls.push_back(
        std::make_shared<PendingOverride>(calls.size(), proxy::OverrideChange{action, "a", Time{1'000'000}}));
  }
  const OverridesUpdate update = one_.store().update(calls, Time{1'000'000});
  ASSERT_EQ(update.replies.size(), 3U);
  for (std::size_t i = 0; i < 3; ++i) EXPECT_EQ(update.replies[i].call, i);
  EXPECT_TRUE(two_.is_suspended("a"));
}

TEST_F(OverridesStoreTest, AHeldLockIsAwaitedOnlyAsLongAsTheCallWaits) {
  disk_.lock_holder = &disk_;
  const auto call = std::make_shared<PendingOverride>(
      1, proxy::OverrideChange{OverrideAction::suspend, "a", Time{1'000'000}});
  int pauses = 0;
  OverridesStore store(std::make_unique<SimulatedFile>(disk_, [&](DiskStep step) {
    if (step == DiskStep::pause && ++pauses == 5) call->withdraw();
    return 0;
  }));
  EXPECT_TRUE(store.update({call}, Time{1'000'000}).replies.empty());
  EXPECT_EQ(pauses, 5);
  EXPECT_FALSE(store.update({}, Time{1'000'000}).table.is_suspended("a"));
}

TEST_F(OverridesStoreTest, PolicyResumesAreStoredUntilTheyHaveNoEffect) {
  // Guards against a policy's resume that only one process knows: after an upgrade the endpoint would get its
  // full share at once.
  proxy::OverrideTable table;
  table.note_policy_resume("a", Time{1'000'000});
  one_.store().merge(table);
  one_.poll();
  EXPECT_EQ(two_.poll().table.resumed_at("a"), Time{1'000'000});
  EXPECT_EQ(two_.suspend("a"), OverrideOutcome::stored);
  EXPECT_FALSE(one_.poll().table.resumed_at("a"));
  one_.advance_clock(120'000'000);
  EXPECT_EQ(one_.suspend("b"), OverrideOutcome::stored);
  const std::string written = *disk_.content;
  EXPECT_EQ(written.find("warm"), std::string::npos) << written;
  two_.advance_clock(120'000'000);
  two_.poll();
  EXPECT_EQ(*disk_.content, written) << "two processes write against each other";
}

TEST_F(OverridesStoreTest, AFailureIsLoggedOnce) {
  one_.fail(DiskStep::read, 3);
  EXPECT_EQ(one_.poll().log_lines.size(), 1U);
  EXPECT_TRUE(one_.poll().log_lines.empty());
  EXPECT_TRUE(one_.poll().log_lines.empty());
  EXPECT_TRUE(one_.poll().log_lines.empty());
  one_.fail(DiskStep::read, 1);
  EXPECT_EQ(one_.poll().log_lines.size(), 1U);
}

// ---- Beside a process of the version before ----

TEST_F(OverridesStoreTest, AnEarlierVersionThatWritesInBetweenIsMerged) {
  // Guards against the file being replaced between the read under the lock and the replacement.
  EarlierProcess earlier(disk_);
  earlier.change("a", true, 900'000);
  for (const DiskStep step : {DiskStep::prepare, DiskStep::publish, DiskStep::sync_folder}) {
    SharedDisk disk;
    EarlierProcess before(disk);
    Process one(disk), two(disk);
    before.change("a", true, 900'000);
    one.before(step, [&before] {
      before.replace_file();
      before.finish_write();
    });
    EXPECT_EQ(one.suspend("b"), OverrideOutcome::stored);
    for (int i = 0; i < 3; ++i) {
      one.poll();
      before.poll();
    }
    for (const char* id : {"a", "b"}) {
      EXPECT_TRUE(one.is_suspended(id)) << id << " after " << static_cast<int>(step);
      EXPECT_TRUE(two.is_suspended(id)) << id << " after " << static_cast<int>(step);
      EXPECT_TRUE(before.is_suspended(id)) << id << " after " << static_cast<int>(step);
    }
  }
}

TEST_F(OverridesStoreTest, AnEarlierVersionThatTookANewFileForItsOwnReadsTheNextOne) {
  EarlierProcess earlier(disk_);
  earlier.change("a", true, 900'000);
  earlier.replace_file();
  EXPECT_EQ(one_.suspend("b"), OverrideOutcome::stored);
  earlier.finish_write();  // marks the file of the other process as its own
  earlier.poll();
  EXPECT_FALSE(earlier.is_suspended("b"));
  one_.poll();
  earlier.poll();
  EXPECT_TRUE(earlier.is_suspended("b"));
  EXPECT_TRUE(earlier.is_suspended("a"));
}

TEST_F(OverridesStoreTest, CallsAtAnEarlierVersionArriveInARollback) {
  EXPECT_EQ(one_.suspend("a"), OverrideOutcome::stored);
  EarlierProcess earlier(disk_);
  earlier.poll();
  EXPECT_TRUE(earlier.is_suspended("a"));
  earlier.change("a", false, 2'000'000);
  earlier.replace_file();
  earlier.finish_write();
  EXPECT_FALSE(one_.is_suspended("a"));
  EXPECT_EQ(one_.suspend("a"), OverrideOutcome::stored);
  earlier.poll();
  EXPECT_TRUE(earlier.is_suspended("a"));
}

}  // namespace
}  // namespace edge_proxy::test
