// SPDX-License-Identifier: MIT
/// @file
/// Thrift's strict binary protocol in frames, as far as the clients' service needs it: calls are read,
/// replies and exceptions are written. No I/O.
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

/// Largest frame that is accepted, in bytes: a write's body and its fields, with ample room.
constexpr std::size_t kMaxFrame = 64 * 1024;

/// Why a stream can't be cut into frames any more.
enum class FrameError { none, too_large };

/// Cuts a stream of bytes into frames, however it is split.
class FrameReader {
 public:
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  /// The next complete frame, valid until the next call; none where more bytes are needed or after an error.
  std::optional<std::string_view> next();
  [[nodiscard]] FrameError error() const { return error_; }
  /// The bytes received of a frame that is incomplete, or is too large, after its length.
  [[nodiscard]] std::string_view partial_frame() const {
    return std::string_view(buffer_).substr(std::min(buffer_.size(), consumed_ + 4));
  }
  /// Capacity of the buffer, in bytes.
  [[nodiscard]] std::size_t buffered_bytes() const { return buffer_.capacity(); }
  [[nodiscard]] bool has_partial_frame() const { return buffer_.size() > consumed_; }

 private:
  /// Drops the frames that were read: once for many of them, since each erase moves the rest.
  std::optional<std::string_view> wait_for_bytes();

  std::string buffer_;
  std::size_t consumed_ = 0;  // bytes of `buffer_` that were returned as frames
  FrameError error_ = FrameError::none;
};

/// A map of strings in the order on the wire; a name may stand more than once.
using StringMap = std::vector<std::pair<std::string, std::string>>;

enum class MessageType : std::uint8_t { call = 1, reply = 2, exception = 3, oneway = 4 };

/// A request. Texts and body are the bytes as received.
struct ProcessCall {
  StringMap fields;
  std::string body;
  bool is_readable = true;  ///< false: its arguments have not the types of the service
};
/// Cancels the request with this sequence id on the same connection.
struct CancelCall {
  std::int32_t sequence_id = 0;
};
/// A readiness check of the client.
struct PingCall {};
/// A method that the service does not have.
struct UnknownCall {
  std::string method;
};
/// One call with its sequence id, which its reply repeats.
struct Message {
  MessageType type = MessageType::call;
  std::int32_t sequence_id = 0;
  std::variant<UnknownCall, ProcessCall, CancelCall, PingCall> call;
};

/// Why a frame is no message.
enum class MessageError { not_strict, truncated, bad_type, too_deep };

/// The error's name, for log lines.
[[nodiscard]] std::string_view name_of(MessageError error);

/// The sequence id of the call that a frame begins with, if that much of it can be read; else 0.
[[nodiscard]] std::int32_t sequence_id_of(std::string_view frame);

/// Reads one frame. After an error the connection can't be used further.
[[nodiscard]] std::variant<Message, MessageError> read_message(std::string_view frame);

// The writers return a complete frame each.

/// The result of `process` or of the readiness check.
[[nodiscard]] std::string write_reply(std::int32_t sequence_id, std::string_view method,
                                      std::string_view body, const StringMap& fields, bool is_success);

/// A declared exception of `process`: `field` 1 is Trylater, 2 is Aborted.
[[nodiscard]] std::string write_declared_exception(std::int32_t sequence_id, std::int16_t field,
                                                   const StringMap& fields);

/// Thrift's own exceptions (TApplicationException).
enum class ApplicationError : std::int32_t { unknown_method = 1, protocol_error = 7 };

/// An application exception: the call is not one that the service can carry out.
[[nodiscard]] std::string write_application_exception(std::int32_t sequence_id, std::string_view method,
                                                      ApplicationError error, std::string_view text);

}  // namespace edge_proxy::codec
