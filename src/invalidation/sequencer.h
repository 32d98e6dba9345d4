// SPDX-License-Identifier: MIT
/// @file
/// Applies invalidations in the order of their sequence numbers on every node of a fleet. The sequencer is a
/// reducer `(SequencerState, SequencerInput) -> effects` that performs no I/O and reads no clock. A node
/// applies command N only after N-1. After a restart it resumes after the last number applied, which it takes
/// from its snapshot if it has a persistent disk; otherwise it starts at 0 and the feed replays all commands.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string_view>
#include <variant>
#include <vector>

#include "invalidation/selector.h"

namespace edge_proxy::invalidation {

/// The sequence number of a command in the feed.
using Sequence = std::uint64_t;
/// Unix time in milliseconds.
using UnixMs = std::chrono::milliseconds;

/// One invalidation of the feed. The feed numbers its commands from 1 without gaps.
struct InvalidationCommand {
  Sequence number = 0;
  Selector selector;
  UnixMs issued_at{0};  ///< time at which an operator issued it
  bool operator==(const InvalidationCommand&) const = default;
};

// ---- Inputs ----
/// A command arrived from the feed. Commands may arrive out of order and more than once.
struct CommandArrived {
  InvalidationCommand command;
};
/// The connection to the feed was established or re-established; the node requests the missing commands.
struct FeedConnected {};

using SequencerInput = std::variant<CommandArrived, FeedConnected>;

// ---- Effects ----
/// Applies this invalidation now; every lower number has been applied.
struct ApplyInvalidation {
  InvalidationCommand command;
};
/// Requests all commands from this number on from the feed.
struct RequestFrom {
  Sequence number = 0;
};
enum class DropReason {
  duplicate,     ///< already applied or buffered
  conflict,      ///< another command has the same number: the feed is faulty
  too_far_ahead  ///< above the limit on buffered commands; it is requested again
};

/// Returns the name of the reason for log lines.
[[nodiscard]] std::string_view name_of(DropReason reason);

/// This command was discarded.
struct CommandDropped {
  Sequence number = 0;
  DropReason reason = DropReason::duplicate;
};

using SequencerEffect = std::variant<ApplyInvalidation, RequestFrom, CommandDropped>;

/// The progress of a node in the feed.
struct SequencerState {
  Sequence applied = 0;       ///< the last number applied; all lower numbers have been applied
  Sequence highest_seen = 0;  ///< the highest number received
  std::map<Sequence, InvalidationCommand> out_of_order;  ///< buffered until the gap before them is closed
  std::size_t max_out_of_order = 1024;                   ///< limit on the size of `out_of_order`
  bool gap_requested = false;                            ///< whether a request for the gap is pending
};

/// Handles one input and returns the effects in the order in which the caller must carry them out.
std::vector<SequencerEffect> reduce(SequencerState& state, const SequencerInput& input);

}  // namespace edge_proxy::invalidation
