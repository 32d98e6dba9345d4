// SPDX-License-Identifier: MIT
/// @file
/// Golden records of the codecs. They hold the bytes that each codec writes and the values that it reads from
/// whole, split, truncated and damaged input. Labels are literals, so that renaming a type or a member does
/// not change a record.
#include <gtest/gtest.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "codec/cache_lines.h"
#include "codec/discovery_events.h"
#include "codec/event_stream.h"
#include "codec/http_call.h"
#include "codec/thrift.h"
#include "config/config.h"
#include "config/settings_reader.h"
#include "consensus.pb.h"
#include "consensus/codec.h"
#include "golden/golden_record.h"
#include "membership/codec.h"
#include "simulator/session.h"

namespace edge_proxy::test {
namespace {

using golden::exact;
using golden::GoldenRecord;
using Lines = std::vector<std::string>;

/// Builds one line of a record from a kind and labelled values.
class Line {
 public:
  explicit Line(std::string_view kind) : text_(kind) {}
  Line& bytes(const char* label, std::string_view value) {
    return put(label, "\"" + golden::quoted(value) + "\"");
  }
  Line& flag(const char* label, bool value) { return put(label, value ? "yes" : "no"); }
  template <typename Number>
  Line& integer(const char* label, Number value) {
    return put(label, std::to_string(value));
  }
  Line& real(const char* label, double value) { return put(label, exact(value)); }
  Line& time(const char* label, std::chrono::microseconds value) { return integer(label, value.count()); }
  Line& word(const char* label, const char* value) { return put(label, value); }
  [[nodiscard]] const std::string& text() const { return text_; }

