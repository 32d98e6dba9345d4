// SPDX-License-Identifier: MIT
#include "event_loop/overrides_file.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>

namespace edge_proxy::event_loop {
namespace {

class KeptFileTest : public testing::Test {
 protected:
  void SetUp() override { ASSERT_NE(mkdtemp(folder_.data()), nullptr); }
  void TearDown() override { std::filesystem::remove_all(folder_); }
  /// Lets the main loop run until the file is there, or nothing more is under way.
  static bool comes(OverridesFile& file, const std::string& text) {
    for (int i = 0; i < 5000; ++i) {
      g_main_context_iteration(nullptr, FALSE);
      if (const auto read = file.read_if_new()) {
        if (*read == text) return true;
      }
      g_usleep(1000);
    }
    return false;
  }

  std::string folder_ = "/tmp/edge_proxy-test-XXXXXX";
  std::string problem_;
  std::function<void(const char*)> failed_ = [this](const char* why) { problem_ = why; };
};

TEST_F(KeptFileTest, NothingWaitsForTheDisk) {
  // Guards all clients against a write that takes seconds: it goes on beside the loop, which has not run yet
  // here.
  const std::string path = folder_ + "/kept";
  OverridesFile mine(path, failed_), other(path, failed_);
  mine.write("a");
  mine.write("ab");
  mine.write("abc");
  EXPECT_FALSE(mine.read_if_new());  // what it was told last is not undone by what the file still holds
  EXPECT_TRUE(comes(other, "abc"));
  for (int i = 0; i < 100; ++i) {
    g_main_context_iteration(nullptr, FALSE);
    EXPECT_FALSE(mine.read_if_new()) << "its own";
  }
  other.write("x");
  EXPECT_TRUE(comes(mine, "x"));
  EXPECT_EQ(problem_, "");
}

TEST_F(KeptFileTest, WhatCannotBeWrittenIsTold) {
  OverridesFile file(folder_ + "/missing/kept", failed_);
  file.write("a");
  for (int i = 0; i < 5000 && problem_.empty(); ++i) {
    g_main_context_iteration(nullptr, FALSE);
    g_usleep(1000);
  }
  EXPECT_NE(problem_, "");
}

TEST_F(KeptFileTest, OnlyAFileIsRead) {
  // Guards the start against a name at which opening waits for ever.
  const std::string path = folder_ + "/kept";
  ASSERT_EQ(std::system(("mkfifo " + path).c_str()), 0);
  OverridesFile file(path, failed_);
  EXPECT_FALSE(file.read_if_new());
}

}  // namespace
}  // namespace edge_proxy::event_loop
