// SPDX-License-Identifier: MIT
/// @file
/// Waiting in virtual time, for every simulated world that has run(duration).
#pragma once

#include <chrono>
#include <optional>

namespace edge_proxy::test {

/// Runs the world in steps until `done` returns true. Returns the elapsed time, or none if that takes longer
/// than `timeout`.
template <typename World, typename Done>
std::optional<std::chrono::microseconds> run_until(World& world, Done&& done,
                                                   std::chrono::microseconds timeout,
                                                   std::chrono::microseconds step) {
  for (std::chrono::microseconds elapsed{0}; elapsed <= timeout; elapsed += step) {
    if (done()) return elapsed;
    world.run(step);
  }
  return std::nullopt;
}

}  // namespace edge_proxy::test
