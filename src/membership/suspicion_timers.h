// SPDX-License-Identifier: MIT
/// @file
/// Deadlines after which suspects are declared dead. Independent confirmations shorten a deadline
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

  /// Sets the deadline of a suspect according to the number of its reporters.
  void set_deadline(Member& suspect);
  void cancel(const Member& member);
  /// Extends all deadlines by `gap`.
  void postpone(Time gap);

  /// A suspect whose deadline has passed.
  [[nodiscard]] std::optional<std::string> next_expired() const;
  /// Up to `max_count` suspects of whose time at least half has passed, those with the earliest deadlines
  /// first.
  [[nodiscard]] std::vector<std::string> past_half_time(std::size_t max_count) const;

  [[nodiscard]] bool empty() const { return deadlines_.empty(); }
  /// Time::max() if no member is suspected.
  [[nodiscard]] Time next_due() const { return empty() ? Time::max() : deadlines_.begin()->first; }
  /// Number of deadlines and of the reporters of their suspicions.
  [[nodiscard]] std::size_t entries() const;

 private:
  [[nodiscard]] Time timeout_of(const Member& suspect) const;

  Context& context_;
  std::set<std::pair<Time, std::string>> deadlines_;
};

}  // namespace edge_proxy::membership
