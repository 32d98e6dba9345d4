// SPDX-License-Identifier: MIT
#include "codec/thrift.h"

#include <utility>

namespace edge_proxy::codec {
namespace {

/// Type byte in front of each field and of the elements of each container.
enum class TypeByte : std::uint8_t {
  stop = 0,  // end of the fields of a struct
  boolean = 2,
  byte = 3,
  floating = 4,
  i16 = 6,
  i32 = 8,
  i64 = 10,
  string = 11,
  structure = 12,
  map = 13,
  set = 14,
  list = 15
};

constexpr std::uint32_t kStrictVersion = 0x80010000U;
constexpr std::uint32_t kVersionMask = 0xffff0000U;
constexpr std::uint32_t kMessageTypeMask = 0xffU;
constexpr int kByteBits = 8;
constexpr int kTopByteShift = 24;  // shift of the top byte of 32 bits
constexpr std::size_t kFrameLengthBytes = 4;
constexpr std::size_t kMaxMapEntries = 64;        // of a call; the service has about ten fields
constexpr int kMaxDepth = 16;                     // nesting depth of containers
constexpr std::size_t kMaxIdleBuffer = 1024;      // buffer capacity that an idle connection keeps, in bytes
constexpr std::size_t kMaxUnusedBufferRatio = 4;  // of the capacity to the bytes of an incomplete frame
constexpr std::size_t kHeaderReserveBytes = 64;   // reserved for the message header and field headers

// Method names of the service, and the field ids of their arguments and results.
constexpr std::string_view kProcessMethod = "process";
constexpr std::string_view kCancelMethod = "giveUp";
constexpr std::string_view kPingMethod = "probe";
constexpr std::int16_t kProcessFieldsId = 1;
constexpr std::int16_t kProcessBodyId = 2;
constexpr std::int16_t kCancelSequenceId = 1;
constexpr std::int16_t kResultId = 0;
constexpr std::int16_t kReplyBodyId = 1;
constexpr std::int16_t kReplyFieldsId = 2;
constexpr std::int16_t kReplyIsSuccessId = 3;
constexpr std::int16_t kDeclaredExceptionFieldsId = 1;
constexpr std::int16_t kApplicationExceptionTextId = 1;
constexpr std::int16_t kApplicationExceptionErrorId = 2;

/// Reads values from the front of a frame. A read past the end of the frame sets the error; every later read
/// returns zero or an empty string.
class Cursor {
 public:
  explicit Cursor(std::string_view bytes) : rest_(bytes) {}

  /// Reason of the first failed read; none if no read has failed.
  [[nodiscard]] std::optional<MessageError> error() const { return error_; }
  [[nodiscard]] bool failed() const { return error_.has_value(); }

  std::uint64_t big_endian(std::size_t width) {
    std::uint64_t value = 0;
    for (const char byte : take(width)) value = (value << 8U) | static_cast<unsigned char>(byte);
    return value;
  }
  TypeByte type() { return static_cast<TypeByte>(big_endian(1)); }
  std::int16_t i16() { return static_cast<std::int16_t>(big_endian(sizeof(std::int16_t))); }
  std::uint32_t u32() { return static_cast<std::uint32_t>(big_endian(sizeof(std::uint32_t))); }
  std::int32_t i32() { return static_cast<std::int32_t>(u32()); }
  /// Reads a length-prefixed string.
  std::string_view text() { return take(u32()); }
  std::string_view take(std::size_t size) {
    if (failed()) return {};
    if (size > rest_.size()) {
      error_ = MessageError::truncated;
      return {};
    }
    const std::string_view taken = rest_.substr(0, size);
    rest_.remove_prefix(size);
    return taken;
  }

  /// Skips a value of any type. Each element takes at least one byte, so the frame's size bounds the work.
  void skip(TypeByte type, int depth) {
    // Keeps deeply nested containers from overflowing the stack. This error takes precedence over
    // `truncated` if the frame ends at that depth.
    if (depth > kMaxDepth) error_ = MessageError::too_deep;
    if (failed()) return;
    switch (type) {
      case TypeByte::boolean:
      case TypeByte::byte:
        take(sizeof(std::int8_t));
        break;
      case TypeByte::i16:
        take(sizeof(std::int16_t));
        break;
      case TypeByte::i32:
        take(sizeof(std::int32_t));
        break;
      case TypeByte::i64:
      case TypeByte::floating:
        take(sizeof(std::int64_t));
        break;
      case TypeByte::string:
        text();
        break;
      case TypeByte::structure:
        skip_struct(depth);
        break;
      case TypeByte::map:
        skip_map(depth);
        break;
      case TypeByte::set:
      case TypeByte::list:
        skip_list(depth);
        break;
      default:
        error_ = MessageError::bad_type;
    }
  }

 private:
  void skip_struct(int depth) {
    while (!failed()) {
      const TypeByte field_type = type();
      if (failed() || field_type == TypeByte::stop) return;
      take(sizeof(std::int16_t));
      skip(field_type, depth + 1);
    }
  }

