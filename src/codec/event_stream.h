// SPDX-License-Identifier: MIT
/// @file
/// Server-sent events over HTTP/1.1, as the bulletin sends them. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace edge_proxy::codec {

constexpr std::size_t kMaxHead = 16 * 1024;
constexpr std::size_t kMaxEvent = 1024 * 1024;

struct StreamEvent {
  std::string id;
  std::string data;
};

enum class StreamError { none, head_too_long, not_ok, bad_chunk, event_too_long };

std::string write_stream_request(std::string_view host, std::string_view path,
                                 std::string_view last_event_id);

/// Takes events out of an HTTP response, chunked or not, however its bytes are split. Comments are passed
/// over: that their lines came at all is what they tell.
class EventStreamReader {
 public:
  void feed(std::string_view bytes);
  std::optional<StreamEvent> next();
  /// Its head and its lines that were read to their ends so far.
  [[nodiscard]] std::uint64_t lines() const { return lines_; }
  [[nodiscard]] StreamError error() const { return error_; }

 private:
  bool read_head();
  void unchunk();

  std::string raw_;   // of the head and the chunks
  std::string text_;  // of the stream itself
  bool in_body_ = false, chunked_ = false;
  std::size_t chunk_left_ = 0;
  bool chunk_open_ = false;
  StreamEvent event_;
  bool has_data_ = false;
  std::uint64_t lines_ = 0;
  StreamError error_ = StreamError::none;
};

}  // namespace edge_proxy::codec
