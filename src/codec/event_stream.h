// SPDX-License-Identifier: MIT
/// @file
/// Server-sent events over HTTP/1.1, as the discovery service sends them. Performs no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace edge_proxy::codec {

/// Largest response head that is accepted, in bytes.
constexpr std::size_t kMaxHead = 16 * 1024;
/// Largest event, and largest chunk, that is accepted unless the reader has a lower limit, in bytes.
constexpr std::size_t kMaxEvent = 1024 * 1024;

/// One event; a field absent from the stream is empty.
struct StreamEvent {
  std::string id;
  std::string data;  ///< the `data` lines, joined by newlines
};

/// Reason why the stream cannot be decoded any further; `not_ok`: the response status is not 200.
enum class StreamError { none, head_too_long, not_ok, bad_chunk, event_too_long };

/// Returns the enumerator's name, for log lines.
[[nodiscard]] std::string_view name_of(StreamError error);

/// Encodes the HTTP request for the events after `last_event_id`.
[[nodiscard]] std::string write_stream_request(std::string_view host, std::string_view path,
                                               std::string_view last_event_id);

/// Decodes events from an HTTP response, chunked or not, that arrives in pieces of any size. Comments are
/// ignored, but lines() counts them as a sign that the stream is alive.
class EventStreamReader {
 public:
  /// `max_event_bytes`: largest event, and largest chunk, that is accepted.
  explicit EventStreamReader(std::size_t max_event_bytes = kMaxEvent) : max_event_bytes_(max_event_bytes) {}

  void feed(std::string_view bytes);
  /// Returns the next complete event; none if more bytes are needed or an error has occurred.
  [[nodiscard]] std::optional<StreamEvent> next();
  /// Number of lines decoded so far; the response head counts as one.
  [[nodiscard]] std::uint64_t lines() const { return lines_; }
  [[nodiscard]] StreamError error() const { return error_; }

 private:
  bool read_head();
  /// Moves the chunk data received so far from `received_` to `decoded_`.
  void decode_chunks();
  /// Parses the size line of the next chunk, which starts at `position` in `received_`. Returns the position
  /// after the line; none if the line is incomplete or an error is set.
  std::optional<std::size_t> read_chunk_header(std::size_t position);
  /// Appends to `decoded_`, whose capacity grows by no more than is needed for the largest event.
  void append_decoded(std::string_view bytes);
  /// Returns the next line of `decoded_` without its line end; none if it is incomplete. The line stays valid
  /// until bytes are fed or release_lines() is called.
  std::optional<std::string_view> take_line();
  /// Discards the lines that were taken.
  void release_lines();
  void read_field(std::string_view line);

  std::size_t max_event_bytes_;
  std::string received_;   // raw bytes: the response head, then the body as sent
  std::string decoded_;    // body with the chunked coding removed
  std::size_t taken_ = 0;  // bytes at the front of `decoded_` that were returned as lines
  bool in_body_ = false;
  bool is_chunked_ = false;
  std::size_t chunk_remaining_ = 0;  // bytes of the current chunk not yet moved to `decoded_`
  bool has_previous_chunk_ = false;  // true: a line end precedes the next chunk's size
  StreamEvent event_;
  bool has_data_ = false;
  std::uint64_t lines_ = 0;
  StreamError error_ = StreamError::none;
};

}  // namespace edge_proxy::codec
