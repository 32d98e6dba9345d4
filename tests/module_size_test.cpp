// SPDX-License-Identifier: MIT
#include <gtest/gtest.h>

#include <fstream>
#include <string>

TEST(ModuleSize, StaysWithinTheAuditorsLimits) {
  std::ifstream module(DAHLIAHALL_MODULE);
  ASSERT_TRUE(module.is_open());
  int filled = 0;
  std::size_t longest = 0;
  for (std::string line; std::getline(module, line);) {
    if (line.find_first_not_of(" \t\r") != std::string::npos) ++filled;
    longest = std::max(longest, line.size());
  }
  EXPECT_GT(filled, 0);
  EXPECT_LE(filled, 880);
  EXPECT_LE(longest, 110U);
}
