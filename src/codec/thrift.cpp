// SPDX-License-Identifier: MIT
#include "codec/thrift.h"

#include <utility>

namespace edge_proxy::codec {
namespace {

enum Type : std::uint8_t {
  kStop = 0,
  kBool = 2,
  kByte = 3,
  kDouble = 4,
  kI16 = 6,
  kI32 = 8,
  kI64 = 10,
  kString = 11,
  kStruct = 12,
  kMap = 13,
  kSet = 14,
  kList = 15
};
constexpr std::uint32_t kStrictVersion = 0x80010000U;
constexpr int kMaxDepth = 16;
constexpr std::size_t kKeptFrame = 4 * 1024;  // room that an idle connection keeps

/// Reads from the front of a frame; any read past its end sets `failed` and yields zeros.
class Cursor {
 public:
  explicit Cursor(std::string_view bytes) : rest_(bytes) {}

  std::uint64_t big_endian(std::size_t width) {
    std::uint64_t value = 0;
    for (const char c : take(width)) value = (value << 8U) | static_cast<unsigned char>(c);
    return value;
  }
  std::uint8_t byte() { return static_cast<std::uint8_t>(big_endian(1)); }
  std::uint32_t u32() { return static_cast<std::uint32_t>(big_endian(4)); }
  std::string_view text() { return take(u32()); }
  std::string_view take(std::size_t size) {
    if (failed || size > rest_.size()) {
      failed = true;
      return {};
    }
    const std::string_view taken = rest_.substr(0, size);
    rest_.remove_prefix(size);
    return taken;
  }

  /// Passes over a value of any type. Each element takes a byte at least, so a frame bounds the work.
  void skip(std::uint8_t type, int depth) {
    // Guards against a frame of nested containers that would use up the stack.
    if (depth > kMaxDepth) too_deep = failed = true;
    if (failed) return;
    switch (type) {
      case kBool:
      case kByte:
        take(1);
        break;
      case kI16:
        take(2);
        break;
      case kI32:
        take(4);
        break;
      case kI64:
      case kDouble:
        take(8);
        break;
      case kString:
        text();
        break;
      case kStruct:
        while (!failed) {
          const std::uint8_t field = byte();
          if (failed || field == kStop) break;
          take(2);
          skip(field, depth + 1);
        }
        break;
      case kMap: {
        const std::uint8_t key = byte(), value = byte();
        for (std::uint32_t left = u32(); left > 0 && !failed; --left) {
          skip(key, depth + 1);
          skip(value, depth + 1);
        }
        break;
      }
      case kSet:
      case kList: {
        const std::uint8_t item = byte();
        for (std::uint32_t left = u32(); left > 0 && !failed; --left) skip(item, depth + 1);
        break;
      }
      default:
        bad_type = failed = true;
    }
  }

  bool failed = false, bad_type = false, too_deep = false;

 private:
  std::string_view rest_;
};

/// Goes through the fields of a struct; `field(id, type)` returns whether it has read the value.
template <typename Field>
void each_field(Cursor& in, Field&& field) {
  while (!in.failed) {
    const std::uint8_t type = in.byte();
    if (in.failed || type == kStop) return;
    const auto id = static_cast<std::int16_t>(in.big_endian(2));
    if (!in.failed && !field(id, type)) in.skip(type, 1);
  }
}

ProcessCall read_process(Cursor& in) {
  ProcessCall call;
  bool has_fields = false;
  each_field(in, [&](std::int16_t id, std::uint8_t type) {
    if (id == 2 && type == kString) {
      call.body = in.text();
      return true;
    }
    if (id != 1 || type != kMap) {
      call.is_readable = call.is_readable && id != 1 && id != 2;
      return false;
    }
    const std::uint8_t key = in.byte(), value = in.byte();
    std::uint32_t left = in.u32();
    const bool texts = left == 0 || (key == kString && value == kString);
    call.is_readable = call.is_readable && texts;
    has_fields = true;
    call.fields.clear();
    for (; left > 0 && !in.failed; --left) {
      if (texts) {
        std::string name(in.text());
        call.fields.emplace_back(std::move(name), in.text());
      } else {
        in.skip(key, 1);
        in.skip(value, 1);
      }
    }
    return true;
  });
  call.is_readable = call.is_readable && has_fields;
  return call;
}

class Writer {
 public:
  Writer(MessageType type, std::string_view method, std::int32_t seqid, std::size_t room) {
    out_.reserve(room + method.size() + 64);
    u32(0);  // the frame's length, set by done()
    u32(kStrictVersion | static_cast<std::uint32_t>(type));
    text(method);
    u32(static_cast<std::uint32_t>(seqid));
  }
  void field(std::uint8_t type, std::int16_t id) {
    byte(type);
    byte(static_cast<std::uint8_t>(static_cast<std::uint16_t>(id) >> 8U));
    byte(static_cast<std::uint8_t>(id));
  }
  void byte(std::uint8_t value) { out_.push_back(static_cast<char>(value)); }
  void u32(std::uint32_t value) {
    for (int shift = 24; shift >= 0; shift -= 8) byte(static_cast<std::uint8_t>(value >> shift));
  }
  void text(std::string_view value) {
    u32(static_cast<std::uint32_t>(value.size()));
    out_.append(value);
  }
  void map(const StringMap& values) {
    byte(kString);
    byte(kString);
    u32(static_cast<std::uint32_t>(values.size()));
    for (const auto& [name, value] : values) {
      text(name);
      text(value);
    }
  }
  std::string done() {
    const auto length = static_cast<std::uint32_t>(out_.size() - 4);
    for (int i = 0; i < 4; ++i)
      out_[static_cast<std::size_t>(i)] = static_cast<char>(length >> (24 - 8 * i) & 0xffU);
    return std::move(out_);
  }

