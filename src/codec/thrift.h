// SPDX-License-Identifier: MIT
/// @file
/// The part of Thrift's framed, strict binary protocol that the client service uses: decodes calls and
/// encodes replies and exceptions. Performs no I/O.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace edge_proxy::codec {

/// Largest frame that is accepted, in bytes. It exceeds the largest body of a write and its fields.
constexpr std::size_t kMaxFrame = 64 * 1024;

/// Reason why the stream cannot be split into frames any further.
enum class FrameError { none, too_large };

/// Splits a byte stream that arrives in pieces of any size into frames.
class FrameReader {
 public:
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  /// Returns the next complete frame, which stays valid until the next call; none if more bytes are needed or
  /// an error has occurred.
  std::optional<std::string_view> next();
  [[nodiscard]] FrameError error() const { return error_; }
  /// The bytes received of a frame that is incomplete or too large, without its length prefix.
  [[nodiscard]] std::string_view partial_frame() const {
    return std::string_view(buffer_).substr(std::min(buffer_.size(), consumed_ + 4));
  }
  /// Capacity of the buffer, in bytes.
  [[nodiscard]] std::size_t buffered_bytes() const { return buffer_.capacity(); }
  [[nodiscard]] bool has_partial_frame() const { return buffer_.size() > consumed_; }

 private:
  /// Discards the frames that were returned. It runs once for many frames, as each erase moves the remaining
  /// bytes.
  std::optional<std::string_view> wait_for_bytes();

  std::string buffer_;
  std::size_t consumed_ = 0;  // bytes at the front of `buffer_` that were returned as frames
  FrameError error_ = FrameError::none;
};

/// A string map in the order of the wire; a name may occur more than once.
using StringMap = std::vector<std::pair<std::string, std::string>>;

enum class MessageType : std::uint8_t { call = 1, reply = 2, exception = 3, oneway = 4 };

/// A request. Strings and body hold the bytes as received.
struct ProcessCall {
  StringMap fields;
  std::string body;
  bool is_readable = true;  ///< false: the arguments do not have the types of the service
};
/// Cancels the request with this sequence id on the same connection.
struct CancelCall {
  std::int32_t sequence_id = 0;
};
/// A readiness check by a client.
struct PingCall {};
/// A call of a method that the service does not have.
struct UnknownCall {
  std::string method;
};
/// One call with its sequence id, which the reply repeats.
struct Message {
  MessageType type = MessageType::call;
  std::int32_t sequence_id = 0;
  std::variant<UnknownCall, ProcessCall, CancelCall, PingCall> call;
};

/// Reason why a frame cannot be decoded as a message.
enum class MessageError { not_strict, truncated, bad_type, too_deep };

/// Returns the enumerator's name, for log lines.
[[nodiscard]] std::string_view name_of(MessageError error);

/// Returns the sequence id of the call at the beginning of a frame, which may be incomplete; 0 if the id
/// cannot be read.
[[nodiscard]] std::int32_t sequence_id_of(std::string_view frame);

/// Decodes the message in one frame. After an error the connection cannot be used any further.
[[nodiscard]] std::variant<Message, MessageError> read_message(std::string_view frame);

// Each of the following functions returns a complete frame.

/// Encodes the result of `process` or of the readiness check.
[[nodiscard]] std::string write_reply(std::int32_t sequence_id, std::string_view method,
                                      std::string_view body, const StringMap& fields, bool is_success);

/// Encodes a declared exception of `process`: `field` 1 is Trylater, 2 is Aborted.
[[nodiscard]] std::string write_declared_exception(std::int32_t sequence_id, std::int16_t field,
                                                   const StringMap& fields);

/// Types of Thrift's TApplicationException.
enum class ApplicationError : std::int32_t { unknown_method = 1, protocol_error = 7 };

/// Encodes an application exception, which reports a call that the service cannot execute.
[[nodiscard]] std::string write_application_exception(std::int32_t sequence_id, std::string_view method,
                                                      ApplicationError error, std::string_view text);

}  // namespace edge_proxy::codec
