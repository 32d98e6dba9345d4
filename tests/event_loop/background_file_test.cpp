// SPDX-License-Identifier: MIT
#include "event_loop/background_file.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace edge_proxy::event_loop {
namespace {

class BackgroundFileTest : public testing::Test {
 protected:
  void SetUp() override { ASSERT_NE(mkdtemp(folder_.data()), nullptr); }
  void TearDown() override { std::filesystem::remove_all(folder_); }
  /// Iterates the main loop until the file holds `text`; returns false after about 5 s.
  static bool wait_until_written(const std::string& path, const std::string& text) {
    for (int i = 0; i < 5000; ++i) {
      g_main_context_iteration(nullptr, FALSE);
      std::ifstream file(path, std::ios::binary);
      if (std::string(std::istreambuf_iterator<char>(file), {}) == text) return true;
      g_usleep(1000);
    }
    return false;
  }

  std::string folder_ = "/tmp/edge_proxy-test-XXXXXX";
  std::string reported_error_;
  std::function<void(const char*)> on_failure_ = [this](const char* reason) { reported_error_ = reason; };
};

TEST_F(BackgroundFileTest, WriteDoesNotBlockAndTheLatestTextIsStored) {
  // Guards against a slow disk that blocks the main loop: the write runs on another thread and completes only
  // once the loop iterates.
  const std::string path = folder_ + "/file";
  BackgroundFile file(path, on_failure_);
  file.write("a");
  file.write("ab");
  file.write("abc");
  EXPECT_TRUE(wait_until_written(path, "abc"));
  for (int i = 0; i < 100; ++i) g_main_context_iteration(nullptr, FALSE);
  EXPECT_TRUE(wait_until_written(path, "abc")) << "an older text was written later";
  file.write("x");
  EXPECT_TRUE(wait_until_written(path, "x"));
  EXPECT_EQ(reported_error_, "");
}

TEST_F(BackgroundFileTest, WriteFailureIsReported) {
  BackgroundFile file(folder_ + "/missing/file", on_failure_);
  file.write("a");
  for (int i = 0; i < 5000 && reported_error_.empty(); ++i) {
    g_main_context_iteration(nullptr, FALSE);
    g_usleep(1000);
  }
  EXPECT_NE(reported_error_, "");
}

}  // namespace
}  // namespace edge_proxy::event_loop
