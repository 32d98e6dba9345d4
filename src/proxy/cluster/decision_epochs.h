// SPDX-License-Identifier: MIT
/// @file
/// The current policy epoch of this proxy and the previous one, under which requests accepted at that time
/// may start attempts for a short time.
#pragma once

#include <chrono>
#include <optional>

#include "consensus/reducer.h"
#include "edge_proxy/router.h"

namespace edge_proxy::proxy {

/// A request may start attempts for less than this time after its epoch has ended on this proxy.
constexpr Time kAttemptsAfterEpoch = std::chrono::milliseconds(300);

/// Stores the two epochs and the end time of the previous one. The lease expiry is passed in by the caller.
class DecisionEpochs {
 public:
  [[nodiscard]] std::optional<consensus::Epoch> current() const { return current_; }
  /// Sets the epoch that is current from `now` on; none: no epoch is. `lease_expires_at`: the expiry of the
  /// lease on the previous epoch; 0 if there was none. After an event loop stall the previous epoch counts as
  /// ended when its lease expired, not when the expiry was noticed, so that it does not overlap with the next
  /// epoch.
  void change(std::optional<consensus::Epoch> epoch, Time lease_expires_at, Time now);
  /// Removes the current epoch, because its terms can't be applied on this proxy. New requests are rejected.
  void clear_current() { current_.reset(); }
  /// Whether a request that was accepted under this epoch may start an attempt. `lease_expires_at`: the
  /// expiry of the lease on the current epoch, which may have passed without a call of change().
  [[nodiscard]] bool can_attempt(consensus::Epoch accepted_under, Time lease_expires_at, Time now) const;

 private:
  std::optional<consensus::Epoch> current_;
  std::optional<consensus::Epoch> previous_;
  Time previous_ended_at_{0};
};

}  // namespace edge_proxy::proxy
