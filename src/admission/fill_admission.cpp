// SPDX-License-Identifier: MIT
#include "admission/fill_admission.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace edge_proxy::admission {
namespace {

using namespace std::chrono_literals;

// Further fills admitted for each that was in time, if none failed.
constexpr double kMaxExcess = 2;
// Power of the share of fills in time by which that excess falls.
constexpr double kExcessExponent = 8;
// Time constant of the counts: requests have latency objectives of about this length.
constexpr FillAdmission::Time kDecayTime = 1s;
// Costs that differ by less count as equal. Guards fills of one kind against queueing behind their own past:
// the expected value, and with it the cost of all, drifts while fills are held back.
constexpr double kCostTolerance = 0.1;
// Admissions that are saved up at most.
constexpr double kMaxCredit = 2;

}  // namespace

void FillAdmission::decay(Time now) {
  const double remaining_fraction = std::exp(-std::chrono::duration<double>(now - decayed_at_) / kDecayTime);
  for (double* count :
       {&in_time_, &rejected_, &timed_out_, &source_asked_, &denied_, &cached_, &cached_timed_out_}) {
    *count *= remaining_fraction;
  }
  decayed_at_ = now;
}

/// Fills that failed. Timeouts as often as attempts without a fill meet them are not blamed on the fills.
double FillAdmission::failed_count() const {
  return rejected_ + std::max(0.0, timed_out_ - source_asked_ * cached_timed_out_ / std::max(cached_, 1.0));
}

/// Part of the fills wanted that is admitted: more than were in time, the less so the more failed.
double FillAdmission::admitted_ratio(double max_ratio) const {
  const double ended_count = in_time_ + failed_count();
  const double excess = 1 + kMaxExcess * std::pow(in_time_ / std::max(ended_count, 1.0), kExcessExponent);
  return std::min((excess * in_time_ + 1) / std::max(ended_count + denied_, 1.0), max_ratio);
}

void FillAdmission::record_cost(double cost) {
  recent_costs_[fills_requested_ % recent_costs_.size()] = cost;
  ++fills_requested_;
}

/// Part of a fill that its cost earns among the newest ones wanted. What is scarce is time on links and at
/// the origin: of fills admitted at random a few large ones take most of it, and the small ones beside them
/// are late as well. So those admitted are the cheapest of the newest wanted, and of equally cheap ones a
/// part of each.
double FillAdmission::credit_for(double cost, double admitted_ratio) const {
  const std::size_t count = std::min(fills_requested_, recent_costs_.size());
  const auto recent_end = recent_costs_.begin() + static_cast<std::ptrdiff_t>(count);
  const double lowest_equal = (1 - kCostTolerance) * cost;
  const double highest_equal = (1 + kCostTolerance) * cost;
  const auto cheaper_count = std::count_if(recent_costs_.begin(), recent_end,
                                           [lowest_equal](double other) { return other < lowest_equal; });
  const auto equal_count =
      std::count_if(recent_costs_.begin(), recent_end, [lowest_equal, highest_equal](double other) {
        return other >= lowest_equal && other <= highest_equal;
      });
  const double capacity = admitted_ratio * static_cast<double>(count) - static_cast<double>(cheaper_count);
  return std::clamp(capacity / static_cast<double>(equal_count), 0.0, 1.0);
}

bool FillAdmission::admit(Time now, double cost, double max_ratio) {
  decay(now);
  const double ratio = admitted_ratio(max_ratio);
  record_cost(cost);
  credit_ = std::min(kMaxCredit, credit_ + credit_for(cost, ratio));
  if (credit_ < 1) return false;
  credit_ -= 1;
  return true;
}

void FillAdmission::record_hit() { credit_ = std::min(kMaxCredit, credit_ + 1); }

}  // namespace edge_proxy::admission
