// SPDX-License-Identifier: MIT
/// @file
/// The lease of a member: the epoch that it may decide under, and until when by the member's own clock.
#pragma once

#include <map>
#include <optional>

#include "consensus/types.h"

namespace edge_proxy::consensus {

class EpochLease {
 public:
  /// `first_request` is greater than any request number of an earlier process of this member, so that a late
  /// LeaseGrant for an earlier process is ignored.
  explicit EpochLease(std::uint64_t first_request) : last_request_(first_request) {}

  /// Returns the number of a new LeaseRequest. A lease granted for this request starts at `now`.
  std::uint64_t new_request(Time now) {
    // Only the newest requests are kept: a lease granted for an older request would expire soon.
    if (requested_at_.size() >= kMaxOutstandingRequests) requested_at_.erase(requested_at_.begin());
    requested_at_[++last_request_] = now;
    return last_request_;
  }
  /// Returns true if the member holds a lease now and did not before. `active` is the epoch of the member's
  /// own state machine; a grant for another epoch is ignored.
  bool on_grant(const LeaseGrant& grant, Epoch active, Time now) {
    const auto found = requested_at_.find(grant.request_number);
    if (found == requested_at_.end() || grant.epoch != active) return false;
    const Time granted_until = found->second + grant.duration;
    requested_at_.erase(requested_at_.begin(), std::next(found));
    if (granted_until <= now) return false;
    const bool was_held = held_epoch(now).has_value();
    expires_at_ = was_held ? std::max(expires_at_, granted_until) : granted_until;
    epoch_ = grant.epoch;
    return !was_held;
  }
  /// Ends the lease and forgets all requests so far, so that a LeaseGrant in transit is ignored.
  void revoke() {
    requested_at_.clear();
    expires_at_ = Time{0};
  }
  [[nodiscard]] std::optional<Epoch> held_epoch(Time now) const {
    return now < expires_at_ ? std::optional(epoch_) : std::nullopt;
  }
  [[nodiscard]] Time expires_at() const { return expires_at_; }
  [[nodiscard]] Epoch epoch() const { return epoch_; }
  [[nodiscard]] std::uint64_t newest_request() const { return last_request_; }
  [[nodiscard]] const std::map<std::uint64_t, Time>& requested_at() const { return requested_at_; }

 private:
  static constexpr std::size_t kMaxOutstandingRequests = 4;

  std::uint64_t last_request_;
  std::map<std::uint64_t, Time> requested_at_;  // by request number
  Epoch epoch_ = 0;
  Time expires_at_{0};
};

}  // namespace edge_proxy::consensus
