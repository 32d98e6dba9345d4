// SPDX-License-Identifier: MIT
/// @file
/// Admission control for cache fills towards a shared resource. No I/O, no clock.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>

namespace edge_proxy::admission {

/// Guards against overload of what all fills share (the location's link, the parents, the origin). Where
/// there are hundreds of routers, the requests in flight of one do not show that overload. Of the fills
/// wanted, only somewhat more are admitted than were in time lately, the cheapest first. Covers a slow
/// origin, an invalidation of many groups, a full link and lost parents. Drawback: some fills are held back
/// where few are wanted.
///
/// All counts decay exponentially, with a time constant of about a second.
class FillAdmission {
 public:
  using Time = std::chrono::microseconds;

  /// Whether a fill may go out. `cost`: time that it takes of the shared resource, divided by its value, in
  /// any unit that is the same for all; above 0. `max_ratio`: upper bound on the part of the fills that is
  /// admitted, 0 to 1.
  bool admit(Time now, double cost, double max_ratio);

  /// Lets the counts decay up to `now`. Call it before the records of an attempt that ends at `now`.
  void decay(Time now);

  // Attempts with a fill from this source.
  void record_source_asked() { source_asked_ += 1; }  ///< an attempt has ended
  void record_in_time() { in_time_ += 1; }            ///< the fill was in time
  void record_rejected() { rejected_ += 1; }          ///< the fill was late, rejected or failed
  void record_timeout() { timed_out_ += 1; }          ///< no response within the latency objective
  void record_hit();                                  ///< it was admitted and took nothing of the source

  // Attempts without a fill from this source.
  void record_denied() { denied_ += 1; }                    ///< a miss for which no fill was asked
  void record_cached() { cached_ += 1; }                    ///< an attempt has ended
  void record_cached_timeout() { cached_timed_out_ += 1; }  ///< no response within the latency objective

 private:
  [[nodiscard]] double failed_count() const;
  [[nodiscard]] double admitted_ratio(double max_ratio) const;
  void record_cost(double cost);
  [[nodiscard]] double credit_for(double cost, double admitted_ratio) const;

  static constexpr std::size_t kRecentCosts = 32;

  // Decaying counts.
  double in_time_ = 0;
  double rejected_ = 0;
  double timed_out_ = 0;
  double source_asked_ = 0;
  double denied_ = 0;
  double cached_ = 0;
  double cached_timed_out_ = 0;

  double credit_ = 1;  // fills that may go out
  Time decayed_at_{0};
  std::array<double, kRecentCosts> recent_costs_{};  // of the newest fills wanted, a ring
  std::size_t fills_requested_ = 0;
};

}  // namespace edge_proxy::admission
