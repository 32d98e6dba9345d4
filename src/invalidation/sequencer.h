// SPDX-License-Identifier: MIT
/// @file
/// Purges in the order of their numbers, over a fleet: a reducer `(SequencerState, Input) -> effects` with
/// no I/O and no clock. Every proxy and cache box applies purge N only after N-1; one that restarts resumes
/// from the last number it applied (its snapshot, where there is a disk; else from 0 and the feed's replay).
/// Source: issue 9, docs/invalidation.md.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "invalidation/selector.h"

namespace edge_proxy::invalidation {

using Sequence = std::uint64_t;
using UnixMs = std::chrono::milliseconds;

/// One purge as the feed numbers it: from 1 upward without gaps.
struct InvalidationCommand {
  Sequence number = 0;
  Selector selector;
  UnixMs issued_at{0};  ///< when it was ordered, Unix milliseconds
  bool operator==(const InvalidationCommand&) const = default;
};

// ---- Inputs ----
struct CommandArrived {
  InvalidationCommand command;
};
/// The feed connection came (back) up: what is missing is asked for again.
struct FeedConnected {};

using SequencerInput = std::variant<CommandArrived, FeedConnected>;

// ---- Effects ----
/// Apply this purge now: every earlier number has been applied.
struct ApplyInvalidation {
  InvalidationCommand command;
};
/// Ask the feed for everything from this number on (a gap, or a restart).
struct RequestFrom {
  Sequence number = 0;
};
/// This command is not used: `reason` is `duplicate` (applied or held already), `conflict` (the same number
/// with another selector: the feed is faulty), or `too_far_ahead` (beyond the bound on held commands).
struct CommandDropped {
  Sequence number = 0;
  std::string reason;
};

using SequencerEffect = std::variant<ApplyInvalidation, RequestFrom, CommandDropped>;

struct SequencerState {
  Sequence applied = 0;       ///< the highest number applied; all below it are applied too
  Sequence highest_seen = 0;  ///< the highest number that arrived, held or dropped
  std::map<Sequence, InvalidationCommand> out_of_order;  ///< arrived early, waiting for a gap to fill
  std::size_t max_out_of_order = 1024;                   ///< bound on `held`, from configuration
  bool gap_requested = false;                            ///< a gap has been asked for and not filled yet
};

/// The one place where the order of purges changes. Effects come in the order they are to be carried out.
std::vector<SequencerEffect> reduce(SequencerState& state, const SequencerInput& input);

}  // namespace edge_proxy::invalidation