  void skip_map(int depth) {
    const TypeByte key_type = type();
    const TypeByte value_type = type();
    for (std::uint32_t remaining = u32(); remaining > 0 && !failed(); --remaining) {
      skip(key_type, depth + 1);
      skip(value_type, depth + 1);
    }
  }

  void skip_list(int depth) {
    const TypeByte element_type = type();
    for (std::uint32_t remaining = u32(); remaining > 0 && !failed(); --remaining) {
      skip(element_type, depth + 1);
    }
  }

  std::string_view rest_;
  std::optional<MessageError> error_;
};

/// Iterates over the fields of a struct. `read_field(id, type)` returns true if it has read the field's
/// value; otherwise the value is skipped.
template <typename ReadField>
void for_each_field(Cursor& cursor, ReadField&& read_field) {
  while (!cursor.failed()) {
    const TypeByte type = cursor.type();
    if (cursor.failed() || type == TypeByte::stop) return;
    const std::int16_t id = cursor.i16();
    if (!cursor.failed() && !read_field(id, type)) cursor.skip(type, 1);
  }
}

/// Reads the map argument of `process` into `fields`. Returns false, and skips the map, if its keys or values
/// are not strings or if it has too many entries.
bool read_string_map(Cursor& cursor, StringMap& fields) {
  const TypeByte key_type = cursor.type();
  const TypeByte value_type = cursor.type();
  std::uint32_t remaining = cursor.u32();
  const bool holds_strings =
      remaining == 0 || (key_type == TypeByte::string && value_type == TypeByte::string);
  const bool is_readable = holds_strings && remaining <= kMaxMapEntries;
  fields.clear();
  for (; remaining > 0 && !cursor.failed(); --remaining) {
    if (is_readable) {
      std::string name(cursor.text());
      fields.emplace_back(std::move(name), cursor.text());
    } else {
      cursor.skip(key_type, 1);
      cursor.skip(value_type, 1);
    }
  }
  return is_readable;
}

ProcessCall read_process(Cursor& cursor) {
  ProcessCall call;
  bool has_fields = false;
  for_each_field(cursor, [&](std::int16_t id, TypeByte type) {
    if (id == kProcessBodyId && type == TypeByte::string) {
      call.body = cursor.text();
      return true;
    }
    if (id == kProcessFieldsId && type == TypeByte::map) {
      if (!read_string_map(cursor, call.fields)) call.is_readable = false;
      has_fields = true;
      return true;
    }
    if (id == kProcessFieldsId || id == kProcessBodyId) call.is_readable = false;
    return false;
  });
  call.is_readable = call.is_readable && has_fields;
  return call;
}

CancelCall read_cancel(Cursor& cursor) {
  CancelCall call;
  for_each_field(cursor, [&](std::int16_t id, TypeByte type) {
    if (id != kCancelSequenceId || type != TypeByte::i32) return false;
    call.sequence_id = cursor.i32();
    return true;
  });
  return call;
}

std::variant<UnknownCall, ProcessCall, CancelCall, PingCall> read_call(Cursor& cursor,
                                                                       std::string_view method) {
  if (method == kProcessMethod) return read_process(cursor);
  if (method == kCancelMethod) return read_cancel(cursor);
  cursor.skip(TypeByte::structure, 0);
  if (method == kPingMethod) return PingCall{};
  return UnknownCall{std::string(method)};
}

/// Encodes one message into a frame.
class Writer {
 public:
  /// `body_size`: number of bytes expected after the header; reserves memory for them.
  Writer(MessageType type, std::string_view method, std::int32_t sequence_id, std::size_t body_size) {
    frame_.reserve(body_size + method.size() + kHeaderReserveBytes);
    u32(0);  // placeholder of the frame's length, set by finish()
    u32(kStrictVersion | static_cast<std::uint32_t>(type));
    text(method);
    u32(static_cast<std::uint32_t>(sequence_id));
  }
  void field(TypeByte type, std::int16_t id) {
    this->type(type);
    byte(static_cast<std::uint8_t>(static_cast<std::uint16_t>(id) >> 8U));
    byte(static_cast<std::uint8_t>(id));
  }
  void stop() { type(TypeByte::stop); }
  void type(TypeByte value) { byte(static_cast<std::uint8_t>(value)); }
  void byte(std::uint8_t value) { frame_.push_back(static_cast<char>(value)); }
  void u32(std::uint32_t value) {
    for (int shift = kTopByteShift; shift >= 0; shift -= kByteBits) {
      byte(static_cast<std::uint8_t>(value >> shift));
    }
  }
  void text(std::string_view value) {
    u32(static_cast<std::uint32_t>(value.size()));
    frame_.append(value);
  }
  void map(const StringMap& values) {
    type(TypeByte::string);
    type(TypeByte::string);
    u32(static_cast<std::uint32_t>(values.size()));
    for (const auto& [name, value] : values) {
      text(name);
      text(value);
    }
  }
  /// Sets the length prefix and returns the frame.
  std::string finish() {
    const auto length = static_cast<std::uint32_t>(frame_.size() - kFrameLengthBytes);
    for (std::size_t i = 0; i < kFrameLengthBytes; ++i) {
      const auto shift = kByteBits * (kFrameLengthBytes - 1 - i);
      frame_[i] = static_cast<char>(length >> shift);
    }
    return std::move(frame_);
  }

