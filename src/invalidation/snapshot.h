// SPDX-License-Identifier: MIT
/// @file
/// The sequencer's state as text, so that a box with a lasting disk resumes after a crash from the last
/// purge it applied. A snapshot ends in an XXH3-64 checksum of all before it: one that was torn in writing,
/// or changed since, is refused, not trusted. The platform gives no lasting disk: `run` keeps this off, and
/// own tests show it. Source: issue 9, docs/invalidation.md.
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

/// The text of a snapshot of `state` (applied number, highest seen, held commands; not the bound).
std::string write_snapshot(const SequencerState& state);

/// Why a snapshot can't be used; `message` names the line and the fault.
struct SnapshotError {
  std::string message;
};

/// Reads a snapshot back. `most_held` is the bound from configuration; a snapshot holding more is refused.
/// Errors: wrong header or version, a line that can't be read, a number out of order, a checksum that does
/// not match (torn or changed), text after the checksum.
std::variant<SequencerState, SnapshotError> read_snapshot(std::string_view text,
                                                          std::size_t max_out_of_order);

}  // namespace edge_proxy::invalidation
