// SPDX-License-Identifier: MIT
/// @file
/// Converts between microseconds and seconds.
#pragma once

#include <chrono>
#include <cstdint>

namespace edge_proxy {

constexpr double kMicrosecondsPerSecond = 1e6;

[[nodiscard]] constexpr double to_seconds(std::chrono::microseconds time) {
  return static_cast<double>(time.count()) / kMicrosecondsPerSecond;
}

/// Truncates fractions of a microsecond.
[[nodiscard]] constexpr std::chrono::microseconds from_seconds(double seconds) {
  return std::chrono::microseconds{static_cast<std::int64_t>(seconds * kMicrosecondsPerSecond)};
}

}  // namespace edge_proxy
