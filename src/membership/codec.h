// SPDX-License-Identifier: MIT
/// @file
/// Peers' messages to bytes and back, through Protocol Buffers. Every field is checked.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "membership/types.h"

namespace edge_proxy::membership {

/// Why bytes that came are no message for this proxy.
enum class DecodeError : std::uint8_t {
  malformed,
  oversized,
  checksum_mismatch,
  wrong_cluster,
  wrong_version,
  invalid_field
};
constexpr std::size_t kDecodeErrorCount = 6;
std::string_view name_of(DecodeError reason);

constexpr std::size_t kMaxNameBytes = 64;  ///< bytes, of names, addresses and clusters

std::string encode(const Message& message, const std::string& cluster);
/// `most`: bytes that it may have.
std::variant<Message, DecodeError> decode(std::string_view bytes, const std::string& cluster,
                                          std::size_t most);

/// Whether the text can name a member: 1 to kMaxName letters, digits, '-', '_' or '.'.
bool is_valid_name(std::string_view name);
/// Whether it is an IPv4 address and a port.
bool is_valid_address(std::string_view address);
/// Bytes that the item takes in a message, at most.
std::size_t encoded_size(const MemberUpdate& news);
/// Bytes that the message takes without its news, at most.
std::size_t header_size(const Message& message, const std::string& cluster);

}  // namespace edge_proxy::membership
