// SPDX-License-Identifier: MIT
/// @file
/// Conversion between libraft's messages and those on the wire.
#pragma once

#include "consensus.pb.h"

extern "C" {
#include <raft.h>
}

namespace edge_proxy::consensus {

/// The kind and its fields; `from`, `to` and the address are the caller's. False: a kind that has no form on
/// the wire.
[[nodiscard]] bool write_raft_message(const raft_message& from, pb::RaftMessage& to);

/// False: a field is out of its range, or there is no memory; `to` then owns nothing. True: what `to` owns
/// (entries, servers, a snapshot's data) is for libraft to free. `to.server_address` points into `from`.
[[nodiscard]] bool read_raft_message(const pb::RaftMessage& from, raft_message& to);

}  // namespace edge_proxy::consensus
