// SPDX-License-Identifier: MIT
/// @file
/// The sequencer's state as text, so that a node with a persistent disk resumes after a crash from the last
/// invalidation that it applied. A snapshot ends in an XXH3-64 checksum of all before it: one that was torn
/// in writing, or changed since, is rejected. Nothing in the program writes it yet, since the platform gives
/// no persistent disk. Source: issue 9, docs/invalidation.md.
///
///     dahliahall-purge-snapshot 1
///     applied 41
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

/// The text of a snapshot of `state`: the last number applied, the highest seen and the buffered commands,
/// but not the bound and whether a request is out.
[[nodiscard]] std::string write_snapshot(const SequencerState& state);

/// Why a snapshot can't be used; the message names the line and the fault.
struct SnapshotError {
  std::string message;
};

/// Reads a snapshot back. `max_out_of_order` is the state's bound; a snapshot with more commands is rejected.
/// Other errors: a wrong header or version, a malformed line, a number that is applied, unseen or repeated, a
/// checksum that does not match, text after the checksum.
[[nodiscard]] std::variant<SequencerState, SnapshotError> read_snapshot(std::string_view text,
                                                                        std::size_t max_out_of_order);

}  // namespace edge_proxy::invalidation
