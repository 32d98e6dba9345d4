// SPDX-License-Identifier: MIT
/// @file
/// Stores the state of the sequencer as text, so that a node with a persistent disk resumes after a crash
/// from the last invalidation that it applied. A snapshot ends with an XXH3-64 checksum of everything before
/// it, so that an incomplete write or a later change is detected and rejected. The program doesn't write
/// snapshots yet, because the platform provides no persistent disk.
///
///     dahliahall-purge-snapshot 1
///     applied 41
///     seen 44
///     held 2
///     43 1764576000480 tag class-4b
///     44 1764576000512 glob school/*/proof-?.jpg
///     checksum 9f0c3b1a22d4e871
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "invalidation/sequencer.h"

namespace edge_proxy::invalidation {

/// Returns the text of a snapshot of `state`. It contains the last number applied, the highest number
/// received and the buffered commands, but not the limit on these and not whether a request is pending.
[[nodiscard]] std::string write_snapshot(const SequencerState& state);

/// The reason why a snapshot was rejected. The message describes the fault, with its line if there is one.
struct SnapshotError {
  std::string message;
};

/// Reads a snapshot. `max_out_of_order` becomes the limit of the state; a snapshot with more buffered
/// commands is rejected. These are rejected as well: a wrong header or version, a malformed line, a command
/// whose number is already applied, above the highest number received or repeated, a checksum that doesn't
/// match, and text after the checksum.
[[nodiscard]] std::variant<SequencerState, SnapshotError> read_snapshot(std::string_view text,
                                                                        std::size_t max_out_of_order);

}  // namespace edge_proxy::invalidation
