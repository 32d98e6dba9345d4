// SPDX-License-Identifier: MIT
/// @file
/// The clock of the event loop.
#pragma once

#include <chrono>

#include "edge_proxy/router.h"

namespace edge_proxy::event_loop {

/// Monotonic Unix time: the system clock is read once, and the steady clock measures the time since then.
class Clock {
 public:
  /// Microseconds since the Unix epoch.
  [[nodiscard]] Time now() const {
    return unix_start_ + std::chrono::duration_cast<Time>(std::chrono::steady_clock::now() - steady_start_);
  }

 private:
  std::chrono::steady_clock::time_point steady_start_ = std::chrono::steady_clock::now();
  Time unix_start_ = std::chrono::duration_cast<Time>(std::chrono::system_clock::now().time_since_epoch());
};

}  // namespace edge_proxy::event_loop
