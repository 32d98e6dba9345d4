// SPDX-License-Identifier: MIT
/// @file
/// Which fills are let through to what many share. No I/O, no clock.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>

namespace edge_proxy::admission {

/// Guards against overload of what all fills share (the location's link, the parents, the origin), which one
/// router's requests under way do not show where there are hundreds of routers: of the fills wanted, only
/// somewhat more are let through than were in time of late, those first that cost least. Covers a slow
/// origin, a purge of many groups, a full link, dead parents. Harm: some fills are held back where few are
/// asked for.
class FillAdmission {
 public:
  using Time = std::chrono::microseconds;

  /// Whether a fill may go. `cost`: time it takes of what is shared over what it earns, in any unit that is
  /// the same for all. `most`: bound from elsewhere on the part let through, 0 to 1.
  bool admit(Time now, double cost, double max_ratio);

  /// Attempts that end count from here on: what came before fades.
  void decay(Time now);

  // How attempts ended that were asked of the source.
  void record_source_asked() { source_asked_ += 1; }
  void record_in_time() { in_time_ += 1; }
  void record_rejected() { rejected_ += 1; }  ///< or broken off
  void record_timeout() { timed_out_ += 1; }  ///< no answer by the wanted time
  void record_denied() { denied_ += 1; }      ///< a miss for which no fill was asked
  void record_hit();                          ///< it was let through and took nothing of the source
  // How those ended that were asked of no source.
  void record_cached() { cached_ += 1; }
  void record_cached_timeout() { cached_timed_out_ += 1; }

 private:
  [[nodiscard]] double failed_ratio() const;

  // Numbers that fade.
  double in_time_ = 0, rejected_ = 0, timed_out_ = 0, source_asked_ = 0, denied_ = 0, cached_ = 0,
         cached_timed_out_ = 0;
  double credit_ = 1;
  Time decayed_at_{0};
  std::array<double, 32> recent_costs_{};  // of the newest fills wanted
  std::size_t fills_requested_ = 0;
};

}  // namespace edge_proxy::admission
