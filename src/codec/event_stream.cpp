// SPDX-License-Identifier: MIT
#include "codec/event_stream.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "codec/ascii.h"

namespace edge_proxy::codec {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kVersionPrefix = "http/1.";
constexpr std::string_view kOkStatus = " 200";
constexpr std::size_t kStatusOffset = 8;  // position of kOkStatus in the status line
constexpr std::size_t kMaxChunkHeaderBytes = 1024;
constexpr int kHexadecimal = 16;
constexpr std::size_t kMaxIdleBuffer = 16 * 1024;  // buffer capacity that is kept between events, in bytes

/// Tests whether a response head has status 200. `head` is in lower case.
bool is_ok(std::string_view head) {
  return head.starts_with(kVersionPrefix) && head.find(kOkStatus) == kStatusOffset;
}

/// Tests whether a response head announces the chunked transfer coding. `head` is in lower case.
bool has_chunked_coding(std::string_view head) {
  constexpr std::string_view kName = "\r\ntransfer-encoding:";
  const std::size_t field = head.find(kName);
  if (field == std::string_view::npos) return false;
  const std::string_view line = head.substr(field + kLineEnd.size());
  return line.substr(0, line.find(kLineEnd)).find("chunked") != std::string_view::npos;
}

}  // namespace

std::string_view name_of(StreamError error) {
  switch (error) {
    case StreamError::none:
      return "none";
    case StreamError::head_too_long:
      return "head_too_long";
    case StreamError::not_ok:
      return "not_ok";
    case StreamError::bad_chunk:
      return "bad_chunk";
    case StreamError::event_too_long:
      return "event_too_long";
  }
  return "unknown";
}

std::string write_stream_request(std::string_view host, std::string_view path,
                                 std::string_view last_event_id) {
  std::string request;
  request.append("GET ").append(path).append(" HTTP/1.1\r\nHost: ").append(host);
  request.append("\r\nAccept: text/event-stream\r\nLast-Event-ID: ").append(last_event_id).append("\r\n\r\n");
  return request;
}

void EventStreamReader::feed(std::string_view bytes) {
  if (error_ != StreamError::none) return;
  received_.append(bytes);
  if (!in_body_ && !read_head()) return;
  if (is_chunked_) {
    decode_chunks();
  } else {
    append_decoded(received_);
    received_.clear();
  }
}

bool EventStreamReader::read_head() {
  const std::size_t end = received_.find(kHeadEnd);
  if (end == std::string::npos) {
    if (received_.size() > kMaxHead) error_ = StreamError::head_too_long;
    return false;
  }
  const std::string head = to_lower(std::string_view(received_).substr(0, end));
  received_.erase(0, end + kHeadEnd.size());
  if (!is_ok(head)) {
    error_ = StreamError::not_ok;
    return false;
  }
  is_chunked_ = has_chunked_coding(head);
  in_body_ = true;
  ++lines_;
  return true;
}

void EventStreamReader::decode_chunks() {
  std::size_t position = 0;
  while (position < received_.size()) {
    if (chunk_remaining_ == 0) {
      const std::optional<std::size_t> data_start = read_chunk_header(position);
      if (!data_start) break;
      position = *data_start;
      continue;
    }
    const std::size_t part = std::min(chunk_remaining_, received_.size() - position);
    append_decoded(std::string_view(received_).substr(position, part));
    position += part;
    chunk_remaining_ -= part;
  }
  received_.erase(0, position);
}

std::optional<std::size_t> EventStreamReader::read_chunk_header(std::size_t position) {
  const std::string_view header = std::string_view(received_).substr(position);
  std::size_t start = 0;
  if (has_previous_chunk_) {
    if (header.size() < kLineEnd.size()) return std::nullopt;
    if (!header.starts_with(kLineEnd)) {
      error_ = StreamError::bad_chunk;
      return std::nullopt;
    }
    start = kLineEnd.size();
  }
  const std::size_t end = header.find(kLineEnd, start);
  if (end == std::string_view::npos) {
    if (header.size() - start > kMaxChunkHeaderBytes) error_ = StreamError::bad_chunk;
    return std::nullopt;
  }
  const char* const size_end = header.data() + end;
  const auto [parsed_end, error] =
      std::from_chars(header.data() + start, size_end, chunk_remaining_, kHexadecimal);
  const bool is_terminated = parsed_end == size_end || *parsed_end == ';';
  if (error != std::errc{} || !is_terminated || chunk_remaining_ > max_event_bytes_) {
    error_ = StreamError::bad_chunk;
    return std::nullopt;
  }
  has_previous_chunk_ = true;
  return position + end + kLineEnd.size();
}

void EventStreamReader::append_decoded(std::string_view bytes) {
  const std::size_t size = decoded_.size() + bytes.size();
  if (size > decoded_.capacity()) {
    std::string grown;  // a new string, since reserve() of an existing one doubles its capacity
    grown.reserve(std::max(size, std::min(2 * decoded_.capacity(), max_event_bytes_)));
    grown.append(decoded_);
    decoded_.swap(grown);
  }
  decoded_.append(bytes);
}

std::optional<std::string_view> EventStreamReader::take_line() {
  const std::size_t end = decoded_.find('\n', taken_);
  if (end == std::string::npos) return std::nullopt;
  ++lines_;
  std::string_view line = std::string_view(decoded_).substr(taken_, end - taken_);
  taken_ = end + 1;
  if (line.ends_with('\r')) line.remove_suffix(1);
  return line;
}

void EventStreamReader::release_lines() {
  decoded_.erase(0, std::exchange(taken_, 0));
  if (decoded_.empty() && decoded_.capacity() > kMaxIdleBuffer) std::string().swap(decoded_);
}

void EventStreamReader::read_field(std::string_view line) {
  const std::size_t colon = std::min(line.find(':'), line.size());
  const std::string_view name = line.substr(0, colon);
  std::string_view value = line.substr(std::min(colon + 1, line.size()));
  if (value.starts_with(' ')) value.remove_prefix(1);
  if (name == "id") {
    event_.id = value;
  } else if (name == "data") {
    if (std::exchange(has_data_, true)) event_.data += '\n';
    event_.data += value;
    if (event_.data.size() > max_event_bytes_) error_ = StreamError::event_too_long;
  }
}

std::optional<StreamEvent> EventStreamReader::next() {
  while (const std::optional<std::string_view> line = take_line()) {
    if (!line->empty()) {
      read_field(*line);
      continue;
    }
    StreamEvent event = std::exchange(event_, {});
    if (!std::exchange(has_data_, false)) continue;
    release_lines();
    return event;
  }
  release_lines();
  // Bounds the memory that an endless line or event can take.
  if (decoded_.size() + event_.data.size() > max_event_bytes_) error_ = StreamError::event_too_long;
  return std::nullopt;
}

}  // namespace edge_proxy::codec
