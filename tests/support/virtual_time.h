// SPDX-License-Identifier: MIT
/// @file
/// Waiting in virtual time, for all worlds that have run(span).
#pragma once

#include <chrono>
#include <optional>

namespace edge_proxy::test {

/// Until `done`, asked every `step`; how long it took, or none within `most`.
template <typename World, typename Done>
std::optional<std::chrono::microseconds> run_until(World& world, Done&& done, std::chrono::microseconds most,
                                                   std::chrono::microseconds step) {
  for (std::chrono::microseconds passed{0}; passed <= most; passed += step) {
    if (done()) return passed;
    world.run(step);
  }
  return std::nullopt;
}

}  // namespace edge_proxy::test