 private:
  Line& put(const char* label, const std::string& value) {
    text_.append(" ").append(label).append("=").append(value);
    return *this;
  }
  std::string text_;
};

/// Each input is read whole, byte by byte and in pieces of seven bytes.
constexpr std::array<std::size_t, 3> kPieceSizes{1U << 30U, 1, 7};

template <typename Read>
void record_split_input(GoldenRecord& record, const std::string& name, std::string_view bytes,
                        const Read& read) {
  for (const std::size_t piece_size : kPieceSizes) {
    Lines pieces;
    for (std::string_view rest = bytes; !rest.empty(); rest.remove_prefix(std::min(piece_size, rest.size())))
      pieces.emplace_back(rest.substr(0, piece_size));
    record.add(name +
               (piece_size == kPieceSizes[0] ? " whole" : " in pieces of " + std::to_string(piece_size)));
    for (const std::string& line : read(pieces)) record.add("  " + line);
  }
}

/// Records what `read` returns for every prefix of the bytes, and for the bytes with the lowest or the
/// highest bit of one byte inverted.
template <typename Read>
void record_damage(GoldenRecord& record, const std::string& name, const std::string& bytes,
                   const Read& read) {
  for (std::size_t size = 0; size < bytes.size(); ++size)
    record.add(name + " first " + std::to_string(size) + ": " + read(bytes.substr(0, size)));
  for (std::size_t index = 0; index < bytes.size(); ++index) {
    for (const unsigned mask : {0x01U, 0x80U}) {
      std::string damaged = bytes;
      damaged[index] = static_cast<char>(static_cast<unsigned char>(damaged[index]) ^ mask);
      record.add(name + " byte " + std::to_string(index) + " xor " + std::to_string(mask) + ": " +
                 read(damaged));
    }
  }
}

// ---- Thrift ----

std::string big_endian(std::uint64_t value, int width) {
  std::string bytes;
  for (int index = width - 1; index >= 0; --index) bytes.push_back(static_cast<char>(value >> (8 * index)));
  return bytes;
}
std::string thrift_text(std::string_view text) { return big_endian(text.size(), 4).append(text); }
std::string thrift_field(int type, int id) {
  return big_endian(static_cast<std::uint64_t>(type), 1) + big_endian(static_cast<std::uint64_t>(id), 2);
}
std::string thrift_call(int type, std::string_view method, std::uint32_t seqid,
                        const std::string& arguments) {
  return big_endian(0x80010000U | static_cast<unsigned>(type), 4) + thrift_text(method) +
         big_endian(seqid, 4) + arguments;
}
std::string thrift_frame(const std::string& message) { return big_endian(message.size(), 4) + message; }

std::string process_arguments() {
  return thrift_field(13, 1) + "\x0b\x0b" + big_endian(2, 4) + thrift_text("id") + thrift_text("r-1") +
         thrift_text("file") + thrift_text("00\xff") + thrift_field(11, 2) +
         thrift_text(std::string("bo\0dy", 5)) + std::string(1, '\0');
}

const char* name_of_message_error(codec::MessageError error) {
  switch (error) {
    case codec::MessageError::not_strict:
      return "not_strict";
    case codec::MessageError::truncated:
      return "cut_short";
    case codec::MessageError::bad_type:
      return "bad_type";
    case codec::MessageError::too_deep:
      return "too_deep";
  }
  return "?";
}

const char* name_of_message_type(codec::MessageType type) {
  switch (type) {
    case codec::MessageType::call:
      return "call";
    case codec::MessageType::reply:
      return "reply";
    case codec::MessageType::exception:
      return "exception";
    case codec::MessageType::oneway:
      return "oneway";
  }
  return "?";
}

std::string thrift_read(const std::string& frame) {
  const auto read = codec::read_message(frame);
  Line line("read");
  line.integer("seqid_of_frame", codec::sequence_id_of(frame));
  if (const auto* error = std::get_if<codec::MessageError>(&read))
    return line.word("error", name_of_message_error(*error)).text();
  const auto& message = std::get<codec::Message>(read);
  line.word("type", name_of_message_type(message.type)).integer("seqid", message.sequence_id);
  if (const auto* object = std::get_if<codec::ProcessCall>(&message.call)) {
    line.word("method", "object_request").flag("readable", object->is_readable).bytes("body", object->body);
    for (const auto& [key, value] : object->fields) line.bytes("key", key).bytes("value", value);
  } else if (const auto* cancel = std::get_if<codec::CancelCall>(&message.call)) {
    line.word("method", "cancel_request").integer("cancelled_seqid", cancel->sequence_id);
  } else if (std::holds_alternative<codec::PingCall>(message.call)) {
    line.word("method", "readiness_check");
  } else {
    line.word("method", "unknown").bytes("name", std::get<codec::UnknownCall>(message.call).method);
  }
  return line.text();
}

TEST(GoldenCodec, ThriftWriterMatchesRecord) {
  GoldenRecord record("codec_thrift_written");
  const codec::StringMap fields{{"how", "cached"}, {"", ""}, {"x", std::string("\0\x01", 2)}};
  for (const bool success : {true, false}) {
    record.add(golden::quoted(codec::write_reply(7, "process", "body", fields, success)));
    record.add(golden::quoted(codec::write_reply(-1, "probe", "", {}, success)));
  }
  record.add(golden::quoted(codec::write_declared_exception(8, 1, {{"not_before_ms", "250"}})));
  record.add(golden::quoted(codec::write_declared_exception(9, 2, {})));
  record.add(golden::quoted(codec::write_application_exception(
      10, "dance", codec::ApplicationError::unknown_method, "unknown method")));
  record.add(golden::quoted(codec::write_application_exception(
      11, "process", codec::ApplicationError::protocol_error, "protocol error")));
  record.check();
}

TEST(GoldenCodec, ThriftReaderMatchesRecord) {
  GoldenRecord record("codec_thrift_read");
  const std::string stop(1, '\0');
  const std::string process = thrift_call(1, "process", 0x01020304, process_arguments());
  const std::string cancel = thrift_call(4, "giveUp", 6, thrift_field(8, 1) + big_endian(77, 4) + stop);
  const std::string nested = thrift_field(12, 3) + thrift_field(15, 1) + "\x08" + big_endian(1, 4) +
                             big_endian(5, 4) + thrift_field(4, 2) + big_endian(1, 8) + stop + stop;
  std::string deep = thrift_field(12, 3);
  for (int level = 0; level < 20; ++level) deep += thrift_field(12, 1);
  const Lines messages{
      process,
      cancel,
      thrift_call(1, "probe", 5, stop),
      thrift_call(1, "dance", 0xffffffffU, nested),
      thrift_call(1, "process", 1, nested),
      thrift_call(1, "process", 1, deep),
      thrift_call(1, "process", 1, thrift_field(8, 1) + big_endian(1, 4) + stop),
      thrift_call(
          1, "process", 1,
          thrift_field(13, 1) + "\x0b\x08" + big_endian(1, 4) + thrift_text("n") + big_endian(1, 4) + stop),
      thrift_call(1, "process", 1, thrift_field(13, 1) + "\x0b\x0b" + big_endian(0xffffffffU, 4) + stop),
      thrift_call(1, "giveUp", 1, thrift_field(11, 1) + thrift_text("x") + stop),
      thrift_call(1, "giveUp", 1, thrift_field(1, 1) + stop),
      thrift_call(2, "process", 1, stop),
      thrift_call(3, "process", 1, stop),
      thrift_call(1, "process", 1, stop) + "more"};
  for (const std::string& message : messages)
    record.add(golden::quoted(message) + " -> " + thrift_read(message));
  record_damage(record, "process", process, thrift_read);
  record_damage(record, "cancel", cancel, thrift_read);
  record.check();
}

TEST(GoldenCodec, ThriftFrameReaderMatchesRecord) {
  GoldenRecord record("codec_thrift_frames");
  const auto read = [](const Lines& pieces) {
    codec::FrameReader reader;
    Lines lines;
    for (const std::string& piece : pieces) {
      reader.feed(piece);
      while (const auto frame = reader.next()) lines.push_back(Line("frame").bytes("bytes", *frame).text());
    }
    const bool too_large = reader.error() == codec::FrameError::too_large;
    lines.push_back(Line("end")
                        .word("error", too_large ? "too_large" : "none")
                        .flag("incomplete", reader.has_partial_frame())
                        .bytes("rest", reader.partial_frame())
                        .text());
    return lines;
  };
  const std::string good = thrift_frame("one") + thrift_frame("") + thrift_frame("three");
  record_split_input(record, "good", good, read);
  record_split_input(record, "cut short", good.substr(0, good.size() - 2), read);
  record_split_input(record, "half a length", good + std::string(2, '\0'), read);
  record_split_input(record, "too large", thrift_frame("a") + big_endian(codec::kMaxFrame + 1, 4) + "rest",
                     read);
  record_split_input(record, "largest", big_endian(codec::kMaxFrame, 4) + "rest", read);
  record.check();
}

// ---- Cache lines ----

const char* name_of_cache_status(codec::CacheResponseStatus status) {
  switch (status) {
    case codec::CacheResponseStatus::hit:
      return "hit";
    case codec::CacheResponseStatus::not_modified:
      return "valid";
    case codec::CacheResponseStatus::not_found:
      return "none";
    case codec::CacheResponseStatus::shed:
      return "shed";
    case codec::CacheResponseStatus::fault:
      return "fault";
    case codec::CacheResponseStatus::expired:
      return "late";
    case codec::CacheResponseStatus::healthy:
      return "pong";
    case codec::CacheResponseStatus::unhealthy:
      return "sick";
  }
  return "?";
}

const char* name_of_line_error(codec::LineError error) {
  switch (error) {
    case codec::LineError::none:
      return "none";
    case codec::LineError::line_too_long:
      return "line_too_long";
    case codec::LineError::not_a_response:
      return "not_an_answer";
    case codec::LineError::unknown_word:
      return "unknown_word";
    case codec::LineError::body_too_long:
      return "body_too_long";
    case codec::LineError::body_not_terminated:
      return "body_not_ended";
  }
  return "?";
}

Lines cache_lines_read(const Lines& pieces) {
  codec::CacheResponseReader reader;
  Lines lines;
  for (const std::string& piece : pieces) {
    reader.feed(piece);
    while (const auto answer = reader.next()) {
      lines.push_back(Line("response")
                          .bytes("id", answer->id)
                          .word("status", name_of_cache_status(answer->status))
                          .bytes("fields", answer->fields)
                          .bytes("body", answer->body)
                          .text());
    }
  }
  lines.push_back(Line("end").word("error", name_of_line_error(reader.error())).text());
  return lines;
}

TEST(GoldenCodec, CacheLinesMatchRecord) {
  GoldenRecord record("codec_cache_lines");
  codec::FieldList fields;
  record.add(golden::quoted(codec::write_request("1", fields, "")));
  fields.add("part", "0");
  record.add(golden::quoted(codec::write_request("2", fields, std::string("a\r\n\0b", 5))));
  fields.add("empty", "");
  record.add(golden::quoted(codec::write_request("3", fields, std::string(300, 'x'))));
  record.add(golden::quoted(codec::write_cancel("4")));
  record.add(golden::quoted(codec::write_health_check("t5")));
  for (const char* list : {"a=1,bb=2,b=3", "", "-", "a", "a=", "=1", "b=1,b=2", ",,b=9"}) {
    for (const char* name : {"a", "b", "bb", ""}) {
      const auto value = codec::field_in(list, name);
      record.add(Line("field")
                     .bytes("list", list)
                     .bytes("name", name)
                     .flag("found", value.has_value())
                     .bytes("value", value.value_or(""))
                     .text());
    }
  }
  std::string all;
  for (const char* word : {"HIT", "VALID", "NONE", "SHED", "FAULT", "LATE", "PONG", "SICK"})
    all += std::string("id-") + word + " " + word + " how=x,age=3 4\r\nab\r\n\r\n";
  record_split_input(record, "every status", all, cache_lines_read);
  const std::string good = "7 HIT - 0\r\n\r\n";
  for (const std::string& bad :
       {std::string("8 HIT - 3\r\nabcd\r\n"), std::string("8 DANCE - 0\r\n\r\n"),
        std::string("8 HIT - x\r\n\r\n"), std::string("8 HIT -\r\n\r\n"),
        std::string("8 HIT - 0 more\r\n\r\n"), std::string(" HIT - 0\r\n\r\n"),
        std::string("8 HIT - -1\r\n\r\n"), std::string("8 HIT - 0\n\n"), std::string("8 hit - 0\r\n\r\n"),
        "8 HIT - " + std::to_string(codec::kMaxBody + 1) + "\r\n", std::string(codec::kMaxLine + 10, 'a')})
    record_split_input(record, "bad " + golden::quoted(bad.substr(0, 40)), good + bad + good,
                       cache_lines_read);
  const auto joined = [](const std::string& bytes) {
    std::string text;
    for (const std::string& line : cache_lines_read({bytes})) text += line + "; ";
    return text;
  };
  record_damage(record, "damaged", "9 VALID how=own 3\r\nabc\r\n", joined);
  record.check();
}

// ---- Event stream ----

const char* name_of_stream_error(codec::StreamError error) {
  switch (error) {
    case codec::StreamError::none:
      return "none";
    case codec::StreamError::head_too_long:
      return "head_too_long";
    case codec::StreamError::not_ok:
      return "not_ok";
    case codec::StreamError::bad_chunk:
      return "bad_chunk";
    case codec::StreamError::event_too_long:
      return "event_too_long";
  }
  return "?";
}

Lines event_stream_read(const Lines& pieces) {
  codec::EventStreamReader reader;
  Lines lines;
  for (const std::string& piece : pieces) {
    reader.feed(piece);
    while (const auto event = reader.next())
      lines.push_back(Line("event").bytes("id", event->id).bytes("data", event->data).text());
  }
  lines.push_back(Line("end")
                      .word("error", name_of_stream_error(reader.error()))
                      .integer("lines_read", reader.lines())
                      .text());
  return lines;
}

TEST(GoldenCodec, EventStreamMatchesRecord) {
  GoldenRecord record("codec_event_stream");
  record.add(golden::quoted(codec::write_stream_request("10.2.0.1:9092", "/v1/stream", "41")));
  record.add(golden::quoted(codec::write_stream_request("h:1", "/", "")));
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
  const std::string events =
      ":hello\n\nid: 1\ndata: one\n\nid:2\r\ndata:two\r\ndata: and more\r\n\r\nevent: odd\nid: "
      "3\n\ndata\n\nid\ndata: "
      "\n\ndata: unfinished";
  record_split_input(record, "plain", head + "\r\n" + events, event_stream_read);
  std::ostringstream chunks;
  for (std::size_t at = 0; at < events.size(); at += 10) {
    const std::string chunk = events.substr(at, 10);
    chunks << std::hex << chunk.size() << (at % 20 == 0 ? ";x=y" : "") << "\r\n" << chunk << "\r\n";
  }
  const std::string chunked = head + "Transfer-Encoding: Chunked\r\n\r\n";
  record_split_input(record, "chunked", chunked + chunks.str(), event_stream_read);
  record_split_input(record, "last chunk", chunked + "5\r\n:a\n\n\n\r\n0\r\n\r\n", event_stream_read);
  for (const char* bad : {"x\r\n", "3\r\nabcd\r\n", "100001\r\n", "3 \r\nabc\r\n", "\r\n"})
    record_split_input(record, std::string("bad chunk ") + golden::quoted(bad), chunked + bad,
                       event_stream_read);
  record_split_input(record, "endless chunk size", chunked + std::string(1100, '1'), event_stream_read);
  for (const char* bad : {"HTTP/1.1 404 Not Found\r\n\r\n", "HTTP/2 200\r\n\r\n",
                          "HTTP/1.0 200 OK\r\n\r\ndata:a\n\n", "HTTP/1.1  200 OK\r\n\r\n", "\r\n\r\n"})
    record_split_input(record, std::string("head ") + golden::quoted(bad), bad, event_stream_read);
  record_split_input(record, "endless head", "HTTP/1.1 200 OK\r\nX: " + std::string(codec::kMaxHead, 'x'),
                     event_stream_read);
  const std::string long_line = "data: " + std::string(codec::kMaxEvent + 1, 'x');
  for (const std::string& line : event_stream_read({head + "\r\n" + long_line}))
    record.add("endless line " + line);
  record.check();
}

// ---- HTTP calls ----

Lines http_call_read(const Lines& pieces) {
  codec::HttpCallReader reader;
  Lines lines;
  for (const std::string& piece : pieces) {
    reader.feed(piece);
    while (const auto call = reader.next())
      lines.push_back(Line("call")
                          .bytes("method", call->method)
                          .bytes("path", call->path)
                          .bytes("body", call->body)
                          .text());
  }
  lines.push_back(Line("end").flag("malformed", reader.is_broken()).text());
  return lines;
}

TEST(GoldenCodec, HttpCallsMatchRecord) {
  GoldenRecord record("codec_http_call");
  for (const int status : {200, 202, 400, 404, 405, 409, 413, 422, 503, 500})
    record.add(golden::quoted(codec::write_http_response(status, status % 2 == 0 ? "body\n" : "")));
  const std::string post =
      "POST /v1/policy?x=%zz HTTP/1.1\r\nHost: a\r\ncontent-LENGTH:   5\r\n\r\nab\r\ncMORE";
  record_split_input(record, "post", post, http_call_read);
  record_split_input(record, "get", "GET /v1/a%2fb%20c HTTP/1.0\r\n\r\nGET / HTTP/1.1\r\n\r\n",
                     http_call_read);
  for (const char* bad :
       {"GET / HTTP/2.0\r\n\r\n", "GET /\r\n\r\n", " / HTTP/1.1\r\n\r\n", "GET  HTTP/1.1\r\n\r\n",
        "GET /%4 HTTP/1.1\r\n\r\n", "GET /%zz HTTP/1.1\r\n\r\n", "GET ?q HTTP/1.1\r\n\r\n", "\r\n\r\n",
        "PUT / HTTP/1.1\r\nContent-Length: x\r\n\r\n", "PUT / HTTP/1.1\r\nContent-Length: 3x\r\n\r\nabc",
        "PUT / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "PUT / HTTP/1.1\r\nContent-Length: 73729\r\n\r\n",
        "PUT / HTTP/1.1\r\nContent-Length: 4\r\n\r\nabc", "PUT / HTTP/1.1\r\nContent-Length:\r\n\r\n"})
    record_split_input(record, golden::quoted(bad), bad, http_call_read);
  record_split_input(record, "endless head", "GET / HTTP/1.1\r\nX: " + std::string(codec::kMaxCallHead, 'x'),
                     http_call_read);
  record.check();
}

// ---- Discovery events ----

const codec::DiscoveryNames& discovery_names() {
  static const codec::DiscoveryNames value{{"north", "edge-1"}, {"small-box", "parent", "origin"}};
  return value;
}

const char* name_of_endpoint_state(EndpointState state) {
  switch (state) {
    case EndpointState::running:
      return "running";
    case EndpointState::draining:
      return "draining";
    case EndpointState::removed:
      return "gone";
  }
  return "?";
}

Lines discovery_event_lines(const codec::DiscoveryEvent& event) {
  Lines lines{Line("event")
                  .integer("number", event.number)
                  .flag("endpoints", event.endpoints.has_value())
                  .flag("invalidation", event.invalidation.has_value())
                  .text()};
  if (event.endpoints) {
    lines.push_back(Line("endpoint_list").flag("complete", event.endpoints->is_complete).text());
    for (const codec::ListedEndpoint& listed : event.endpoints->endpoints) {
      const Endpoint& endpoint = listed.endpoint;
      lines.push_back(Line("endpoint")
                          .bytes("id", endpoint.id)
                          .word("state", name_of_endpoint_state(endpoint.state))
                          .real("weight", endpoint.weight)
                          .integer("zone", endpoint.zone)
                          .integer("cell", endpoint.cell)
                          .integer("kind", endpoint.kind)
                          .time("started", endpoint.started)
                          .bytes("address", listed.address)
                          .time("process_started", listed.process_started)
                          .text());
    }
  }
  if (event.invalidation) {
    lines.push_back(Line("invalidation")
                        .flag("of_object", event.invalidation->object.has_value())
                        .integer("object", event.invalidation->object.value_or(0))
                        .integer("group", event.invalidation->group)
                        .time("issued", event.invalidation->issued_at)
                        .text());
  }
  return lines;
}

Lines discovery_read(const std::string& json) {
  try {
    return discovery_event_lines(codec::parse_discovery_event(json, discovery_names()));
  } catch (const FieldError& error) {
    return {Line("error").bytes("text", error.what()).text()};
  }
}

std::string json_text(const rapidjson::Value& value) {
  rapidjson::StringBuffer text;
  rapidjson::Writer<rapidjson::StringBuffer> writer(text);
  value.Accept(writer);
  return text.GetString();
}

/// Each JSON value is replaced with each of these values in turn. The integer above 32 bits replaces only
/// integers outside arrays, because its conversion to the element type of an array is undefined.
constexpr std::array<const char*, 7> kScalarReplacements{"null", "\"x\"", "-1", "0", "2.5", "true", "\"\""};
constexpr std::array<const char*, 5> kContainerReplacements{"null", "\"x\"", "0", "[]", "{}"};
constexpr const char* kAbove32Bits = "5000000000";

using ChangeHandler = std::function<void(const std::string& change, const std::string& json)>;

void for_each_change(rapidjson::Document& root, rapidjson::Value& container, const std::string& path,
                     const ChangeHandler& handle_change) {
  const auto replace = [&](rapidjson::Value& value, const std::string& name, bool in_list) {
    const auto put = [&](const char* replacement) {
      const rapidjson::Value saved(value, root.GetAllocator());
      rapidjson::Document other(&root.GetAllocator());
      other.Parse(replacement);
      value.CopyFrom(other, root.GetAllocator());
      handle_change(name + " is " + replacement, json_text(root));
      value.CopyFrom(saved, root.GetAllocator());
    };
    if (value.IsObject() || value.IsArray()) {
      for (const char* replacement : kContainerReplacements) put(replacement);
    } else {
      for (const char* replacement : kScalarReplacements) put(replacement);
      put("[]");
    }
    if (!in_list && value.IsInt64()) put(kAbove32Bits);
    for_each_change(root, value, name, handle_change);
  };
  if (container.IsObject()) {
    for (auto& member : container.GetObject()) {
      const std::string name = path + (path.empty() ? "" : ".") + member.name.GetString();
      const rapidjson::Value saved(member.name, root.GetAllocator());
      member.name.SetString("unheard_of");
      handle_change(name + " is missing", json_text(root));
      member.name.CopyFrom(saved, root.GetAllocator());
      replace(member.value, name, false);
    }
  } else if (container.IsArray()) {
    for (rapidjson::SizeType i = 0; i < container.Size(); ++i)
      replace(container[i], path + "[" + std::to_string(i) + "]", true);
  }
}

void for_each_change(const std::string& json, const ChangeHandler& handle_change) {
  rapidjson::Document root;
  root.Parse(json.c_str());
  ASSERT_FALSE(root.HasParseError()) << json;
  for_each_change(root, root, "", handle_change);
}

constexpr const char* kDiscoveryEvent =
    R"({"no":12,"roster":{"revision":3,"complete":true,"members":[{"id":"a","host_port":"10.0.0.1:80",)"
    R"("phase":"active","size":2.5,"cell":4,"locality":"edge-1","flavor":"parent","up_since_ms":1700000000123},)"
    R"({"id":"b","phase":"leaving","locality":"north","flavor":"origin"},{"id":"c","phase":"left",)"
    R"("locality":"north","flavor":"small-box"}]},"recall":{"item":"00ff12ab","lot":9,"issued":1700000000456}})";

TEST(GoldenCodec, DiscoveryEventsMatchRecord) {
  GoldenRecord record("codec_discovery_events");
  const auto add = [&record](const std::string& name, const std::string& json) {
    record.add(name);
    for (const std::string& line : discovery_read(json)) record.add("  " + line);
  };
  add("all", kDiscoveryEvent);
  for (const char* json : {"", "{", "[]", "{} x", "{\"no\":1}", "{\"no\":9223372036854775807}",
                           R"({"no":1,"recall":{"lot":3,"issued":0}})",
                           R"({"no":1,"recall":{"item":"ffffffffffffffff","issued":1000000000000000}})",
                           R"({"no":1,"recall":{"item":"10000000000000000","issued":1}})",
                           R"({"no":1,"recall":{"issued":1000000000000001}})"})
    add(golden::quoted(json), json);
  for_each_change(kDiscoveryEvent, add);
  record.check();
}

// ---- Settings and configuration ----

const char* name_of_idempotency(Idempotency idempotency) {
  switch (idempotency) {
    case Idempotency::idempotent:
      return "idempotent";
    case Idempotency::with_key:
      return "with_key";
    case Idempotency::none:
      return "none";
  }
  return "?";
}
const char* name_of_deduplication_scope(DeduplicationScope scope) {
  switch (scope) {
    case DeduplicationScope::all:
      return "all";
    case DeduplicationScope::zone:
      return "zone";
    case DeduplicationScope::cell:
      return "cell";
  }
  return "?";
}
const char* name_of_weights(WeightMeaning meaning) {
  switch (meaning) {
    case WeightMeaning::none:
      return "none";
    case WeightMeaning::nominal:
      return "nominal";
    case WeightMeaning::rough:
      return "rough";
    case WeightMeaning::live:
      return "live";
  }
  return "?";
}
const char* name_of_report_channel(ReportVia via) {
  switch (via) {
    case ReportVia::none:
      return "none";
    case ReportVia::probes:
      return "health_checks";
    case ReportVia::answers:
      return "responses";
  }
  return "?";
}
const char* name_of_sibling_fills(SiblingFills fills) {
  switch (fills) {
    case SiblingFills::none:
      return "none";
    case SiblingFills::location:
      return "location";
    case SiblingFills::any:
      return "any";
  }
  return "?";
}
const char* name_of_cache_status_detail(CacheStatusDetail detail) {
  switch (detail) {
    case CacheStatusDetail::none:
      return "none";
    case CacheStatusDetail::hits:
      return "hits";
    case CacheStatusDetail::all:
      return "all";
  }
  return "?";
}

template <typename Number>
std::string list_of(const std::vector<Number>& values) {
  std::string text;
  for (const Number value : values) text += exact(static_cast<double>(value)) + " ";
  return text;
}

Lines settings_lines(const Settings& settings) {
  Lines lines;
  lines.push_back(Line("router")
                      .integer("index", settings.router_number)
                      .integer("zone", settings.zone)
                      .integer("routers", settings.router_count)
                      .bytes("routers_by_zone", list_of(settings.routers_by_zone))
                      .bytes("hub_by_zone", list_of(settings.hub_by_zone))
                      .bytes("link_in_kb_per_s", list_of(settings.link_in_kb_per_s))
                      .time("tick", settings.tick)
                      .text());
  lines.push_back(Line("topology")
                      .integer("parent_kind", settings.parent_kind)
                      .integer("origin_kind", settings.origin_kind)
                      .flag("direct_attempts", settings.direct_to_sources)
                      .word("sibling_fills", name_of_sibling_fills(settings.sibling_fills))
                      .word("cache_status_detail", name_of_cache_status_detail(settings.cache_status_detail))
                      .real("stream_kb_per_s", settings.transfer_kb_per_s)
                      .text());
  lines.push_back(Line("endpoints")
                      .time("answer_slack", settings.answer_slack)
                      .time("drain_grace", settings.drain_grace)
                      .real("initial_capacity", settings.initial_capacity)
                      .time("warm_up_time", settings.warm_up_time)
                      .real("overload_factor", settings.overload_factor)
                      .time("overload_window", settings.overload_window)
                      .text());
  lines.push_back(Line("parents_and_origin")
                      .real("parent_initial_capacity", settings.parent_initial_capacity)
                      .time("parent_warm_up_time", settings.parent_warm_up_time)
                      .real("parent_overload_factor", settings.parent_overload_factor)
                      .real("origin_overload_factor", settings.origin_overload_factor)
                      .time("origin_overload_window", settings.origin_overload_window)
                      .text());
  lines.push_back(Line("allowed")
                      .time("invalidation_slack", settings.invalidation_slack)
                      .time("invalidation_completed", settings.invalidation_settled_after)
                      .integer("max_attempts", settings.max_attempts)
                      .flag("cancellation", settings.cancellation)
                      .flag("health_checks", settings.health_checks)
                      .flag("hedged_requests", settings.hedging)
                      .flag("retry_after", settings.retry_after)
                      .time("max_retry_after", settings.max_retry_after)
                      .flag("must_subscribe", settings.subscription_required)
                      .time("poll_within", settings.poll_within)
                      .flag("clients_mark_retries", settings.marks_client_retries)
                      .word("report_channel", name_of_report_channel(settings.report_via))
                      .word("weights", name_of_weights(settings.weights))
                      .text());
  lines.push_back(Line("cost_weights")
                      .real("cross_zone", settings.cost_weights.cross_zone)
                      .real("waste", settings.cost_weights.waste)
                      .real("origin", settings.cost_weights.origin)
                      .real("health_check", settings.cost_weights.health_check)
                      .real("late_failure", settings.cost_weights.late_failure)
                      .real("link_bytes", settings.cost_weights.link_bytes)
                      .text());
  for (const RequestClass& request_class : settings.classes) {
    lines.push_back(
        Line("request_class")
            .bytes("name", request_class.name)
            .time("latency_objective", request_class.latency_objective)
            .real("latency_objective_per_transfer_time", request_class.latency_objective_per_transfer_time)
            .time("deadline", request_class.deadline)
            .word("idempotency", name_of_idempotency(request_class.idempotency))
            .word("deduplication_scope", name_of_deduplication_scope(request_class.deduplication_scope))
            .time("deduplication_window", request_class.deduplication_window)
            .real("priority_weight", request_class.priority_weight)
            .real("late_weight", request_class.late_weight)
            .flag("streamed", request_class.streamed)
            .time("max_age", request_class.max_age)
            .time("grace", request_class.grace)
            .real("stale_weight", request_class.stale_weight)
            .flag("segmented", request_class.segmented)
            .flag("uncacheable", request_class.uncacheable)
            .text());
  }
  return lines;
}

Lines membership_lines(const config::MembershipConfig& config) {
  const membership::Settings& settings = config.settings;
  Line addresses("membership_addresses");
  addresses.bytes("listen", config.listen_address).bytes("advertised", settings.address);
  for (const std::string& seed : settings.seeds) addresses.bytes("seed", seed);
  for (const auto& [from, to] : settings.address_overrides)
    addresses.bytes("override_of", from).bytes("override", to);
  return {Line("membership")
              .bytes("cluster", settings.cluster)
              .bytes("name", settings.name)
              .integer("zone", settings.zone)
              .bytes("folder", config.folder)
              .integer("max_streams", config.max_streams)
              .integer("max_datagrams_per_s", config.max_datagrams_per_s)
              .integer("max_user_message_bytes", config.max_user_message_bytes)
              .integer("max_members", settings.max_members)
              .integer("max_datagram_bytes", settings.max_datagram_bytes)
              .integer("expected_members", settings.expected_members)
              .text(),
          addresses.text(),
          Line("failure_detector")
              .time("ping_interval", settings.probe_interval)
              .time("ping_timeout", settings.probe_timeout)
              .integer("indirect_pings", settings.indirect_ping_count)
              .time("gossip_interval", settings.gossip_interval)
              .integer("gossip_fanout", settings.gossip_fanout)
              .real("retransmit_factor", settings.retransmit_factor)
              .time("min_suspicion", settings.min_suspicion_timeout)
              .real("suspicion_factor", settings.suspicion_factor)
              .real("max_suspicion_factor", settings.max_suspicion_multiple)
              .integer("confirmations", settings.max_confirmations)
              .integer("max_local_health", settings.max_health_score)
              .time("full_sync_interval", settings.full_sync_interval)
              .time("reconnect_interval", settings.reconnect_interval)
              .time("quota_lease", settings.quota_lease)
              .flag("lifeguard", settings.lifeguard)
              .text()};
}

std::string policy_line(const config::PolicyConfig& config) {
  const consensus::Settings& settings = config.settings;
  Line line("policy");
  line.bytes("name", settings.name).bytes("folder", config.folder).flag("trace", config.trace);
  for (const std::string& voter : settings.voters) line.bytes("voter", voter);
  return line.time("lease", settings.lease)
      .time("renewal", settings.renew_interval)
      .time("eager_renewal", settings.urgent_interval)
      .real("clock_drift", settings.max_clock_drift)
      .time("prepare_timeout", settings.prepare_timeout)
      .time("admin_timeout", settings.call_timeout)
      .integer("max_policy_bytes", settings.max_policy_bytes)
      .flag("serve_without_lease", settings.serve_when_partitioned)
      .flag("has_check", static_cast<bool>(settings.check_policy))
      .text();
}

Lines config_lines(const config::Config& config) {
  Lines lines;
  lines.push_back(Line("process")
                      .bytes("name", config.name)
                      .bytes("listen", config.listen_address)
                      .bytes("discovery", config.discovery_address)
                      .bytes("admin", config.admin_address)
                      .bytes("overrides_file", config.overrides_path)
                      .integer("seed", config.seed)
                      .integer("max_sockets", config.max_descriptors)
                      .integer("memory_bytes", config.memory_bytes)
                      .text());
  lines.push_back(Line("connections")
                      .time("idle_timeout", config.connection_idle)
                      .time("connect_timeout", config.connect_timeout)
                      .integer("requests_per_connection", config.requests_per_connection)
                      .real("stream_bytes_per_s", config.flow_bytes_per_s)
                      .real("link_bytes_per_s", config.link_bytes_per_s)
                      .text());
  Line lists("names");
  for (const std::string& zone : config.discovery_names.zones) lists.bytes("zone", zone);
  for (const std::string& kind : config.discovery_names.kinds) lists.bytes("kind", kind);
  lines.push_back(lists.text());
  for (std::string& line : settings_lines(config.settings)) lines.push_back(std::move(line));
  lines.push_back(Line("known_at_start")
                      .integer("number", config.last_known_event)
                      .integer("events", config.known_events.size())
                      .text());
  for (const codec::DiscoveryEvent& event : config.known_events)
    for (std::string& line : discovery_event_lines(event)) lines.push_back(std::move(line));
  lines.push_back(Line("sections")
                      .flag("membership", config.membership.has_value())
                      .flag("policy", config.policy.has_value())
                      .text());
  if (config.membership)
    for (std::string& line : membership_lines(*config.membership)) lines.push_back(std::move(line));
  if (config.policy) lines.push_back(policy_line(*config.policy));
  lines.push_back(Line("settings_text").bytes("json", config.settings_text).text());
  return lines;
}

std::string full_config() {
  return std::string(
             R"({"name":"n1","flow_bytes_per_s":100000,"link_bytes_per_s":200000.5,"admin_addr":"admin:1",)"
             R"("listen":"10.0.0.4:9090","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":256,)"
             R"("sockets":512},"bulletin":"10.2.0.1:9092","known":{"no":12,"items":[)") +
         kDiscoveryEvent +
         R"(]},"peers":{"cluster":"west","listen":"10.0.0.4:7000","address":"10.9.0.4:7001","folder":"/data",)"
         R"("seeds":["10.0.0.5:7000","10.0.0.6:7000"],"routes":{"10.9.0.5:7001":"127.0.0.1:7005"},)"
         R"("max_members":300,"datagram":1400,"probe_every":300000,"probe_timeout":90000,)"
         R"("suspicion_least":900000,"exchange_every":31000000,"seek_every":1100000,"share_lease":61000000,)"
         R"("expected":5,"streams":9,"datagrams_per_s":3000},"policy":{"voters":["n1","n2","n3"],)"
         R"("folder":"/policy","lease":4000000,"cut_off":"serve","trace":true},)"
         R"("settings":{"me":2,"az":1,"azs":["north","edge-1"],"kinds":["small-box","parent","origin"],)"
         R"("bounds":{"attempts_cap":8,"cancelling":true,"conn_idle":31000000,"connect_timeout":410000,)"
         R"("max_retry_after":500000,"multiplex":33,"probes":true,"retry_after":true,"second_copies":true},)"
         R"("clients":{"marks_retry":true},"discovery":"on_request","fleet_size":4,)"
         R"("fees":{"cross_zone":0.1,"waste":0.2,"origin":0.3,"probe":0.4,"late_fail":0.5},)"
         R"("report":{"fields":["rif","x1","x0"],"via":"probe"},)"
         R"("request_classes":[{"name":"video","aim":400000,"aim_stretch":2.0,"deadline":5000000,)"
         R"("effect":"retryable","worth":2.0,"late_worth":0.25,"streamed":true},)"
         R"({"name":"pages","aim":250000,"deadline":2500000,"effect":"fragile","group":"cell"},)"
         R"({"name":"order","aim":600000,"deadline":3000000,"effect":"dedup",)"
         R"("group":"zone","memory_span":2000000,"worth":3.0}],)"
         R"("rules":{"answer_slack":8000,"cold_share":0.18,"drain_grace":1000000,"fall":2000000,)"
         R"("fall_multiple":4.0,"warm_after":18000000,"must_ask_in":700000},)"
         R"("specifics":{"cleared_within":6000000,"grace_for":[0,20000000,5],"hub_by_zone":[0,1],)"
         R"("inlet_kb_per_s":[0,100000],"max_age":[1,8000000,2],"never_kept":[false,false,true],)"
         R"("origin_kind":2,"origin_fall_multiple":3.5,"origin_fall":2100000,"parent_floor":0.07,)"
         R"("parent_warms_in":22000000,"peers_fill":"location","purge_slack":300000,"says":"hit",)"
         R"("seats_by_zone":[1,3],"segmented":[true,false,0],"stale_earns":[0.7,0.5,0.25],"straight":true,)"
         R"("byte_fee":0.001,"stream_kb_per_s":9100.0,"upper_fall_multiple":2.0,"upper_kind":1},)"
         R"("tick":2000,"weights":"live"}})";
}

using Environment = std::map<std::string, std::string>;

/// Parses a configuration and compares it with the full configuration. Returns the keys whose change needs a
/// restart and the lines that the full configuration does not have, or the parse error.
Lines config_differences(const std::string& json, const Environment& environment) {
  static const config::Config full = config::parse(full_config(), {});
  static const Lines full_lines = config_lines(full);
  const std::set<std::string> known(full_lines.begin(), full_lines.end());
  try {
    const config::Config read = config::parse(json, environment);
    Line keys("accepted");
    for (const std::string& key : config::restart_only_keys(full, read)) keys.bytes("restart_key", key);
    Lines lines{keys.text()};
    for (const std::string& line : config_lines(read))
      if (known.count(line) == 0 && line.rfind("settings_text", 0) != 0) lines.push_back(line);
    return lines;
  } catch (const FieldError& error) {
    return {Line("error").bytes("text", error.what()).text()};
  }
}

TEST(GoldenCodec, FullAndMinimalConfigurationMatchRecord) {
  GoldenRecord record("config_in_full");
  for (const std::string& line : config_lines(config::parse(full_config(), {}))) record.add(line);
  // The minimal configuration: all other keys have their defaults.
  record.add("least");
  for (const std::string& line : config_lines(config::parse(
           R"({"name":"n1","listen":"a:1","bulletin":"b:2","settings":{"az":0,"azs":["z"],"kinds":["k"],)"
           R"("request_classes":[{"name":"c","aim":1,"deadline":2}]},"peers":{"cluster":"c",)"
           R"("listen":"1.2.3.4:5","folder":"f"},"policy":{"voters":["a","b","c"],"folder":"p"}})",
           {})))
    record.add(line);
  record.check();
}

TEST(GoldenCodec, ConfigurationWithEachEnumValueMatchesRecord) {
  GoldenRecord record("config_words");
  const auto put = [&record](const std::string& from, const std::string& to) {
    std::string text = full_config();
    const std::size_t at = text.find(from);
    ASSERT_NE(at, std::string::npos) << from;
    record.add(to);
    for (const std::string& line : config_differences(text.replace(at, from.size(), to), {}))
      record.add("  " + line);
  };
  for (const char* word : {"retryable", "dedup", "fragile"})
    put(R"("effect":"retryable")", R"("effect":")" + std::string(word) + '"');
  for (const char* word : {"all", "zone", "cell"})
    put(R"("group":"cell")", R"("group":")" + std::string(word) + '"');
  for (const char* word : {"none", "nominal", "rough", "live"})
    put(R"("weights":"live")", R"("weights":")" + std::string(word) + '"');
  for (const char* word : {"none", "probe", "answers"})
    put(R"("via":"probe")", R"("via":")" + std::string(word) + '"');
  for (const char* word : {"none", "location", "any"})
    put(R"("peers_fill":"location")", R"("peers_fill":")" + std::string(word) + '"');
  for (const char* word : {"none", "hit", "all"})
    put(R"("says":"hit")", R"("says":")" + std::string(word) + '"');
  for (const char* word : {"pushed", "on_request"})
    put(R"("discovery":"on_request")", R"("discovery":")" + std::string(word) + '"');
  for (const char* word : {"refuse", "serve"})
    put(R"("cut_off":"serve")", R"("cut_off":")" + std::string(word) + '"');
  record.check();
}

TEST(GoldenCodec, InvalidConfigurationMatchesRecord) {
  GoldenRecord record("config_faults");
  const auto add = [&record](const std::string& name, const std::string& json,
                             const Environment& environment) {
    record.add(name);
    for (const std::string& line : config_differences(json, environment)) record.add("  " + line);
  };
  const std::string full = full_config();
  for (const char* json : {"", "{", "[]", "{\"name\":", "{\"name\":\"a\"} x", "{}"})
    add(golden::quoted(json), json, {});
  for (const Environment& environment :
       {Environment{{"GW_NAME", "../n3"}, {"TMPDIR", "/t"}}, Environment{{"GW_LISTEN", "x:2"}},
        Environment{{"GW_LISTEN", "x:0"}}, Environment{{"GW_LISTEN", ":1"}},
        Environment{{"GW_LISTEN", "x:65536"}}, Environment{{"GW_ADMIN_ADDR", "here"}},
        Environment{{"GW_ADMIN_ADDR", "h:9"}}, Environment{{"TMPDIR", "/t"}}}) {
    std::string name = "environment";
    for (const auto& [key, value] : environment) name += " " + key + "=" + value;
    add(name, full, environment);
  }
  for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>>{
           {R"("name":"pages")", R"("name":"video")"},
           {R"("upper_kind":1)", R"("upper_kind":2)"},
           {R"("origin_kind":2)", R"("origin_kind":3)"},
           {R"("az":1)", R"("az":2)"},
           {R"("cold_share":0.18)", R"("cold_share":1.5)"},
           {R"("parent_floor":0.07)", R"("parent_floor":1.01)"},
           {R"("sockets":512)", R"("sockets":63)"},
           {R"("sockets":512)", R"("sockets":64)"},
           {R"("memory_mb":256)", R"("memory_mb":15)"},
           {R"("probe_timeout":90000)", R"("probe_timeout":150001)"},
           {R"("datagram":1400)", R"("datagram":511)"},
           {R"("datagram":1400)", R"("datagram":8193)"},
           {R"("max_members":300)", R"("max_members":4097)"},
           {R"("share_lease":61000000)", R"("share_lease":1999999)"},
           {R"("share_lease":61000000,)", ""},
           {R"("expected":5)", R"("expected":301)"},
           {R"("streams":9)", R"("streams":17)"},
           {R"("datagrams_per_s":3000)", R"("datagrams_per_s":99)"},
           {R"("lease":4000000)", R"("lease":999999)"},
           {R"("lease":4000000)", R"("lease":300000001)"},
           {R"(["n1","n2","n3"])", R"(["n1","n2"])"},
           {R"(["n1","n2","n3"])", R"(["n1","n2","n2"])"},
           {R"(["n1","n2","n3"])", R"(["n1","n2","n 3"])"},
           {R"("cluster":"west")", R"("cluster":"we st")"},
           {R"("name":"n1")", R"("name":"n 1")"},
           {R"("seed":"8c1f30d27a5be964")", R"("seed":18446744073709551615)"}}) {
    std::string text = full;
    const std::size_t at = text.find(from);
    ASSERT_NE(at, std::string::npos) << from;
    add(from + " -> " + to, text.replace(at, from.size(), to), {});
  }
  // Each key in turn is missing or has another value. The discovery event is left out because
  // DiscoveryEventsMatchRecord covers it.
  std::string plain = full;
  plain.replace(plain.find(kDiscoveryEvent), std::string_view(kDiscoveryEvent).size(), R"({"no":1})");
  for_each_change(plain,
                  [&add](const std::string& change, const std::string& json) { add(change, json, {}); });
  record.check();
}

TEST(GoldenCodec, ConfigurationFilesMatchRecord) {
  GoldenRecord record("config_files");
  const auto load = [&record](const std::string& name, const Environment& environment) {
    try {
      record.add(name + ": " + config_lines(config::load(environment)).front());
    } catch (const FieldError& error) {
      record.add(name + ": " + error.what());
    }
  };
  load("no file named", {});
  load("no such file", {{"GW_CONFIG", "/nowhere/at/all.json"}});
  const std::string path = testing::TempDir() + "/codec_golden_config.json";
  std::ofstream(path) << full_config();
  load("a file", {{"GW_CONFIG", path}, {"GW_NAME", "n7"}, {"TMPDIR", "/t"}});
  std::filesystem::remove(path);
  record.check();
}

// ---- Membership messages ----

const char* name_of_member_status(membership::MemberStatus status) {
  switch (status) {
    case membership::MemberStatus::alive:
      return "alive";
    case membership::MemberStatus::suspect:
      return "suspect";
    case membership::MemberStatus::dead:
      return "dead";
    case membership::MemberStatus::left:
      return "left";
    case membership::MemberStatus::forgotten:
      return "forgotten";
    case membership::MemberStatus::disputed:
      return "disputed";
  }
  return "?";
}
const char* name_of_message_kind(membership::MessageKind kind) {
  switch (kind) {
    case membership::MessageKind::ping:
      return "ping";
    case membership::MessageKind::ack:
      return "ack";
    case membership::MessageKind::nack:
      return "nack";
    case membership::MessageKind::ping_req:
      return "ping_req";
    case membership::MessageKind::gossip:
      return "gossip";
    case membership::MessageKind::full_sync:
      return "full_sync";
    case membership::MessageKind::full_sync_reply:
      return "full_sync_reply";
    case membership::MessageKind::user_message:
      return "user_message";
  }
  return "?";
}
const char* name_of_decode_error(membership::DecodeError reason) {
  switch (reason) {
    case membership::DecodeError::malformed:
      return "malformed";
    case membership::DecodeError::oversized:
      return "oversized";
    case membership::DecodeError::checksum_mismatch:
      return "corrupt";
    case membership::DecodeError::wrong_cluster:
      return "other_cluster";
    case membership::DecodeError::wrong_version:
      return "other_version";
    case membership::DecodeError::invalid_field:
      return "bad_field";
  }
  return "?";
}

void describe(Line& line, const membership::MemberUpdate& update) {
  line.bytes("member", update.name)
      .bytes("address", update.address)
      .integer("disk", update.disk_id)
      .integer("incarnation", update.incarnation)
      .integer("zone", update.zone)
      .word("status", name_of_member_status(update.status))
      .bytes("reported_by", update.reported_by);
}

membership::MemberUpdate member_update(const std::string& name, membership::MemberStatus status,
                                       std::uint64_t number) {
  membership::MemberUpdate update;
  update.name = name;
  update.address = "10.0.0." + std::to_string(number % 250) + ":7000";
  update.disk_id = 0x1122334455667788U + number;
  update.incarnation = (number << membership::kRefutationBits) + 3;
  update.zone = static_cast<int>(number);
  update.status = status;
  update.reported_by = status == membership::MemberStatus::suspect || status == membership::MemberStatus::dead
                           ? "by-" + name
                           : "";
  return update;
}

membership::Message membership_message(membership::MessageKind kind) {
  membership::Message message;
  message.kind = kind;
  message.sequence = 300 + static_cast<std::uint64_t>(kind);
  message.to = "b";
  message.from = member_update("a", membership::MemberStatus::alive, 1);
  message.digest = 0xfedcba9876543210U;
  if (kind == membership::MessageKind::ping_req || kind == membership::MessageKind::ack) message.target = "c";
  if (kind == membership::MessageKind::ping_req) message.target_address = "10.0.0.3:7000";
  for (std::uint64_t status = 0; status < membership::kMemberStatusCount; ++status)
    message.updates.push_back(member_update("m" + std::to_string(status),
                                            static_cast<membership::MemberStatus>(status), status + 2));
  message.counted_disk = 0x0102030405060708U;
  message.member_names_hash = 0x1020304050607080U;
  message.confirmed = true;
  if (kind == membership::MessageKind::user_message) message.payload = std::string("pay\0load", 8);
  return message;
}

std::string membership_read(const std::string& bytes, const std::string& cluster, std::size_t max_bytes) {
  const auto decoded = membership::decode(bytes, cluster, max_bytes);
  if (const auto* error = std::get_if<membership::DecodeError>(&decoded))
    return Line("error")
        .word("reason", name_of_decode_error(*error))
        .bytes("told_as", membership::name_of(*error))
        .text();
  const auto& message = std::get<membership::Message>(decoded);
  Line line("message");
  line.word("kind", name_of_message_kind(message.kind))
      .integer("number", message.sequence)
      .bytes("to", message.to);
  describe(line, message.from);
  line.integer("digest", message.digest)
      .bytes("target", message.target)
      .bytes("target_address", message.target_address)
      .integer("counted_disk", message.counted_disk)
      .integer("names_digest", message.member_names_hash)
      .flag("confirmed", message.confirmed)
      .bytes("payload", message.payload)
      .integer("updates", message.updates.size());
  for (const membership::MemberUpdate& update : message.updates) describe(line, update);
  return line.text();
}

TEST(GoldenCodec, MembershipMessagesMatchRecord) {
  GoldenRecord record("codec_membership_messages");
  const auto add = [&record](const membership::Message& message, const std::string& cluster = "west") {
    const std::string bytes = membership::encode(message, cluster);
    record.add(golden::quoted(bytes));
    record.add("  " + membership_read(bytes, "west", 4096));
  };
  for (std::size_t kind = 0; kind < membership::kMessageKindCount; ++kind)
    add(membership_message(static_cast<membership::MessageKind>(kind)));
  for (std::size_t state = 0; state < membership::kMemberStatusCount; ++state)
    record.add(std::string(name_of_member_status(static_cast<membership::MemberStatus>(state))) +
               " told as " + std::string(membership::name_of(static_cast<membership::MemberStatus>(state))));
  add({});
  // Messages that the decoder must reject, and the largest valid zone.
  const auto add_invalid = [&](const std::function<void(membership::Message&)>& change,
                               membership::MessageKind kind = membership::MessageKind::ping) {
    membership::Message message = membership_message(kind);
    change(message);
    add(message);
  };
  add(membership_message(membership::MessageKind::ping), "east");
  add_invalid([](membership::Message& m) { m.kind = static_cast<membership::MessageKind>(8); });
  add_invalid([](membership::Message& m) { m.to = "b b"; });
  add_invalid([](membership::Message& m) { m.to = std::string(65, 'b'); });
  add_invalid([](membership::Message& m) { m.from.name.clear(); });
  add_invalid([](membership::Message& m) { m.from.address = "10.0.0.256:1"; });
  add_invalid([](membership::Message& m) { m.from.address = "host:1"; });
  add_invalid([](membership::Message& m) { m.from.zone = 4096; });
  add_invalid([](membership::Message& m) { m.from.zone = 4095; });
  add_invalid([](membership::Message& m) { m.from.status = static_cast<membership::MemberStatus>(6); });
  add_invalid([](membership::Message& m) { m.from.reported_by = "x/y"; });
  add_invalid([](membership::Message& m) { m.target = "c c"; });
  add_invalid([](membership::Message& m) { m.target_address = "c"; });
  add_invalid([](membership::Message& m) { m.updates[3].name.clear(); });
  add_invalid([](membership::Message& m) { m.payload = "x"; });
  add_invalid([](membership::Message& m) { m.payload.clear(); }, membership::MessageKind::user_message);
  add_invalid([](membership::Message& m) { m.target.clear(); }, membership::MessageKind::ping_req);
  add_invalid([](membership::Message& m) { m.target_address.clear(); }, membership::MessageKind::ping_req);
  membership::Message small = membership_message(membership::MessageKind::ping_req);
  small.updates.resize(1);
  const std::string bytes = membership::encode(small, "west");
  record.add(Line("sizes")
                 .integer("update", membership::encoded_size(small.updates[0]))
                 .integer("head", membership::header_size(small, "west"))
                 .integer("bytes", bytes.size())
                 .text());
  record.add("oversized: " + membership_read(bytes, "west", bytes.size() - 1));
  record.add("just fits: " + membership_read(bytes, "west", bytes.size()));
  for (const char* name : {"", "a", "a-b_c.D9", "a b", "a/b", "\xc3\xa4"})
    record.add(Line("name").bytes("text", name).flag("valid", membership::is_valid_name(name)).text());
  for (const char* address :
       {"", "1.2.3.4:5", "1.2.3.4:0", "1.2.3.4:65536", "1.2.3:4", "1.2.3.4", "01.2.3.4:5", "1.2.3.4:5 "})
    record.add(
        Line("address").bytes("text", address).flag("valid", membership::is_valid_address(address)).text());
  record.check();
}

TEST(GoldenCodec, DamagedMembershipMessagesMatchRecord) {
  GoldenRecord record("codec_membership_damaged");
  membership::Message message = membership_message(membership::MessageKind::ping_req);
  message.updates.resize(2);
  record_damage(record, "ping_req", membership::encode(message, "west"),
                [](const std::string& bytes) { return membership_read(bytes, "west", 4096); });
  record.check();
}

// ---- Consensus messages ----

constexpr consensus::Time kLease{5'000'000};

const char* name_of_step(consensus::Step step) {
  switch (step) {
    case consensus::Step::propose:
      return "propose";
    case consensus::Step::commit:
      return "commit";
    case consensus::Step::activate:
      return "activate";
    case consensus::Step::abort:
      return "abort";
  }
  return "?";
}
const char* name_of_change_result(consensus::ChangeResult result) {
  switch (result) {
    case consensus::ChangeResult::active:
      return "active";
    case consensus::ChangeResult::aborted:
      return "aborted";
    case consensus::ChangeResult::rejected:
      return "rejected";
  }
  return "?";
}

void describe(Line& line, const consensus::Entry& entry) {
  line.word("step", name_of_step(entry.step))
      .integer("change", entry.change)
      .bytes("key", entry.key)
      .integer("base_epoch", entry.base_epoch)
      .bytes("policy", entry.policy)
      .bytes("reason", entry.reason);
}

struct DescribeMessage {
  Line& line;
  void operator()(const consensus::LeaseRequest& message) const {
    line.word("kind", "lease_request").integer("number", message.number);
  }
  void operator()(const consensus::LeaseGrant& message) const {
    line.word("kind", "lease_grant")
        .integer("number", message.request_number)
        .integer("epoch", message.epoch);
    line.time("duration", message.duration).integer("log_index", message.index);
  }
  void operator()(const consensus::LeadershipCheck& message) const {
    line.word("kind", "leadership_check").integer("term", message.term).integer("round", message.round);
  }
  void operator()(const consensus::LeadershipCheckReply& message) const {
    line.word("kind", "leadership_confirmed").integer("term", message.term).integer("round", message.round);
  }
  void operator()(const consensus::LogPosition& message) const {
    line.word("kind", "log_position").integer("log_index", message.index).bytes("leader", message.leader);
  }
  void operator()(const consensus::PrepareReply& message) const {
    line.word("kind", "prepared")
        .integer("change", message.change)
        .flag("accepted", message.ready)
        .bytes("reason", message.reason);
  }
  void operator()(const consensus::LeaseRevocation& message) const {
    line.word("kind", "lease_revocation").integer("term", message.term).integer("epoch", message.epoch);
  }
  void operator()(const consensus::LeaseRevocationAck& message) const {
    line.word("kind", "lease_revocation_ack").integer("term", message.term).integer("epoch", message.epoch);
  }
  void operator()(const consensus::ProposeRequest& message) const {
    line.word("kind", "propose")
        .bytes("key", message.key)
        .integer("base_epoch", message.base_epoch)
        .bytes("policy", message.policy);
  }
  void operator()(const consensus::AbortRequest& message) const {
    line.word("kind", "abort").integer("change", message.change);
  }
  void operator()(const consensus::CatchUpRequest& message) const {
    line.word("kind", "catch_up_request").integer("after_index", message.after_index);
  }
  void operator()(const consensus::CatchUpResponse& message) const {
    line.word("kind", "catch_up_response")
        .integer("after_index", message.after_index)
        .integer("last_index", message.up_to_index);
    for (const auto& [index, entry] : message.entries) describe(line.integer("log_index", index), entry);
  }
  void operator()(const consensus::Snapshot& message) const {
    line.word("kind", "snapshot").integer("log_index", message.index).integer("epoch", message.epoch);
    line.bytes("key", message.key).bytes("policy", message.policy);
    for (const consensus::Change& change : message.change) {
      line.integer("change", change.id).integer("change_epoch", change.epoch).bytes("change_key", change.key);
      line.bytes("change_policy", change.policy).flag("committed", change.committed);
    }
    for (const consensus::ChangeOutcome& outcome : message.outcomes) {
      line.bytes("outcome_key", outcome.key).word("result", name_of_change_result(outcome.result));
      line.integer("outcome_epoch", outcome.epoch).bytes("reason", outcome.reason);
    }
  }
};

std::string consensus_read(const std::string& bytes) {
  bool other_lease = false;
  const auto decoded = consensus::decode(bytes, kLease, &other_lease);
  if (!decoded) return Line("error").flag("other_lease", other_lease).text();
  Line line("message");
  if (const auto* message = std::get_if<consensus::Message>(&*decoded)) {
    std::visit(DescribeMessage{line}, *message);
  } else if (const auto* log = std::get_if<consensus::RaftMessage>(&*decoded)) {
    line.word("kind", "raft").bytes("bytes", log->bytes);
  } else {
    line.word("kind", "bootstrap").bytes("bytes", std::get<consensus::BootstrapMessage>(*decoded).bytes);
  }
  return line.text();
}

std::vector<consensus::Message> consensus_messages() {
  using consensus::Entry;
  using consensus::Step;
  consensus::CatchUpResponse catch_up{5, 9, {}};
  catch_up.entries.emplace_back(6, Entry{Step::propose, 0, "k", 2, "policy text", ""});
  catch_up.entries.emplace_back(7, Entry{Step::commit, 6, "", 0, "", ""});
  catch_up.entries.emplace_back(8, Entry{Step::activate, 6, "", 0, "", ""});
  catch_up.entries.emplace_back(9, Entry{Step::abort, 6, "", 0, "", "n2: why"});
  consensus::Snapshot snapshot{40, 3, "k3", "policy 3", {}, {}};
  snapshot.change.push_back({39, 4, "k4", std::string("po\0licy", 7), true});
  snapshot.outcomes.push_back({"k1", consensus::ChangeResult::active, 1, ""});
  snapshot.outcomes.push_back({"k2", consensus::ChangeResult::aborted, 1, "reason"});
  snapshot.outcomes.push_back({"k2b", consensus::ChangeResult::rejected, 2, "other"});
  return {consensus::LeaseRequest{11},
          consensus::LeaseGrant{11, 3, consensus::Time{4'000'000}, 40},
          consensus::LeadershipCheck{2, 5},
          consensus::LeadershipCheckReply{2, 6},
          consensus::LogPosition{40, "n2"},
          consensus::PrepareReply{39, true, ""},
          consensus::PrepareReply{39, false, "n3: no"},
          consensus::LeaseRevocation{2, 3},
          consensus::LeaseRevocationAck{2, 3},
          consensus::ProposeRequest{"k5", 4, "policy 5"},
          consensus::AbortRequest{39},
          consensus::CatchUpRequest{5},
          catch_up,
          snapshot};
}

// An independent encoder for Protocol Buffers, which is the reference for the generated code.
std::string varint(std::uint64_t value) {
  std::string bytes;
  for (; value >= 128; value >>= 7U) bytes.push_back(static_cast<char>(value | 128U));
  bytes.push_back(static_cast<char>(value));
  return bytes;
}
std::string number_field(unsigned field, std::uint64_t value) { return varint(field << 3U) + varint(value); }
std::string bytes_field(unsigned field, std::string_view value) {
  return (varint(field << 3U | 2U) + varint(value.size())).append(value);
}
std::string number_fields(unsigned first, unsigned last) {
  std::string bytes;
  for (unsigned field = first; field <= last; ++field) bytes += number_field(field, 100 + field);
  return bytes;
}

TEST(GoldenCodec, ConsensusMessagesMatchRecord) {
  GoldenRecord record("codec_consensus_messages");
  const auto add = [&record](const std::string& bytes) {
    record.add(golden::quoted(bytes));
    record.add("  " + consensus_read(bytes));
  };
  for (const consensus::Message& message : consensus_messages()) add(consensus::encode(message, kLease));
  add(consensus::encode(consensus::Message{consensus::LeaseRequest{1}}, consensus::Time{1}));
  // Messages that the decoder must reject.
  const std::string long_text(128 * 1024 + 1, 'x');
  for (const consensus::Message& message : std::vector<consensus::Message>{
           consensus::LeaseGrant{1, 1, consensus::Time{0}, 1}, consensus::CatchUpResponse{5, 4, {}},
           consensus::CatchUpResponse{5, 9, {{7, {}}, {7, {}}}}, consensus::CatchUpResponse{5, 9, {{5, {}}}},
           consensus::CatchUpResponse{5, 9, {{10, {}}}},
           consensus::CatchUpResponse{5, 9, {{6, {static_cast<consensus::Step>(4), 0, "", 0, "", ""}}}},
           consensus::Snapshot{1, 1, "", "", {}, {{"", static_cast<consensus::ChangeResult>(3), 0, ""}}},
           consensus::CatchUpResponse{0, 99, std::vector<consensus::IndexedEntry>(65)},
           consensus::Snapshot{1, 1, "", "", {}, std::vector<consensus::ChangeOutcome>(257)}})
    add(consensus::encode(message, kLease));
  for (const consensus::Message& message : std::vector<consensus::Message>{
           consensus::ProposeRequest{long_text, 1, ""}, consensus::ProposeRequest{"", 1, long_text},
           consensus::LogPosition{1, long_text}, consensus::PrepareReply{1, false, long_text},
           consensus::Snapshot{1, 1, long_text, "", {}, {}}})
    record.add("too long: " + consensus_read(consensus::encode(message, kLease)));
  // Raft messages of every type, then the bootstrap messages that are sent before a log exists.
  const std::string entry = number_field(1, 3) + number_field(2, 1) + bytes_field(3, "data");
  const std::string server = number_field(1, 77) + bytes_field(2, "n1#77") + number_field(3, 1);
  const std::array<std::string, 6> kinds{
      number_fields(1, 4) + number_field(5, 1) + number_field(6, 1),
      number_field(1, 5) + number_field(2, 1) + number_field(3, 2),
      number_fields(1, 4) + bytes_field(5, entry) + bytes_field(5, entry),
      number_fields(1, 3),
      number_fields(1, 3) + bytes_field(4, server) + number_field(5, 9) + bytes_field(6, "snapshot"),
      number_fields(1, 3)};
  for (unsigned kind = 0; kind < kinds.size(); ++kind) {
    consensus::pb::RaftMessage message;
    ASSERT_TRUE(message.ParseFromString(number_field(1, 77) + number_field(2, 78) + bytes_field(3, "n1#77") +
                                        bytes_field(kind + 4, kinds[kind])));
    add(consensus::encode(message, kLease));
  }
  for (const std::string& bytes :
       {number_field(1, 1) + number_field(3, 77),
        number_field(2, 1) + number_field(3, 77) + bytes_field(4, server), std::string()}) {
    consensus::pb::BootstrapMessage message;
    ASSERT_TRUE(message.ParseFromString(bytes));
    add(consensus::encode(message, kLease));
  }
  add("");
  add(number_field(1, 5'000'000));
  record.check();
}

TEST(GoldenCodec, ConsensusEntriesMatchRecord) {
  GoldenRecord record("codec_consensus_entries");
  const auto read = [](const std::string& bytes) {
    const auto entry = consensus::decode_entry(bytes);
    if (!entry) return std::string("error");
    Line line("entry");
    describe(line, *entry);
    return line.text();
  };
  for (const consensus::Entry& entry :
       std::vector<consensus::Entry>{{consensus::Step::propose, 0, "key", 7, std::string("po\0licy", 7), ""},
                                     {consensus::Step::commit, 300, "", 0, "", ""},
                                     {consensus::Step::activate, 300, "", 0, "", ""},
                                     {consensus::Step::abort, 300, "", 0, "", "why"},
                                     {static_cast<consensus::Step>(4), 1, "", 0, "", ""}}) {
    const std::string bytes = consensus::encode(entry);
    record.add(golden::quoted(bytes) + " -> " + read(bytes));
    record_damage(record, "entry", bytes, read);
  }
  record.check();
}

TEST(GoldenCodec, DamagedConsensusMessagesMatchRecord) {
  GoldenRecord record("codec_consensus_damaged");
  std::size_t number = 0;
  for (const consensus::Message& message : consensus_messages())
    record_damage(record, "message " + std::to_string(number++), consensus::encode(message, kLease),
                  consensus_read);
  record.check();
}

// ---- Simulator lines ----

const std::string kEnlist =
    R"({"what":"enlist","proxy_id":3,"rng_seed":18446744073709551615,"env":{"az":1,"azs":["hub","edge"],)"
    R"("fleet_size":1,"request_classes":[{"aim":400000,"deadline":2500000,"effect":"retryable","name":"pages"},)"
    R"({"aim":300000,"deadline":2000000,"effect":"fragile","name":"order"}],"specifics":{"origin_kind":2,)"
    R"("upper_kind":1,"seats_by_zone":[0,1],"max_age":[12000000,0],"never_kept":[false,true],"says":"all",)"
    R"("grace_for":[5000000,0],"stream_kb_per_s":1000},"discovery":"on_request","weights":"live",)"
    R"("report":{"via":"probe"},"rules":{"must_ask_in":500000,"cold_share":0.2,"warm_after":5000000},)"
    R"("bounds":{"attempts_cap":3,"cancelling":true,"second_copies":true,"probes":true,"retry_after":true,)"
    R"("max_retry_after":400000},"tick":2000}})";
const std::string kRegister =
    R"({"what":"register","buffer":0,"nodes_list":[{"state":"Running","power_hint":1.5,"stripe":0,"locality":1,)"
    R"("came_up":null,"store":"cache:1","generation_hw":0},{"state":"Running","power_hint":1,"stripe":0,)"
    R"("locality":1,"came_up":900000,"store":"cache:2","generation_hw":0},{"state":"Stopping","power_hint":1,)"
    R"("stripe":0,"locality":1,"came_up":null,"store":"cache:3","generation_hw":0},{"state":"Running",)"
    R"("power_hint":1,"stripe":0,"locality":0,"came_up":null,"store":"parent:1","generation_hw":1},)"
    R"({"state":"Running","power_hint":1,"stripe":0,"locality":0,"came_up":null,"store":"origin:1",)"
    R"("generation_hw":2}]})";
const std::string kRegistry = R"({"what":"registry","proxy_id":3,"buffer":0,"how":"full","index":1})";
const std::string kRequest =
    R"({"what":"request","proxy_id":3,"handle":"h0","user_group":0,"batch_id":11,"lane":0,"kbytes":64,)"
    R"("expires":3000000,"chunk":3,"file":"91f03b7c55d20a64","update":false,"again_by_client":false})";
const std::string kReportBack =
    R"({"what":"report_back","proxy_id":3,"handle":"h0","n":0,"store":"cache:1","outcome":"shed","rtt":500,)"
    R"("settled":false,"detail":5,"ttfb":400,"report":{"busy":0.5,"rif":2,"q":1.5,"x0":0.7,"x1":0.2}})";

Lines simulator_reply(const Lines& input) {
  std::stringstream input_stream, output_stream;
  for (const std::string& line : input) input_stream << line << '\n';
  std::string error;
  try {
    simulator::serve(input_stream, output_stream);
  } catch (const simulator::WireError& problem) {
    error = Line("error").bytes("text", problem.what()).text();
  }
  Lines lines;
  for (std::string line; std::getline(output_stream, line);) lines.push_back(golden::quoted(line));
  if (!error.empty()) lines.push_back(error);
  return lines;
}

/// The kinds of output lines that the session must produce. The writer also supports `probe`, `read_list` and
/// `journal_line`, but the router requests none of them in this session.
constexpr const char* kExpectedForms = "answer_from bounce cancel done finish_error observe wake_at ";

/// Returns a session with every kind of input event and every enum value that an event may hold.
Lines simulator_session() {
  Lines input{R"({"what":"clock","at_time":1000000})", kEnlist, kRegister, kRegistry, R"({"what":"eob"})"};
  const std::array<const char*, 9> outcomes{"delivered", "app_error", "shed",   "expired", "dial_failed",
                                            "dropped",   "revoked",   "unused", "empty"};
  const std::array<const char*, 5> stores{"cache:1", "cache:2", "parent:1", "origin:1", "unknown"};
  std::int64_t now = 1'000'000;
  for (int turn = 0; turn < 120; ++turn) {
    now += 3000 + turn % 7 * 11'000;
    const std::string handle = "\"h" + std::to_string(turn) + "\"", time = std::to_string(now);
    input.push_back(R"({"what":"clock","at_time":)" + time + "}");
    input.push_back(R"({"what":"request","proxy_id":3,"handle":)" + handle + R"(,"batch_id":)" +
                    std::to_string(turn % 5) + R"(,"lane":)" + std::to_string(turn % 4 == 3 ? 1 : 0) +
                    R"(,"kbytes":)" + std::to_string(turn % 3 * 40) + R"(,"expires":)" +
                    std::to_string(now + 40'000 * (1 + turn % 30)) + R"(,"chunk":)" +
                    std::to_string(turn % 2) + R"(,"file":")" + std::to_string(turn % 9) + R"(a","update":)" +
                    (turn % 11 == 10 ? "true" : "false") + R"(,"again_by_client":)" +
                    (turn % 6 == 5 ? "true" : "false") + "}");
    const std::string earlier = "\"h" + std::to_string(turn > 2 ? turn - 2 : 0) + "\"";
    input.push_back(R"({"what":"streaming","proxy_id":3,"handle":)" + earlier + R"(,"n":0})");
    for (int n = 0; n < 2; ++n)
      input.push_back(R"({"what":"report_back","proxy_id":3,"handle":)" + earlier + R"(,"n":)" +
                      std::to_string(n) + R"(,"store":")" + stores[static_cast<std::size_t>(turn + n) % 5] +
                      R"(","outcome":")" + outcomes[static_cast<std::size_t>(turn) % 9] + R"(","rtt":)" +
                      std::to_string(1000 + turn * 37) + R"(,"settled":)" +
                      (turn % 9 == 0 ? "true" : "false") + R"(,"detail":)" + std::to_string(turn % 13) +
                      R"(,"ttfb":null,"report":{"busy":0.)" + std::to_string(turn % 10) + R"(,"rif":)" +
                      std::to_string(turn % 8) + "}}");
    for (int label = 0; label < 4; ++label)
      input.push_back(R"({"what":"reminder","proxy_id":3,"label":)" + std::to_string(turn * 2 + label) + "}");
    input.push_back(R"({"what":"sampled","proxy_id":3,"store":")" +
                    std::string(stores[static_cast<std::size_t>(turn) % 5]) + R"(","outcome":")" +
                    (turn % 4 == 0 ? "expired" : "delivered") +
                    R"(","rtt":900,"report":{"x0":0.5,"x1":0.1,"q":1}})");
    if (turn % 10 == 4)
      input.push_back(R"({"what":"invalidated","proxy_id":3,"file":")" + std::to_string(turn % 9) +
                      R"(a","how_old":85000,"bucket":1})");
    if (turn % 10 == 6)
      input.push_back(R"({"what":"invalidated","proxy_id":3,"file":null,"how_old":85000,"bucket":1})");
    if (turn % 8 == 7) input.push_back(R"({"what":"withdrawn","proxy_id":3,"handle":)" + handle + "}");
    if (turn % 20 == 9) input.push_back(R"({"what":"message","proxy_id":3,"author":1,"msg":"hi"})");
    if (turn % 30 == 12) input.push_back(R"({"what":"registry","proxy_id":3,"how":"failed"})");
    if (turn == 50) input.push_back(R"({"what":"registry","proxy_id":3,"buffer":0,"how":"delta","index":1})");
    if (turn == 70)
      input.push_back(R"({"what":"registry","proxy_id":3,"buffer":0,"how":"cached","index":1})");
    input.push_back(R"({"what":"eob"})");
  }
  input.push_back(R"({"what":"destroy","proxy_id":3})");
  input.push_back(kEnlist);
  // The new router knows no endpoints, so it rejects the request.
  input.push_back(kRequest);
  input.push_back(R"({"what":"eob"})");
  return input;
}

