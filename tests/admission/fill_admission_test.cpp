// SPDX-License-Identifier: MIT
#include "admission/fill_admission.h"

#include <gtest/gtest.h>

#include <vector>

namespace edge_proxy::admission {
namespace {

using namespace std::chrono_literals;

/// Requests fills with the given costs in turn, ten per second. Each admitted fill is late, or in time.
/// Returns the number of admitted fills by cost.
std::vector<int> run_fills(FillAdmission& admission, FillAdmission::Time& now,
                           const std::vector<double>& costs, int rounds, bool late) {
  std::vector<int> admitted(costs.size());
  for (int round = 0; round < rounds; ++round) {
    for (std::size_t i = 0; i < costs.size(); ++i) {
      now += 100ms;
      if (!admission.admit(now, costs[i], 1)) {
        admission.record_denied();
        continue;
      }
      admission.record_source_asked();
      late ? admission.record_timeout() : admission.record_in_time();
      ++admitted[i];
    }
  }
  return admitted;
}

TEST(FillAdmissionTest, AdmitsAllFillsThatAreInTime) {
  FillAdmission admission;
  FillAdmission::Time now = 100s;
  EXPECT_EQ(run_fills(admission, now, {1, 2, 3, 4}, 20, false), (std::vector<int>{20, 20, 20, 20}));
}

TEST(FillAdmissionTest, AdmitsTheCheapestFirstIfFillsAreLate) {
  // Guards against a failure after all copies are invalidated at once (join+vast): a few large fills that
  // were admitted regardless of cost saturated the origin's link and delayed the small ones, so that hardly
  // any fill completed in time for the whole day.
  FillAdmission admission;
  FillAdmission::Time now = 100s;
  run_fills(admission, now, {1, 2, 3, 4}, 20, true);
  const auto admitted = run_fills(admission, now, {1, 2, 3, 4}, 50, true);
  EXPECT_GE(admitted[0], 10);
  EXPECT_LE(admitted[1] + admitted[2] + admitted[3], 3);
}

TEST(FillAdmissionTest, AdmitsAFractionOfFillsWithEqualCosts) {
  FillAdmission admission;
  FillAdmission::Time now = 100s;
  run_fills(admission, now, {1, 1, 1, 1}, 20, true);
  const auto admitted = run_fills(admission, now, {1, 1, 1, 1}, 50, true);
  const int total = admitted[0] + admitted[1] + admitted[2] + admitted[3];
  EXPECT_GE(total, 5);
  EXPECT_LE(total, 40);
}

TEST(FillAdmissionTest, AdmitsAllAgainAfterFillsAreInTime) {
  FillAdmission admission;
  FillAdmission::Time now = 100s;
  run_fills(admission, now, {1, 2, 3, 4}, 50, true);
  run_fills(admission, now, {1, 2, 3, 4}, 15, false);
  EXPECT_EQ(run_fills(admission, now, {1, 2, 3, 4}, 10, false), (std::vector<int>{10, 10, 10, 10}));
}

TEST(FillAdmissionTest, RespectsMaxRatio) {
  FillAdmission admission;
  FillAdmission::Time now = 100s;
  int admitted = 0;
  for (int i = 0; i < 400; ++i) {
    now += 50ms;
    if (!admission.admit(now, 1 + i % 4, 0.5)) continue;
    ++admitted;
    admission.record_source_asked();
    admission.record_in_time();
  }
  EXPECT_NEAR(admitted, 200, 10);
}

}  // namespace
}  // namespace edge_proxy::admission
