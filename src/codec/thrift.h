// SPDX-License-Identifier: MIT
/// @file
/// Thrift's strict binary protocol in frames, as far as the service Front needs it. No I/O.
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

/// Largest frame that is taken in: a write's body and its fields, with ample room.
constexpr std::size_t kMaxFrame = 64 * 1024;

enum class FrameError { none, too_large };

/// Cuts a stream of bytes into frames, however it is split.
class FrameReader {
 public:
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  /// The next whole frame, valid until the next call; none where more bytes are needed or the stream broke.
  std::optional<std::string_view> next();
  [[nodiscard]] FrameError error() const { return error_; }
  /// What has come of a frame that is not whole, or is too large, after its length.
  [[nodiscard]] std::string_view partial_frame() const {
    return std::string_view(buffer_).substr(std::min(buffer_.size(), consumed_ + 4));
  }
  /// Bytes of memory held.
  [[nodiscard]] std::size_t buffered_bytes() const { return buffer_.capacity(); }
  [[nodiscard]] bool has_partial_frame() const { return buffer_.size() > consumed_; }

 private:
  std::string buffer_;
  std::size_t consumed_ = 0;
  FrameError error_ = FrameError::none;
};

using StringMap = std::vector<std::pair<std::string, std::string>>;

enum class MessageType : std::uint8_t { call = 1, reply = 2, exception = 3, oneway = 4 };

/// What a client calls. Text and bodies stay as the bytes that came.
struct ProcessCall {
  StringMap fields;
  std::string body;
  bool is_readable = true;  ///< false: its arguments have not the types of the service
};
struct CancelCall {
  std::int32_t sequence_id = 0;
};
struct PingCall {};
struct UnknownCall {
  std::string method;
};
struct Message {
  MessageType type = MessageType::call;
  std::int32_t sequence_id = 0;
  std::variant<UnknownCall, ProcessCall, CancelCall, PingCall> call;
};

enum class MessageError { not_strict, truncated, bad_type, too_deep };

/// The number of the call that a frame begins with, if that much of it can be read; else 0.
std::int32_t sequence_id_of(std::string_view frame);

/// Reads one frame. An error means that the frame is no message: the connection can't go on.
std::variant<Message, MessageError> read_message(std::string_view frame);

// Each returns a whole frame.
std::string write_reply(std::int32_t sequence_id, std::string_view method, std::string_view body,
                        const StringMap& fields, bool is_good);
/// A declared exception of `process`: `field` 1 is Trylater, 2 is Aborted.
std::string write_declared_exception(std::int32_t sequence_id, std::int16_t field, const StringMap& fields);
enum class ApplicationError : std::int32_t { unknown_method = 1, protocol_error = 7 };
std::string write_application_exception(std::int32_t sequence_id, std::string_view method,
                                        ApplicationError error, std::string_view text);

}  // namespace edge_proxy::codec
