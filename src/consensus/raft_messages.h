// SPDX-License-Identifier: MIT
/// @file
/// Conversion between libraft's messages and the messages on the wire.
#pragma once

#include "consensus.pb.h"

extern "C" {
#include <raft.h>
}

namespace edge_proxy::consensus {

/// Writes the kind of the message and its fields; the caller sets `from`, `to` and the address. Returns false
/// for a kind that has no wire format.
[[nodiscard]] bool write_raft_message(const raft_message& from, pb::RaftMessage& to);

/// Returns false if a field is out of range or there is not enough memory; `to` then owns nothing. On success
/// libraft frees what `to` owns (entries, servers, the data of a snapshot). `to.server_address` points into
/// `from`.
[[nodiscard]] bool read_raft_message(const pb::RaftMessage& from, raft_message& to);

}  // namespace edge_proxy::consensus
