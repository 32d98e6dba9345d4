// SPDX-License-Identifier: MIT
// Checks the limits on the length of the source files and of their lines, in src and include.
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>

namespace {

constexpr int kMaxNonBlankLines = 600;
constexpr std::size_t kMaxColumns = 110;

void expect_file_within_limits(const std::filesystem::path& path) {
  std::ifstream file(path);
  ASSERT_TRUE(file.is_open()) << path;
  int lines = 0;
  std::size_t longest = 0;
  for (std::string line; std::getline(file, line);) {
    if (line.find_first_not_of(" \t\r") != std::string::npos) ++lines;
    longest = std::max(longest, line.size());
  }
  EXPECT_GT(lines, 0) << path;
  EXPECT_LE(lines, kMaxNonBlankLines) << path;
  EXPECT_LE(longest, kMaxColumns) << path;
}

int expect_folder_within_limits(const std::string& folder) {
  int files = 0;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(folder)) {
    if (entry.path().extension() != ".cpp" && entry.path().extension() != ".h") continue;
    expect_file_within_limits(entry.path());
    ++files;
  }
  return files;
}

}  // namespace

TEST(SourceLayout, FilesStayWithinLineAndColumnLimits) {
  EXPECT_GT(expect_folder_within_limits(EDGE_PROXY_SOURCE_DIR "/src"), 0);
  EXPECT_GT(expect_folder_within_limits(EDGE_PROXY_SOURCE_DIR "/include"), 0);
}
