// SPDX-License-Identifier: MIT
/// @file
/// The member's side of a lease: which epoch it may decide under, and until when by its own clock.
#pragma once

#include <map>
#include <optional>

#include "consensus/types.h"

namespace edge_proxy::consensus {

class EpochLease {
 public:
  /// `first`: greater than any number that an earlier process of this member has used. Guards against a
  /// Grant for an earlier process that comes late.
  explicit EpochLease(std::uint64_t first_request) : last_request_(first_request) {}

  /// The number of a new Ask, counted from `now`.
  std::uint64_t new_request(Time now) {
    // Only the newest few count: an answer to an older one would be worth little.
    if (requested_at_.size() >= kMaxOutstandingRequests) requested_at_.erase(requested_at_.begin());
    requested_at_[++last_request_] = now;
    return last_request_;
  }
  /// Whether that changed which epoch is held. `active`: what its own register has come to: it holds no
  /// other.
  bool on_grant(const LeaseGrant& grant, Epoch active, Time now) {
    const auto found = requested_at_.find(grant.request_number);
    if (found == requested_at_.end() || grant.epoch != active) return false;
    const Time until = found->second + grant.duration;
    requested_at_.erase(requested_at_.begin(), std::next(found));
    if (until <= now) return false;
    const bool before = held_epoch(now).has_value();
    expires_at_ = before ? std::max(expires_at_, until) : until;
    epoch_ = grant.epoch;
    return !before;
  }
  /// Decides nothing under it any more, nor by what was asked for so far. Guards against a Grant on its way.
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
  std::map<std::uint64_t, Time> requested_at_;  // when
  Epoch epoch_ = 0;
  Time expires_at_{0};
};

}  // namespace edge_proxy::consensus
