// SPDX-License-Identifier: MIT
/// @file
/// The deadlines by which suspects count as dead. Independent confirmations bring a deadline forward
/// (Lifeguard's dynamic suspicion timeout).
#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "membership/context.h"

namespace edge_proxy::membership {

class SuspicionTimers {
 public:
  explicit SuspicionTimers(Context& context) : context_(context) {}

  /// Sets or changes the deadline of a suspect by the number of its reporters.
  void set_deadline(Member& suspect);
  void cancel(const Member& member);
  /// Gives all suspects that much more time.
  void postpone(Time gap);

  /// A suspect whose deadline has passed.
  [[nodiscard]] std::optional<std::string> next_expired() const;
  /// Suspects with more than half of their time over, those with the next deadlines first; `max_count` of
  /// them at most.
  [[nodiscard]] std::vector<std::string> past_half_time(std::size_t max_count) const;

  [[nodiscard]] bool empty() const { return deadlines_.empty(); }
  /// The maximum where nobody is suspected.
  [[nodiscard]] Time next_due() const { return empty() ? Time::max() : deadlines_.begin()->first; }
  /// Deadlines and the reporters of their suspicions.
  [[nodiscard]] std::size_t entries() const;

 private:
  [[nodiscard]] Time timeout_of(const Member& suspect) const;

  Context& context_;
  std::set<std::pair<Time, std::string>> deadlines_;
};

}  // namespace edge_proxy::membership
