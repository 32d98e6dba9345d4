// SPDX-License-Identifier: MIT
/// @file
/// The member's side of a lease: which epoch it may decide under, and until when by its own clock.
#pragma once

#include <map>
#include <optional>

#include "agreed/types.h"

namespace dahliahall::agreed {

class Lease {
 public:
  /// `first`: greater than any number that an earlier process of this member has used. Guards against a
  /// Grant for an earlier process that comes late.
  explicit Lease(std::uint64_t first) : number_(first) {}

  /// The number of a new Ask, counted from `now`.
  std::uint64_t ask(Time now) {
    // Only the newest few count: an answer to an older one would be worth little.
    if (asked_.size() >= kOut) asked_.erase(asked_.begin());
    asked_[++number_] = now;
    return number_;
  }
  /// Whether that changed which epoch is held. `active`: what its own register has come to: it holds no
  /// other.
  bool granted(const Grant& grant, Epoch active, Time now) {
    const auto found = asked_.find(grant.number);
    if (found == asked_.end() || grant.epoch != active) return false;
    const Time until = found->second + grant.span;
    asked_.erase(asked_.begin(), std::next(found));
    if (until <= now) return false;
    const bool before = held(now).has_value();
    until_ = before ? std::max(until_, until) : until;
    epoch_ = grant.epoch;
    return !before;
  }
  /// Decides nothing under it any more, nor by what was asked for so far. Guards against a Grant on its way.
  void give_up() {
    asked_.clear();
    until_ = Time{0};
  }
  [[nodiscard]] std::optional<Epoch> held(Time now) const {
    return now < until_ ? std::optional(epoch_) : std::nullopt;
  }
  [[nodiscard]] Time until() const { return until_; }
  [[nodiscard]] Epoch epoch() const { return epoch_; }
  [[nodiscard]] std::uint64_t newest() const { return number_; }
  [[nodiscard]] const std::map<std::uint64_t, Time>& asked() const { return asked_; }

 private:
  static constexpr std::size_t kOut = 4;

  std::uint64_t number_;
  std::map<std::uint64_t, Time> asked_;  // when
  Epoch epoch_ = 0;
  Time until_{0};
};

}  // namespace dahliahall::agreed
