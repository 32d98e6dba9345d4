// SPDX-License-Identifier: MIT
#include "codec/event_stream.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace edge_proxy::codec {

std::string write_stream_request(std::string_view host, std::string_view path,
                                 std::string_view last_event_id) {
  std::string out;
  out.append("GET ").append(path).append(" HTTP/1.1\r\nHost: ").append(host);
  out.append("\r\nAccept: text/event-stream\r\nLast-Event-ID: ").append(last_event_id).append("\r\n\r\n");
  return out;
}

void EventStreamReader::feed(std::string_view bytes) {
  if (error_ != StreamError::none) return;
  raw_.append(bytes);
  if (!in_body_ && !read_head()) return;
  if (chunked_) {
    unchunk();
  } else {
    text_.append(std::exchange(raw_, {}));
  }
}

bool EventStreamReader::read_head() {
  const std::size_t end = raw_.find("\r\n\r\n");
  if (end == std::string::npos) {
    if (raw_.size() > kMaxHead) error_ = StreamError::head_too_long;
    return false;
  }
  std::string head = raw_.substr(0, end);
  raw_.erase(0, end + 4);
  std::transform(head.begin(), head.end(), head.begin(),
                 [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
  if (head.compare(0, 7, "http/1.") != 0 || head.find(" 200") != 8) {
    error_ = StreamError::not_ok;
    return false;
  }
  const std::size_t coding = head.find("\r\ntransfer-encoding:");
  chunked_ = coding != std::string::npos &&
             head.substr(coding + 2, head.find("\r\n", coding + 2) - coding - 2).find("chunked") !=
                 std::string::npos;
  in_body_ = true;
  ++lines_;
  return true;
}

void EventStreamReader::unchunk() {
  std::size_t at = 0;
  while (at < raw_.size()) {
    if (chunk_left_ > 0) {
      const std::size_t part = std::min(chunk_left_, raw_.size() - at);
      text_.append(raw_, at, part);
      at += part;
      chunk_left_ -= part;
      continue;
    }
    // Between chunks: the end of the last one, if there was one, then the size of the next.
    std::size_t start = at;
    if (chunk_open_) {
      if (raw_.size() - at < 2) break;
      if (raw_.compare(at, 2, "\r\n") != 0) {
        error_ = StreamError::bad_chunk;
        break;
      }
      start += 2;
    }
    const std::size_t end = raw_.find("\r\n", start);
    if (end == std::string::npos) {
      if (raw_.size() - start > 1024) error_ = StreamError::bad_chunk;
      break;
    }
    const auto [stop, problem] = std::from_chars(raw_.data() + start, raw_.data() + end, chunk_left_, 16);
    if (problem != std::errc{} || (stop != raw_.data() + end && *stop != ';') || chunk_left_ > kMaxEvent) {
      error_ = StreamError::bad_chunk;
      break;
    }
    chunk_open_ = true;
    at = end + 2;
  }
  raw_.erase(0, at);
}

std::optional<StreamEvent> EventStreamReader::next() {
  while (true) {
    const std::size_t end = text_.find('\n');
    if (end == std::string::npos) {
      // Guards against an endless line or event filling the memory.
      if (text_.size() + event_.data.size() > kMaxEvent) error_ = StreamError::event_too_long;
      return std::nullopt;
    }
    ++lines_;
    std::string line = text_.substr(0, end);
    text_.erase(0, end + 1);
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (line.empty()) {
      if (std::exchange(has_data_, false)) return std::exchange(event_, {});
      event_ = {};
      continue;
    }
    const std::size_t colon = std::min(line.find(':'), line.size());
    std::string_view value = std::string_view(line).substr(std::min(colon + 1, line.size()));
    if (!value.empty() && value.front() == ' ') value.remove_prefix(1);
    const std::string_view name = std::string_view(line).substr(0, colon);
    if (name == "id") {
      event_.id = value;
    } else if (name == "data") {
      if (std::exchange(has_data_, true)) event_.data += '\n';
      event_.data += value;
      if (event_.data.size() > kMaxEvent) error_ = StreamError::event_too_long;
    }
  }
}

}  // namespace edge_proxy::codec
