// SPDX-License-Identifier: MIT
#include "routing/popularity.h"

#include <algorithm>

#include "routing/settings_queries.h"

namespace edge_proxy::routing {
namespace {

using namespace std::chrono_literals;

constexpr Time kWindowPerRouter = 20s;
constexpr std::size_t kGoldParts = 20;
constexpr std::size_t kBronzeMaxCount = 1;
constexpr std::size_t kMaxCountedRequests = 1 << 16;

/// The window grows with the number of routers in the zone: they share its requests, and each needs as many
/// for its counts.
Time window_of(const Settings& settings) { return kWindowPerRouter * std::max(1, routers_in_zone(settings)); }

}  // namespace

Popularity::Popularity(const Settings& settings)
    : settings_(settings), counts_(window_of(settings), kMaxCountedRequests) {}

void Popularity::update_gold_parts(Time now) {
  counts_.trim(now);
  gold_.clear();
  for (const std::uint64_t part_key : counts_.top(kGoldParts)) gold_.insert(part_key);
}

Rank Popularity::count_and_rank(Time now, std::uint64_t part_key, bool client_retry) {
  // A retry by the client is no new demand. This router's own retries don't get here.
  if (!client_retry) counts_.add(now, part_key);
  if (gold_.contains(part_key)) return Rank::middle;
  const bool window_is_full = now - started_at_ >= window_of(settings_);
  return window_is_full && counts_.count(part_key) <= kBronzeMaxCount ? Rank::uncached : Rank::low;
}

}  // namespace edge_proxy::routing
