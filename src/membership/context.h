// SPDX-License-Identifier: MIT
/// @file
/// State that all parts of the reducer share: settings, member table, time of the current input, random
/// number generator, counters, and the effects of the current input.
#pragma once

#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "membership/events.h"
#include "membership/settings.h"
#include "membership/view.h"

namespace edge_proxy::membership {

/// Counts since the start.
struct Counters {
  std::array<std::uint64_t, kDecodeErrorCount> decode_errors{};
  std::uint64_t wrong_recipient = 0;  ///< messages to another member that had this address before
  std::uint64_t table_full = 0;       ///< messages and updates with a new name while the table was full
  std::uint64_t pings = 0;
  std::uint64_t unanswered_pings = 0;
  std::uint64_t suspected = 0;
  std::uint64_t declared_dead = 0;
  std::uint64_t refutations = 0;
  std::uint64_t full_syncs = 0;
};

struct Context {
  Context(Settings membership_settings, std::uint64_t seed, Time start)
      : settings(std::move(membership_settings)),
        view(settings.name, settings.max_members),
        random(seed),
        now(start),
        started_at(start) {}

  /// The update of this member about itself. The table contains it from the start.
  [[nodiscard]] const MemberUpdate& self() const { return view.find(settings.name)->update; }
  /// False after a graceful shutdown and while the name is disputed.
  [[nodiscard]] bool is_participating() const { return !has_left && self().status == MemberStatus::alive; }
  /// log10 of the number of registered members, at least 1.
  [[nodiscard]] double log_cluster_size() const;
  void log(std::string line) { effects.emplace_back(LogLine{std::move(line)}); }

  const Settings settings;
  View view;
  Counters counters;
  std::mt19937_64 random;
  Time now;  ///< time of the current input; never decreases
  const Time started_at;
  bool has_left = false;
  std::vector<Effect> effects;
};

}  // namespace edge_proxy::membership