 private:
  std::string out_;
};

}  // namespace

std::optional<std::string_view> FrameReader::next() {
  const std::string_view rest = std::string_view(buffer_).substr(consumed_);
  const auto wait = [this] {  // what is read is dropped once for many frames, not for each
    buffer_.erase(0, std::exchange(consumed_, 0));
    if (buffer_.empty() && buffer_.capacity() > kKeptFrame)
      std::string().swap(buffer_);  // guards the memory, over many clients
    return std::nullopt;
  };
  if (error_ != FrameError::none || rest.size() < 4) return wait();
  std::size_t length = 0;
  for (std::size_t i = 0; i < 4; ++i) length = length << 8U | static_cast<unsigned char>(rest[i]);
  // Guards against a peer that announces more than is ever sent: nothing of that size is waited for.
  if (length > kMaxFrame) {
    error_ = FrameError::too_large;
    return std::nullopt;
  }
  if (rest.size() < 4 + length) return wait();
  consumed_ += 4 + length;
  return rest.substr(4, length);
}

std::int32_t sequence_id_of(std::string_view frame) {
  Cursor in(frame);
  const bool strict = (in.u32() & 0xffff0000U) == kStrictVersion;
  in.text();
  const auto seqid = static_cast<std::int32_t>(in.u32());
  return strict && !in.failed ? seqid : 0;
}

std::variant<Message, MessageError> read_message(std::string_view frame) {
  Cursor in(frame);
  const std::uint32_t head = in.u32();
  if (in.failed) return MessageError::truncated;
  if ((head & 0xffff0000U) != kStrictVersion) return MessageError::not_strict;
  Message message;
  const std::uint32_t type = head & 0xffU;
  if (type != 1 && type != 4) return MessageError::bad_type;
  message.type = static_cast<MessageType>(type);
  const std::string_view method = in.text();
  message.sequence_id = static_cast<std::int32_t>(in.u32());
  if (in.failed) return MessageError::truncated;
  if (method == "process") {
    message.call = read_process(in);
  } else if (method == "giveUp") {
    CancelCall call;
    each_field(in, [&](std::int16_t id, std::uint8_t field) {
      if (id != 1 || field != kI32) return false;
      call.sequence_id = static_cast<std::int32_t>(in.u32());
      return true;
    });
    message.call = call;
  } else {
    in.skip(kStruct, 0);
    if (method == "probe") {
      message.call = PingCall{};
    } else {
      message.call = UnknownCall{std::string(method)};
    }
  }
  if (in.too_deep) return MessageError::too_deep;
  if (in.bad_type) return MessageError::bad_type;
  if (in.failed) return MessageError::truncated;
  return message;
}

std::string write_reply(std::int32_t sequence_id, std::string_view method, std::string_view body,
                        const StringMap& fields, bool is_good) {
  Writer out(MessageType::reply, method, sequence_id, body.size() + 128);
  out.field(kStruct, 0);
  out.field(kString, 1);
  out.text(body);
  out.field(kMap, 2);
  out.map(fields);
  out.field(kBool, 3);
  out.byte(is_good ? 1 : 0);
  out.byte(kStop);
  out.byte(kStop);
  return out.done();
}

std::string write_declared_exception(std::int32_t sequence_id, std::int16_t field, const StringMap& fields) {
  Writer out(MessageType::reply, "process", sequence_id, 64);
  out.field(kStruct, field);
  out.field(kMap, 1);
  out.map(fields);
  out.byte(kStop);
  out.byte(kStop);
  return out.done();
}

std::string write_application_exception(std::int32_t sequence_id, std::string_view method,
                                        ApplicationError error, std::string_view text) {
  Writer out(MessageType::exception, method, sequence_id, text.size() + 32);
  out.field(kString, 1);
  out.text(text);
  out.field(kI32, 2);
  out.u32(static_cast<std::uint32_t>(error));
  out.byte(kStop);
  return out.done();
}

}  // namespace edge_proxy::codec
