// SPDX-License-Identifier: MIT
/// @file
/// The policy epoch under which this proxy decides now, and the one before, under which requests that were
/// accepted then may still begin attempts for a moment.
#pragma once

#include <chrono>
#include <optional>

#include "consensus/reducer.h"
#include "edge_proxy/router.h"

namespace edge_proxy::proxy {

/// No attempt of a request begins later than this after its epoch has ended here.
constexpr Time kAttemptsAfterEpoch = std::chrono::milliseconds(300);

/// Two epochs and when the earlier one ended; it knows of no lease but by the times handed in.
class DecisionEpochs {
 public:
  [[nodiscard]] std::optional<consensus::Epoch> current() const { return current_; }
  /// From `now` on another epoch holds, or none. `lease_expires_at`: of the lease on the epoch before; 0
  /// where there was none. Guards the next epoch against a loop that stalled: the one before ended when its
  /// lease did, not when that was seen.
  void change(std::optional<consensus::Epoch> epoch, Time lease_expires_at, Time now);
  /// The terms of the current epoch can't be applied here: nothing is decided.
  void clear_current() { current_.reset(); }
  /// Whether an attempt of a request that was accepted under this epoch may begin. `lease_expires_at`: of the
  /// lease on the current epoch, which may have expired without change() having been called.
  [[nodiscard]] bool can_attempt(consensus::Epoch accepted_under, Time lease_expires_at, Time now) const;

 private:
  std::optional<consensus::Epoch> current_;
  std::optional<consensus::Epoch> previous_;
  Time previous_ended_at_{0};
};

}  // namespace edge_proxy::proxy
