// SPDX-License-Identifier: MIT
/// @file
/// Encodes and decodes consensus messages and log entries with Protocol Buffers. Decoding checks every field.
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

/// A message of Raft itself, which is passed on as the received bytes.
struct RaftMessage {
  std::string bytes;  ///< an encoded pb::RaftMessage
};
struct BootstrapMessage {
  std::string bytes;  ///< an encoded pb::BootstrapMessage
};
using UserMessage = std::variant<Message, RaftMessage, BootstrapMessage>;

/// `lease` is the lease duration that the sender is configured with.
std::string encode(const Message& message, Time lease);
std::string encode(const pb::RaftMessage& message, Time lease);
std::string encode(const pb::BootstrapMessage& message, Time lease);
/// Returns none if the message is malformed, holds a value out of range, or comes from a sender whose
/// configured lease differs from `lease`; in the last case `has_other_lease` is set to true.
std::optional<UserMessage> decode(std::string_view bytes, Time lease, bool* has_other_lease = nullptr);

std::string encode(const Entry& entry);
std::optional<Entry> decode_entry(std::string_view bytes);
void write_snapshot(const Snapshot& snapshot, pb::PolicySnapshot& to);
/// Returns none if a value is out of range.
std::optional<Snapshot> read_snapshot(const pb::PolicySnapshot& from);

}  // namespace edge_proxy::consensus
