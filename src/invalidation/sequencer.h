// SPDX-License-Identifier: MIT
/// @file
/// Applies invalidations in the order of their numbers on every node of a fleet: a reducer
/// `(SequencerState, SequencerInput) -> effects` with no I/O and no clock. A node applies command N only
/// after N-1. After a restart it resumes from the last number applied: that of its snapshot where there is a
/// disk, else 0 and the feed's replay. Source: issue 9, docs/invalidation.md.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string_view>
#include <variant>
#include <vector>

#include "invalidation/selector.h"

namespace edge_proxy::invalidation {

/// The number of a command in the feed.
using Sequence = std::uint64_t;
/// Unix time in milliseconds.
using UnixMs = std::chrono::milliseconds;

/// One invalidation of the feed, which numbers them from 1 upward without gaps.
struct InvalidationCommand {
  Sequence number = 0;
  Selector selector;
  UnixMs issued_at{0};  ///< when an operator ordered it
  bool operator==(const InvalidationCommand&) const = default;
};

// ---- Inputs ----
/// A command came from the feed, in any order and perhaps again.
struct CommandArrived {
  InvalidationCommand command;
};
/// The connection to the feed is up (again): missing commands are requested.
struct FeedConnected {};

using SequencerInput = std::variant<CommandArrived, FeedConnected>;

// ---- Effects ----
/// Apply this invalidation now: every earlier number has been applied.
struct ApplyInvalidation {
  InvalidationCommand command;
};
/// Request every command from this number on from the feed.
struct RequestFrom {
  Sequence number = 0;
};
enum class DropReason {
  duplicate,     ///< applied or buffered already
  conflict,      ///< another command has the same number: the feed is faulty
  too_far_ahead  ///< beyond the bound on buffered commands; it is requested again
};

/// The reason's name, for log lines.
[[nodiscard]] std::string_view name_of(DropReason reason);

/// This command is not used.
struct CommandDropped {
  Sequence number = 0;
  DropReason reason = DropReason::duplicate;
};

using SequencerEffect = std::variant<ApplyInvalidation, RequestFrom, CommandDropped>;

/// What a node knows of the feed.
struct SequencerState {
  Sequence applied = 0;       ///< the last number applied; all below it are applied too
  Sequence highest_seen = 0;  ///< the highest number that arrived
  std::map<Sequence, InvalidationCommand> out_of_order;  ///< arrived early; wait for the gap to close
  std::size_t max_out_of_order = 1024;                   ///< bound on `out_of_order`
  bool gap_requested = false;                            ///< a request is out until the gap is closed
};

/// Handles one input. The effects are in the order in which they are to be carried out.
std::vector<SequencerEffect> reduce(SequencerState& state, const SequencerInput& input);

}  // namespace edge_proxy::invalidation
