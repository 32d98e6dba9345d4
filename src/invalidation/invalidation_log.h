// SPDX-License-Identifier: MIT
/// @file
/// Whether a copy may still be served after the purges applied so far: a copy born (Unix ms at the origin)
/// before a purge that names its key or one of its tags is gone. Purges are kept only while a copy from
/// before them could still be young enough to serve: `forget_before` drops the rest, so the ledger is
/// bounded by the purges of the longest fresh-plus-grace time, not by all purges ever seen.
/// Source: issue 9, docs/invalidation.md (the stated bound on staleness).
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "invalidation/sequencer.h"

namespace edge_proxy::invalidation {

class InvalidationLog {
 public:
  /// Records an applied purge; they come in the sequencer's order.
  void record(const InvalidationCommand& command);
  /// Whether a copy of `key`, carrying `tags`, born at `born`, survives every purge recorded.
  [[nodiscard]] bool can_serve(const std::string& key, const std::vector<std::string>& tags,
                               UnixMs created_at) const;
  /// Forgets purges issued before `oldest_servable`: no copy born before them is young enough to serve.
  void forget_before(UnixMs oldest_servable);
  [[nodiscard]] std::size_t size() const { return invalidations_.size(); }

 private:
  std::deque<InvalidationCommand> invalidations_;
};

}  // namespace edge_proxy::invalidation