 private:
  std::string frame_;
};

}  // namespace

std::optional<std::string_view> FrameReader::wait_for_bytes() {
  buffer_.erase(0, std::exchange(consumed_, 0));
  // Releases the buffer's memory after a large frame, so that many connections do not each keep a large
  // buffer for a few bytes.
  const bool is_mostly_unused = buffer_.size() < buffer_.capacity() / kMaxUnusedBufferRatio;
  if (is_mostly_unused && buffer_.capacity() > kMaxIdleBuffer) buffer_.shrink_to_fit();
  return std::nullopt;
}

std::optional<std::string_view> FrameReader::next() {
  const std::string_view rest = std::string_view(buffer_).substr(consumed_);
  if (error_ != FrameError::none || rest.size() < kFrameLengthBytes) return wait_for_bytes();
  std::size_t length = 0;
  for (std::size_t i = 0; i < kFrameLengthBytes; ++i) {
    length = length << 8U | static_cast<unsigned char>(rest[i]);
  }
  // Rejects an excessive announced length at once, as the client may never send that many bytes.
  if (length > kMaxFrame) {
    error_ = FrameError::too_large;
    return std::nullopt;
  }
  if (rest.size() < kFrameLengthBytes + length) return wait_for_bytes();
  consumed_ += kFrameLengthBytes + length;
  return rest.substr(kFrameLengthBytes, length);
}

std::string_view name_of(MessageError error) {
  switch (error) {
    case MessageError::not_strict:
      return "not_strict";
    case MessageError::truncated:
      return "truncated";
    case MessageError::bad_type:
      return "bad_type";
    case MessageError::too_deep:
      return "too_deep";
  }
  return "unknown";
}

std::int32_t sequence_id_of(std::string_view frame) {
  Cursor cursor(frame);
  const bool is_strict = (cursor.u32() & kVersionMask) == kStrictVersion;
  cursor.text();
  const std::int32_t sequence_id = cursor.i32();
  return is_strict && !cursor.failed() ? sequence_id : 0;
}

std::variant<Message, MessageError> read_message(std::string_view frame) {
  Cursor cursor(frame);
  const std::uint32_t version_and_type = cursor.u32();
  if (cursor.failed()) return MessageError::truncated;
  if ((version_and_type & kVersionMask) != kStrictVersion) return MessageError::not_strict;
  const auto type = static_cast<MessageType>(version_and_type & kMessageTypeMask);
  if (type != MessageType::call && type != MessageType::oneway) return MessageError::bad_type;
  Message message;
  message.type = type;
  const std::string_view method = cursor.text();
  message.sequence_id = cursor.i32();
  if (cursor.failed()) return MessageError::truncated;
  message.call = read_call(cursor, method);
  if (cursor.error()) return *cursor.error();
  return message;
}

std::string write_reply(std::int32_t sequence_id, std::string_view method, std::string_view body,
                        const StringMap& fields, bool is_success) {
  constexpr std::size_t kFieldsReserveBytes = 128;
  Writer writer(MessageType::reply, method, sequence_id, body.size() + kFieldsReserveBytes);
  writer.field(TypeByte::structure, kResultId);
  writer.field(TypeByte::string, kReplyBodyId);
  writer.text(body);
  writer.field(TypeByte::map, kReplyFieldsId);
  writer.map(fields);
  writer.field(TypeByte::boolean, kReplyIsSuccessId);
  writer.byte(is_success ? 1 : 0);
  writer.stop();
  writer.stop();
  return writer.finish();
}

std::string write_declared_exception(std::int32_t sequence_id, std::int16_t field, const StringMap& fields) {
  constexpr std::size_t kFieldsReserveBytes = 64;
  Writer writer(MessageType::reply, kProcessMethod, sequence_id, kFieldsReserveBytes);
  writer.field(TypeByte::structure, field);
  writer.field(TypeByte::map, kDeclaredExceptionFieldsId);
  writer.map(fields);
  writer.stop();
  writer.stop();
  return writer.finish();
}

std::string write_application_exception(std::int32_t sequence_id, std::string_view method,
                                        ApplicationError error, std::string_view text) {
  constexpr std::size_t kFieldsReserveBytes = 32;
  Writer writer(MessageType::exception, method, sequence_id, text.size() + kFieldsReserveBytes);
  writer.field(TypeByte::string, kApplicationExceptionTextId);
  writer.text(text);
  writer.field(TypeByte::i32, kApplicationExceptionErrorId);
  writer.u32(static_cast<std::uint32_t>(error));
  writer.stop();
  return writer.finish();
}

}  // namespace edge_proxy::codec
