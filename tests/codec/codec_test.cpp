// SPDX-License-Identifier: MIT
// Tests of the codecs: input split at any byte, size limits and typed errors.
#include <gtest/gtest.h>

#include "codec/cache_lines.h"
#include "codec/discovery_events.h"
#include "codec/event_stream.h"
#include "codec/http_call.h"
#include "codec/thrift.h"

namespace edge_proxy::codec {
namespace {

using namespace std::string_literals;

// ---- Thrift ----

/// Returns a 32-bit integer in network byte order.
std::string be32(std::uint32_t value) {
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8) bytes.push_back(static_cast<char>(value >> shift & 0xffU));
  return bytes;
}
std::string length_prefixed(const std::string& value) {
  return be32(static_cast<std::uint32_t>(value.size())) + value;
}
std::string message_header(const std::string& method, int type = 1) {
  return be32(0x80010000U | static_cast<unsigned>(type)) + length_prefixed(method) + be32(7);
}
const std::string kStop("\0", 1);  // ends the fields of a struct

/// Returns a call of `process` with one map entry.
std::string process_call(const std::string& verb, const std::string& body) {
  return message_header("process") + "\x0d\0\1\x0b\x0b"s + be32(1) + length_prefixed("verb") +
         length_prefixed(verb) + "\x0b\0\2"s + length_prefixed(body) + kStop;
}

TEST(ReaderBuffer, IsReleasedAfterALargeMessage) {
  codec::CacheResponseReader responses;
  responses.feed("a HIT - 200000\r\n" + std::string(200'000, 'x') + "\r\n");
  ASSERT_TRUE(responses.next());
  EXPECT_FALSE(responses.next());
  EXPECT_LE(responses.buffered_bytes(), codec::kMaxLine);
  codec::FrameReader frames;
  frames.feed(std::string("\0\0\xc0\0", 4) + std::string(0xc000, 'x'));
  ASSERT_TRUE(frames.next());
  EXPECT_FALSE(frames.next());
  EXPECT_LE(frames.buffered_bytes(), 4096U);
}

TEST(Thrift, SequenceIdIsReadFromTheBeginningOfAFrame) {
  const std::string call_start("\x80\x01\0\x01\0\0\0\x01p\0\0\0\x05", 13);
  EXPECT_EQ(codec::sequence_id_of(call_start), 5);
  EXPECT_EQ(codec::sequence_id_of(call_start.substr(0, 12)), 0);
  EXPECT_EQ(codec::sequence_id_of(std::string(20, 'x')), 0);
}

TEST(Frames, AreReadFromAnySplitOfTheStream) {
  const std::string stream = length_prefixed("one") + length_prefixed("") + length_prefixed("three");
  for (std::size_t split = 0; split <= stream.size(); ++split) {
    FrameReader reader;
    std::vector<std::string> frames;
    for (const auto& part : {stream.substr(0, split), stream.substr(split)}) {
      reader.feed(part);
      while (const auto frame = reader.next()) frames.emplace_back(*frame);
    }
    EXPECT_EQ(frames, (std::vector<std::string>{"one", "", "three"})) << "split at " << split;
  }
}

TEST(Frames, TooLargeFrameIsAnError) {
  FrameReader reader;
  reader.feed(be32(kMaxFrame + 1));
  EXPECT_FALSE(reader.next());
  EXPECT_EQ(reader.error(), FrameError::too_large);
}

TEST(Thrift, ProcessCallIsDecoded) {
  const auto read = read_message(process_call("pages", "some\0bytes"s));
  const auto& message = std::get<Message>(read);
  EXPECT_EQ(message.sequence_id, 7);
  const auto& call = std::get<ProcessCall>(message.call);
  EXPECT_TRUE(call.is_readable);
  EXPECT_EQ(call.fields, (StringMap{{"verb", "pages"}}));
  EXPECT_EQ(call.body, "some\0bytes"s);
}

TEST(Thrift, CancelPingAndUnknownCallsAreDecoded) {
  const auto cancel = read_message(message_header("giveUp", 4) + "\x08\0\1"s + be32(3) + kStop);
  EXPECT_EQ(std::get<CancelCall>(std::get<Message>(cancel).call).sequence_id, 3);
  EXPECT_TRUE(std::holds_alternative<PingCall>(
      std::get<Message>(read_message(message_header("probe") + "\x02\0\1\1"s + kStop)).call));
  const auto unknown = read_message(message_header("noSuchMethod") + "\x0f\0\1\x0c"s + be32(1) + "\x0a\0\1"s +
                                    std::string(8, 'x') + kStop + kStop);
  EXPECT_EQ(std::get<UnknownCall>(std::get<Message>(unknown).call).method, "noSuchMethod");
}

TEST(Thrift, ProcessCallWithWrongArgumentTypesIsNotReadable) {
  const auto is_readable = [](const std::string& arguments) {
    return std::get<ProcessCall>(
               std::get<Message>(read_message(message_header("process") + arguments + kStop)).call)
        .is_readable;
  };
  // No arguments.
  EXPECT_FALSE(is_readable(""));
  // An integer in place of the map.
  EXPECT_FALSE(is_readable("\x08\0\1"s + be32(5)));
  // Integers in place of the map's values.
  EXPECT_FALSE(is_readable("\x0d\0\1\x0b\x08"s + be32(1) + length_prefixed("verb") + be32(1)));
}

TEST(Thrift, TruncatedAndMalformedMessagesAreTypedErrors) {
  const std::string complete = process_call("pages", "body");
  for (std::size_t size = 0; size < complete.size(); ++size) {
    const auto read = read_message(std::string_view(complete).substr(0, size));
    ASSERT_TRUE(std::holds_alternative<MessageError>(read)) << "cut at " << size;
    EXPECT_EQ(std::get<MessageError>(read), MessageError::truncated);
  }
  const auto error = [](const std::string& frame) { return std::get<MessageError>(read_message(frame)); };
  EXPECT_EQ(error(length_prefixed("old style") + kStop), MessageError::not_strict);
  EXPECT_EQ(error(message_header("process", 2)), MessageError::bad_type);
  EXPECT_EQ(error(message_header("noSuchMethod") + "\x7f\0\1"s), MessageError::bad_type);
  // The map's header announces 2^32 - 1 entries.
  EXPECT_EQ(error(message_header("process") + "\x0d\0\1\x0b\x0b"s + be32(0xffffffffU)),
            MessageError::truncated);
  std::string nested = message_header("noSuchMethod");
  for (int i = 0; i < 100000; ++i) nested += "\x0c\0\1"s;
  EXPECT_EQ(error(nested), MessageError::too_deep);
}

TEST(Thrift, TooDeepNestingTakesPrecedenceOverTruncation) {
  std::string nested = message_header("noSuchMethod");
  for (int i = 0; i < 17; ++i) nested += "\x0c\0\1"s;
  nested.resize(nested.size() - 2);  // removes the id of the last field
  const auto read = read_message(nested);
  EXPECT_EQ(std::get<MessageError>(read), MessageError::too_deep);
  EXPECT_EQ(name_of(std::get<MessageError>(read)), "too_deep");
}

// ---- Line protocol of the caches ----

TEST(CacheLines, ResponsesAreReadFromAnySplitOfTheStream) {
  const std::string stream =
      "a HIT ver=t1,born=5 7\r\nx\r\ny\0z\r\nb NONE - 0\r\n\r\nc PONG report=inflight:7 0\r\n\r\n"s;
  const std::string with_body =
      "a HIT ver=t1,born=5 6\r\nx\r\ny\0z\r\n"s + stream.substr(stream.find("b NONE"));
  for (std::size_t split = 0; split <= with_body.size(); ++split) {
    CacheResponseReader reader;
    std::vector<CacheResponse> responses;
    for (const auto& part : {with_body.substr(0, split), with_body.substr(split)}) {
      reader.feed(part);
      while (auto response = reader.next()) responses.push_back(*response);
    }
    ASSERT_EQ(responses.size(), 3U) << "split at " << split;
    EXPECT_EQ(reader.error(), LineError::none);
    EXPECT_EQ(responses[0].id, "a");
    EXPECT_EQ(responses[0].status, CacheResponseStatus::hit);
    EXPECT_EQ(responses[0].body, "x\r\ny\0z"s);
    EXPECT_EQ(field_in(responses[0].fields, "born"), "5");
    EXPECT_EQ(responses[1].status, CacheResponseStatus::not_found);
    EXPECT_EQ(field_in(responses[1].fields, "ver"), std::nullopt);
    EXPECT_EQ(field_in(responses[2].fields, "report"), "inflight:7");
  }
}

TEST(CacheLines, MalformedResponsesAreTypedErrors) {
  const auto error = [](const std::string& bytes) {
    CacheResponseReader reader;
    reader.feed(bytes);
    EXPECT_FALSE(reader.next());
    return reader.error();
  };
  EXPECT_EQ(error("a HIT - x\r\n"), LineError::not_a_response);
  EXPECT_EQ(error("a HIT - -1\r\n"), LineError::not_a_response);
  EXPECT_EQ(error("a HIT\r\n"), LineError::not_a_response);
  EXPECT_EQ(error("a HIT - 1 2\r\n"), LineError::not_a_response);
  EXPECT_EQ(error("a WHAT - 0\r\n"), LineError::unknown_word);
  EXPECT_EQ(error("a HIT - 99999999\r\n"), LineError::body_too_long);
  EXPECT_EQ(error("a HIT - 1\r\nxyz"), LineError::body_not_terminated);
  EXPECT_EQ(error(std::string(kMaxLine + 10, 'x')), LineError::line_too_long);
}

TEST(CacheLines, RequestsAndCancellationsAreEncoded) {
  FieldList fields;
  EXPECT_EQ(write_request("a", fields, ""), "serve a - 0\r\n\r\n");
  fields.add("x", "1");
  fields.add("y", "2");
  EXPECT_EQ(write_request("a", fields, "hi"), "serve a x=1,y=2 2\r\nhi\r\n");
  EXPECT_EQ(write_cancel("a"), "cancel a\r\n");
}

// ---- Event stream of the discovery service ----

std::vector<StreamEvent> events_of(const std::string& bytes, std::size_t split) {
  EventStreamReader reader;
  std::vector<StreamEvent> events;
  for (const auto& part : {bytes.substr(0, split), bytes.substr(split)}) {
    reader.feed(part);
    while (auto event = reader.next()) events.push_back(*event);
  }
  EXPECT_EQ(reader.error(), StreamError::none);
  return events;
}

TEST(EventStream, EventsAreReadFromAnySplitOfPlainAndChunkedStreams) {
  const std::string plain =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\nid: 4\ndata: {\"a\"\ndata: "
      ":1}\n\nid:5\r\ndata:x\r\n\r\n";
  const std::string chunked =
      "HTTP/1.1 200 OK\r\ntransfer-Encoding: Chunked\r\n\r\n9\r\n: hello\n\n\r\n12;x=y\r\nid: 4\ndata: "
      "{\"a\"\nd\r\n"
      "19\r\nata: :1}\n\nid:5\r\ndata:x\r\n\r\r\n1\r\n\n\r\n";
  for (const std::string& stream : {plain, chunked}) {
    for (std::size_t split = 0; split <= stream.size(); ++split) {
      const auto events = events_of(stream, split);
      ASSERT_EQ(events.size(), 2U) << "split at " << split;
      EXPECT_EQ(events[0].id, "4");
      EXPECT_EQ(events[0].data, "{\"a\"\n:1}");
      EXPECT_EQ(events[1].id, "5");
      EXPECT_EQ(events[1].data, "x");
    }
  }
}

TEST(EventStream, MalformedStreamsAreTypedErrors) {
  const auto error = [](const std::string& bytes) {
    EventStreamReader reader;
    reader.feed(bytes);
    EXPECT_FALSE(reader.next());
    return reader.error();
  };
  const std::string status_line = "HTTP/1.1 200 OK\r\n";
  EXPECT_EQ(error("HTTP/1.1 404 Not Found\r\n\r\n"), StreamError::not_ok);
  EXPECT_EQ(error(std::string(kMaxHead + 1, 'x')), StreamError::head_too_long);
  EXPECT_EQ(error(status_line + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"), StreamError::bad_chunk);
  EXPECT_EQ(error(status_line + "\r\ndata: " + std::string(kMaxEvent, 'x')), StreamError::event_too_long);
}

TEST(DiscoveryEvents, EventsAreReadAndErrorsNameTheField) {
  const DiscoveryNames names{{"north", "east"}, {"std", "origin"}};
  const auto list = parse_discovery_event(
      R"({"no":41,"roster":{"revision":7,"complete":true,"members":[{"id":"s-1","host_port":"10.1.0.9:9090",)"
      R"("locality":"east","flavor":"std","cell":2,"phase":"leaving","size":4,"up_since_ms":1764576000123}]}})",
      names);
  EXPECT_EQ(list.number, 41);
  ASSERT_TRUE(list.endpoints && list.endpoints->is_complete);
  const ListedEndpoint& listed = list.endpoints->endpoints.at(0);
  EXPECT_EQ(listed.address, "10.1.0.9:9090");
  EXPECT_EQ(listed.endpoint.zone, 1);
  EXPECT_EQ(listed.endpoint.kind, 0);
  EXPECT_EQ(listed.endpoint.state, EndpointState::draining);
  EXPECT_EQ(listed.endpoint.started, std::chrono::milliseconds(1764576000123));

  const auto group_event = parse_discovery_event(R"({"no":43,"recall":{"lot":17,"issued":1000}})", names);
  ASSERT_TRUE(group_event.invalidation);
  EXPECT_FALSE(group_event.invalidation->object);
  EXPECT_EQ(group_event.invalidation->group, 17);
  // The service rounds the time down to a millisecond, so a copy made within that millisecond may be older
  // than the invalidation.
  EXPECT_EQ(group_event.invalidation->issued_at, std::chrono::milliseconds(1001));

  const auto problem = [&names](const char* json) -> std::string {
    try {
      static_cast<void>(parse_discovery_event(json, names));
    } catch (const FieldError& error) {
      return error.what();
    }
    return "none";
  };
  EXPECT_EQ(problem(R"({"roster":{}})"), "field 'no': is missing");
  EXPECT_EQ(problem(R"({"no":1,"roster":{"members":[{"id":"s","phase":"odd"}]}})"),
            "field 'roster.members[0].phase': has the unknown value 'odd'");
  EXPECT_EQ(problem(R"({"no":1,"recall":{"lot":1,"issued":9000000000000000000}})"),
            "field 'recall.issued': is out of range");
  EXPECT_EQ(problem(R"({"no":1,"recall":{"lot":1}})"), "field 'recall.issued': is missing");
  EXPECT_NE(problem("{").find("not JSON"), std::string::npos);
  EXPECT_NE(problem("[]"), "none");
}

// ---- HTTP requests to the admin address ----

TEST(HttpCall, RequestIsReadOnceFromSingleBytes) {
  HttpCallReader reader;
  const std::string bytes = "POST /v1/a%2fb?x=1 HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}";
  std::optional<HttpCall> call;
  for (const char byte : bytes) {
    reader.feed(std::string_view(&byte, 1));
    if (auto read = reader.next()) {
      EXPECT_FALSE(call);  // it is returned only once
      call = std::move(read);
    }
  }
  ASSERT_TRUE(call);
  EXPECT_EQ(call->method, "POST");
  EXPECT_EQ(call->path, "/v1/a/b");
}

TEST(HttpCall, MalformedAndEndlessRequestsAreBroken) {
  for (const std::string& bytes :
       {std::string("hello\r\n\r\n"), std::string("GET /%zz HTTP/1.1\r\n\r\n"),
        std::string(" / HTTP/1.1\r\n\r\n"), std::string("GET / FTP\r\n\r\n"), std::string(100'000, 'x')}) {
    HttpCallReader reader;
    reader.feed(bytes);
    EXPECT_FALSE(reader.next());
    EXPECT_TRUE(reader.is_broken()) << bytes.substr(0, 40);
  }
}

}  // namespace
}  // namespace edge_proxy::codec
