// SPDX-License-Identifier: MIT
/// @file
/// Encodes and decodes messages between members, through Protocol Buffers. Every field of a received message
/// is validated.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "membership/types.h"

namespace edge_proxy::membership {

/// Why received bytes were rejected.
enum class DecodeError : std::uint8_t {
  malformed,
  oversized,
  checksum_mismatch,
  wrong_cluster,
  wrong_version,
  invalid_field
};
constexpr std::size_t kDecodeErrorCount = 6;
/// The text used in log lines and metric names.
std::string_view name_of(DecodeError error);

/// Upper bound on the length of member names, addresses and cluster names.
constexpr std::size_t kMaxNameBytes = 64;

/// Serializes a message for the members of `cluster`.
std::string encode(const Message& message, const std::string& cluster);
/// Reads and validates a message of at most `max_bytes` that was sent in `cluster`.
std::variant<Message, DecodeError> decode(std::string_view bytes, const std::string& cluster,
                                          std::size_t max_bytes);

/// Whether the text is a valid member name: 1 to kMaxNameBytes letters, digits, '-', '_' or '.'.
[[nodiscard]] bool is_valid_name(std::string_view name);
/// Whether the text is an IPv4 address and a port other than 0.
[[nodiscard]] bool is_valid_address(std::string_view address);
/// Upper bound on the bytes that an update takes in a message.
[[nodiscard]] std::size_t encoded_size(const MemberUpdate& update);
/// Upper bound on the bytes that a message takes without its updates.
[[nodiscard]] std::size_t header_size(const Message& message, const std::string& cluster);

}  // namespace edge_proxy::membership
