// SPDX-License-Identifier: MIT
/// @file
/// Decides whether a copy may still be served after the invalidations applied so far. A copy is no longer
/// served if one of them selects it and was issued after the copy was created; until the node has applied
/// that invalidation, it may serve the copy. The log keeps an invalidation only while a copy older than it
/// could be fresh or in its grace time (`prune_before`), so that time bounds the size of the log, not the
/// number of invalidations ever applied.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "invalidation/sequencer.h"

namespace edge_proxy::invalidation {

/// The invalidations that may still affect a copy, in the order in which they were applied.
class InvalidationLog {
 public:
  /// Records an applied invalidation. Calls follow the order of the sequencer.
  void record(const InvalidationCommand& command);
  /// Whether a copy of `key` with these tags, created at the origin at `created_at`, may still be served.
  [[nodiscard]] bool can_serve(const std::string& key, const std::vector<std::string>& tags,
                               UnixMs created_at) const;
  /// Drops invalidations issued before `oldest_servable`; copies created before that time are no longer
  /// served.
  void prune_before(UnixMs oldest_servable);
  [[nodiscard]] std::size_t size() const { return invalidations_.size(); }

 private:
  std::deque<InvalidationCommand> invalidations_;
};

}  // namespace edge_proxy::invalidation
