// SPDX-License-Identifier: MIT
#include "event_loop/overrides_file.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>

namespace edge_proxy::event_loop {
namespace {

class OverridesFileTest : public testing::Test {
 protected:
  void SetUp() override { ASSERT_NE(mkdtemp(folder_.data()), nullptr); }
  void TearDown() override { std::filesystem::remove_all(folder_); }
  /// Iterates the main loop until `file` reads `text`; returns false after about 5 s.
  static bool wait_until_read(OverridesFile& file, const std::string& text) {
    for (int i = 0; i < 5000; ++i) {
      g_main_context_iteration(nullptr, FALSE);
      if (const auto content = file.read_if_new()) {
        if (*content == text) return true;
      }
      g_usleep(1000);
    }
    return false;
  }

  std::string folder_ = "/tmp/edge_proxy-test-XXXXXX";
  std::string reported_error_;
  std::function<void(const char*)> on_failure_ = [this](const char* reason) { reported_error_ = reason; };
};

TEST_F(OverridesFileTest, WriteDoesNotBlockAndTheLatestTextIsStored) {
  // Guards against a slow disk that blocks the main loop: the write runs on another thread and completes only
  // once the loop iterates.
  const std::string path = folder_ + "/overrides";
  OverridesFile file(path, on_failure_), other(path, on_failure_);
  file.write("a");
  file.write("ab");
  file.write("abc");
  EXPECT_FALSE(file.read_if_new());  // the older content of the file must not replace the queued text
  EXPECT_TRUE(wait_until_read(other, "abc"));
  for (int i = 0; i < 100; ++i) {
    g_main_context_iteration(nullptr, FALSE);
    EXPECT_FALSE(file.read_if_new()) << "the file's own write was read back";
  }
  other.write("x");
  EXPECT_TRUE(wait_until_read(file, "x"));
  EXPECT_EQ(reported_error_, "");
}

TEST_F(OverridesFileTest, WriteFailureIsReported) {
  OverridesFile file(folder_ + "/missing/overrides", on_failure_);
  file.write("a");
  for (int i = 0; i < 5000 && reported_error_.empty(); ++i) {
    g_main_context_iteration(nullptr, FALSE);
    g_usleep(1000);
  }
  EXPECT_NE(reported_error_, "");
}

TEST_F(OverridesFileTest, FifoIsNotOpened) {
  // Guards against a startup that blocks: opening a FIFO waits for a writer.
  const std::string path = folder_ + "/overrides";
  ASSERT_EQ(std::system(("mkfifo " + path).c_str()), 0);
  OverridesFile file(path, on_failure_);
  EXPECT_FALSE(file.read_if_new());
}

}  // namespace
}  // namespace edge_proxy::event_loop
