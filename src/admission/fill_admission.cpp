// SPDX-License-Identifier: MIT
#include "admission/fill_admission.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace edge_proxy::admission {
namespace {

using namespace std::chrono_literals;

// Fills admitted in addition to each fill that was in time, if none failed.
constexpr double kMaxExcess = 2;
// The excess decreases with this power of the fraction of fills that were in time.
constexpr double kExcessExponent = 8;
// Time constant of the decay of the counts, about as long as the latency objectives of requests.
constexpr FillAdmission::Time kDecayTime = 1s;
// Costs that differ by a smaller fraction count as equal. While fills are denied, the expected value drifts
// and with it the cost of all fills; without a tolerance, new fills of a kind would rank behind earlier ones
// of the same kind.
constexpr double kCostTolerance = 0.1;
// Maximum number of unused admissions that are kept for later.
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

/// Number of failed fills. Timeouts are subtracted at the rate at which attempts without a fill time out.
double FillAdmission::failed_count() const {
  return rejected_ + std::max(0.0, timed_out_ - source_asked_ * cached_timed_out_ / std::max(cached_, 1.0));
}

/// Fraction of the requested fills to admit: more fills than were in time, but fewer extra ones the more
/// failed.
double FillAdmission::admitted_ratio(double max_ratio) const {
  const double ended_count = in_time_ + failed_count();
  const double excess = 1 + kMaxExcess * std::pow(in_time_ / std::max(ended_count, 1.0), kExcessExponent);
  return std::min((excess * in_time_ + 1) / std::max(ended_count + denied_, 1.0), max_ratio);
}

void FillAdmission::record_cost(double cost) {
  recent_costs_[costs_recorded_ % recent_costs_.size()] = cost;
  ++costs_recorded_;
}

/// The credit, 0 to 1, that a fill earns by its cost relative to the newest requested fills. Time on links
/// and at the origin is scarce: if fills were admitted at random, a few large ones would use most of it and
/// delay the small ones as well. So the cheapest of the newest fills get full credit, and equally cheap ones
/// get a fraction each.
double FillAdmission::credit_for(double cost, double admitted_ratio) const {
  const std::size_t count = std::min(costs_recorded_, recent_costs_.size());
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
