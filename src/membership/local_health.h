// SPDX-License-Identifier: MIT
/// @file
/// Lifeguard's local health score: how likely it is that missing answers are this member's own fault.
#pragma once

#include <algorithm>

namespace edge_proxy::membership {

class LocalHealth {
 public:
  /// `enabled`: false keeps the score at 0.
  LocalHealth(bool enabled, int max_score) : enabled_(enabled), max_score_(max_score) {}

  /// Raises the score (worse health) by `points`.
  void degrade(int points) { adjust(points); }
  void degrade_fully() { adjust(max_score_); }
  /// Lowers the score by one point.
  void recover() { adjust(-1); }

  /// From 0 (healthy) to Settings::max_health_score.
  [[nodiscard]] int score() const { return score_; }
  /// Factor by which probe intervals and timeouts are extended.
  [[nodiscard]] int probe_slowdown() const { return score_ + 1; }

 private:
  void adjust(int points) {
    if (enabled_) score_ = std::clamp(score_ + points, 0, max_score_);
  }

  bool enabled_;
  int max_score_;
  int score_ = 0;
};

}  // namespace edge_proxy::membership
