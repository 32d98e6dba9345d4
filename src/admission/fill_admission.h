// SPDX-License-Identifier: MIT
/// @file
/// Admission control for cache fills towards a shared resource. No I/O, no clock.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>

namespace edge_proxy::admission {

/// Prevents overload of the resources that all fills share: the location's link, the parents and the origin.
/// With hundreds of routers, the requests in flight of a single router do not show this overload. Only
/// somewhat more fills are admitted than recently completed in time, the cheapest first. This covers a slow
/// origin, an invalidation of many groups, a saturated link and lost parents. Drawback: some fills are denied
/// even at low demand.
///
/// All counts decay exponentially, with a time constant of one second.
class FillAdmission {
 public:
  using Time = std::chrono::microseconds;

  /// Whether to admit a fill. `cost` is the time for which the fill occupies the
  /// shared resource, divided by its value, in any unit common to all fills; it must be greater than 0.
  /// `max_ratio` is the upper bound on the fraction of fills that are admitted, 0 to 1.
  bool admit(Time now, double cost, double max_ratio);

  /// Decays the counts to `now`. It must be called before the results of an attempt that ends at `now` are
  /// recorded.
  void decay(Time now);

  // Results of attempts with a fill from this source.
  void record_source_asked() { source_asked_ += 1; }  ///< an attempt has ended
  void record_in_time() { in_time_ += 1; }            ///< the fill was in time
  void record_rejected() { rejected_ += 1; }          ///< the fill was late, rejected or failed
  void record_timeout() { timed_out_ += 1; }          ///< no response within the latency objective
  void record_hit();  ///< an admitted fill did not use the source: its credit is returned

  // Results of attempts without a fill from this source.
  void record_denied() { denied_ += 1; }                    ///< a cache miss for which no fill was requested
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

  double credit_ = 1;  // number of fills that may still be admitted
  Time decayed_at_{0};
  std::array<double, kRecentCosts> recent_costs_{};  // ring buffer of the newest costs
  std::size_t costs_recorded_ = 0;
};

}  // namespace edge_proxy::admission
