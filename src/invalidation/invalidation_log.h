// SPDX-License-Identifier: MIT
/// @file
/// Decides whether a copy may still be served after the invalidations applied so far: not if one of them
/// selects it and was issued after the copy was made. An invalidation is kept only while a copy from before
/// it could be fresh or in its grace time, so the log's size is bounded by that time, not by all
/// invalidations ever seen (`prune_before`). Source: issue 9; docs/invalidation.md states the bound on
/// staleness.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "invalidation/sequencer.h"

namespace edge_proxy::invalidation {

/// The invalidations that may still concern a copy, in the order in which they were applied.
class InvalidationLog {
 public:
  /// Records an applied invalidation; they come in the sequencer's order.
  void record(const InvalidationCommand& command);
  /// Whether a copy of `key` with these tags, made at the origin at `created_at`, is still valid.
  [[nodiscard]] bool can_serve(const std::string& key, const std::vector<std::string>& tags,
                               UnixMs created_at) const;
  /// Drops invalidations issued before `oldest_servable`: no copy made before that time is served any more.
  void prune_before(UnixMs oldest_servable);
  [[nodiscard]] std::size_t size() const { return invalidations_.size(); }

 private:
  std::deque<InvalidationCommand> invalidations_;
};

}  // namespace edge_proxy::invalidation
