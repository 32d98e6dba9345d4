// SPDX-License-Identifier: MIT
/// @file
/// Messages and entries of consensus as bytes, through Protocol Buffers. Every field is checked.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "consensus/types.h"

namespace edge_proxy::consensus {

namespace pb {
class BootstrapMessage;
class PolicySnapshot;
class RaftMessage;
}  // namespace pb

/// Raft's own messages are passed on as the bytes that came.
struct RaftMessage {
  std::string bytes;  ///< of a pb::RaftMessage
};
struct BootstrapMessage {
  std::string bytes;  ///< of a pb::BootstrapMessage
};
using UserMessage = std::variant<Message, RaftMessage, BootstrapMessage>;

/// `lease`: the sender's, as set.
std::string encode(const Message& message, Time lease);
std::string encode(const pb::RaftMessage& message, Time lease);
std::string encode(const pb::BootstrapMessage& message, Time lease);
/// None where it is malformed, holds a value out of its range, or comes from one whose leases are other than
/// `lease`
/// (`has_other_lease` is set to true then).
std::optional<UserMessage> decode(std::string_view bytes, Time lease, bool* has_other_lease = nullptr);

std::string encode(const Entry& entry);
std::optional<Entry> decode_entry(std::string_view bytes);
void write_snapshot(const Snapshot& snapshot, pb::PolicySnapshot& to);
/// None where a value is out of its range.
std::optional<Snapshot> read_snapshot(const pb::PolicySnapshot& from);

}  // namespace edge_proxy::consensus