TEST(GoldenCodec, SimulatorSessionMatchesRecord) {
  GoldenRecord record("codec_simulator_session");
  const Lines reply = simulator_reply(simulator_session());
  std::set<std::string> forms;
  for (const std::string& line : reply) {
    record.add(line);
    const std::size_t at = line.find("\"what\":\"");
    ASSERT_EQ(at, 1U) << line;
    forms.insert(line.substr(9, line.find('"', 9) - 9));
  }
  std::string seen;
  for (const std::string& form : forms) seen += form + " ";
  EXPECT_EQ(seen, kExpectedForms);
  record.check();
}

TEST(GoldenCodec, InvalidSimulatorInputMatchesRecord) {
  GoldenRecord record("codec_simulator_faults");
  const Lines start{R"({"what":"clock","at_time":1000000})", kEnlist, kRegister, kRegistry};
  const auto add = [&record](const std::string& name, const Lines& input) {
    record.add(name);
    for (const std::string& line : simulator_reply(input)) record.add("  " + line);
  };
  for (const char* line : {"", " \t\r", "{", "[]", "{} x", "{}", R"({"what":"party"})",
                           R"({"what":"reminder","proxy_id":9,"label":1})",
                           R"({"what":"registry","proxy_id":3,"buffer":9,"how":"full"})"})
    add(golden::quoted(line), {start[0], line, R"({"what":"eob"})"});
  const Lines events{
      kRequest,
      kReportBack,
      kRegister,
      kRegistry,
      R"({"what":"clock","at_time":1000500})",
      R"({"what":"reminder","proxy_id":3,"label":1})",
      R"({"what":"sampled","proxy_id":3,"store":"cache:1","outcome":"delivered","rtt":10,"report":{"busy":1}})",
      R"({"what":"invalidated","proxy_id":3,"file":"0a","how_old":85000,"bucket":11})",
      R"({"what":"withdrawn","proxy_id":3,"handle":"h0"})",
      R"({"what":"streaming","proxy_id":3,"handle":"h0","n":0})",
      R"({"what":"destroy","proxy_id":3})"};
  for (const std::string& event : events) {
    for_each_change(event, [&](const std::string& change, const std::string& json) {
      // These values are outside the range of their field (a part is unsigned) and have no defined result.
      if (change == "chunk is -1" || change == "lane is -1" || change == "lane is 5000000000") return;
      Lines input = start;
      if (&event != &events[0]) input.push_back(kRequest);
      input.push_back(json);
      input.push_back(R"({"what":"eob"})");
      add(change, input);
    });
  }
  for_each_change(kEnlist, [&](const std::string& change, const std::string& json) {
    add(change, {start[0], json, R"({"what":"eob"})"});
  });
  record.check();
}

}  // namespace
}  // namespace edge_proxy::test
