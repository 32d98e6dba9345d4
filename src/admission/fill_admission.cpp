// SPDX-License-Identifier: MIT
#include "admission/fill_admission.h"

#include <algorithm>
#include <cmath>

namespace edge_proxy::admission {
namespace {

using namespace std::chrono_literals;

constexpr double kExcess = 2;      // further fills let through for each in time of late, if none failed
constexpr double kStrictness = 8;  // power of the share in time by which that excess falls
constexpr FillAdmission::Time kMemory =
    1s;  // how far back that looks: what a class wants takes about as long
// Costs that differ by less count as alike. Guards fills of one kind against standing behind their own past:
// the worth expected, and with it the cost of all, drifts while the gate closes.
constexpr double kAlike = 0.1;
constexpr double kSaved = 2;  // fills let through that are saved up at most

}  // namespace

void FillAdmission::decay(Time now) {
  const double kept = std::exp(-std::chrono::duration<double>(now - decayed_at_) / kMemory);
  for (double* count :
       {&in_time_, &rejected_, &timed_out_, &source_asked_, &denied_, &cached_, &cached_timed_out_})
    *count *= kept;
  decayed_at_ = now;
}

/// Fills that failed. Silence that attempts without a source meet too is not laid to the fills.
double FillAdmission::failed_ratio() const {
  return rejected_ + std::max(0.0, timed_out_ - source_asked_ * cached_timed_out_ / std::max(cached_, 1.0));
}

bool FillAdmission::admit(Time now, double cost, double max_ratio) {
  decay(now);
  const double ended = in_time_ + failed_ratio();
  const double excess = 1 + kExcess * std::pow(in_time_ / std::max(ended, 1.0), kStrictness);
  const double part = std::min((excess * in_time_ + 1) / std::max(ended + denied_, 1.0), max_ratio);
  recent_costs_[fills_requested_++ % recent_costs_.size()] = cost;
  // What is short is time on links and at the origin: of fills let through blindly a few large ones take
  // most of it, and in their company the small ones are late as well. So the part let through is the cheapest
  // of the newest wanted; among equally cheap ones it is a part of each.
  const auto newest =
      recent_costs_.begin() + static_cast<std::ptrdiff_t>(std::min(fills_requested_, recent_costs_.size()));
  const auto below = std::count_if(recent_costs_.begin(), newest,
                                   [cost](double other) { return other < (1 - kAlike) * cost; });
  const auto equal = std::count_if(recent_costs_.begin(), newest, [cost](double other) {
    return other >= (1 - kAlike) * cost && other <= (1 + kAlike) * cost;
  });
  const double room = part * static_cast<double>(newest - recent_costs_.begin()) - static_cast<double>(below);
  credit_ = std::min(kSaved, credit_ + std::clamp(room / static_cast<double>(equal), 0.0, 1.0));
  if (credit_ < 1) return false;
  credit_ -= 1;
  return true;
}

void FillAdmission::record_hit() { credit_ = std::min(kSaved, credit_ + 1); }

}  // namespace edge_proxy::admission
