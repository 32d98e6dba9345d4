// SPDX-License-Identifier: MIT
#include "routing/concurrency_limit.h"

#include <algorithm>

namespace edge_proxy::routing {
namespace {

constexpr double kIncreaseRatio = 0.02;  // per response in time; at least 1 per limit_ responses
constexpr double kDecreaseRatio = 0.1;   // per late response or rejection

}  // namespace

void ConcurrencyLimit::increase(int in_flight) {
  if (in_flight + 1 >= limit_ / 2) limit_ += std::max(kIncreaseRatio * limit_, 1 / limit_);
}

void ConcurrencyLimit::decrease(double blame) {
  limit_ = std::max(1.0, limit_ * (1 - kDecreaseRatio * blame));
}

}  // namespace edge_proxy::routing
