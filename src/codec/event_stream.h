// SPDX-License-Identifier: MIT
/// @file
/// Server-sent events over HTTP/1.1, as the discovery service sends them. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace edge_proxy::codec {

/// Largest response head, and largest event and chunk, that are accepted, in bytes.
constexpr std::size_t kMaxHead = 16 * 1024;
constexpr std::size_t kMaxEvent = 1024 * 1024;

/// One event; an absent field is empty.
struct StreamEvent {
  std::string id;
  std::string data;  ///< its lines joined by newlines
};

/// Why a stream can't be read any further; `not_ok`: its status is not 200.
enum class StreamError { none, head_too_long, not_ok, bad_chunk, event_too_long };

/// The error's name, for log lines.
[[nodiscard]] std::string_view name_of(StreamError error);

/// The request for the events after `last_event_id`.
[[nodiscard]] std::string write_stream_request(std::string_view host, std::string_view path,
                                               std::string_view last_event_id);

/// Reads events from an HTTP response, chunked or not, however its bytes are split. Comments are ignored
/// except in lines(), which shows that the stream is alive.
class EventStreamReader {
 public:
  void feed(std::string_view bytes);
  /// The next complete event; none where more bytes are needed or after an error.
  [[nodiscard]] std::optional<StreamEvent> next();
  /// How many lines of the stream were read so far; its head counts as one.
  [[nodiscard]] std::uint64_t lines() const { return lines_; }
  [[nodiscard]] StreamError error() const { return error_; }

 private:
  bool read_head();
  /// Moves the bytes of complete chunk parts from `received_` to `decoded_`.
  void decode_chunks();
  /// Reads the size of the next chunk; returns the position after it in `received_`, or none where bytes are
  /// missing or an error is set.
  std::optional<std::size_t> read_chunk_header(std::size_t position);
  /// Takes the next line of `decoded_` off, without its end; none where it is incomplete.
  std::optional<std::string> take_line();
  void read_field(std::string_view line);

  std::string received_;  // received: the head, then chunks or the stream itself
  std::string decoded_;   // of the stream itself
  bool in_body_ = false;
  bool is_chunked_ = false;
  std::size_t chunk_remaining_ = 0;  // bytes of the current chunk that are not yet in `decoded_`
  bool has_previous_chunk_ = false;  // its line end stands before the next size
  StreamEvent event_;
  bool has_data_ = false;
  std::uint64_t lines_ = 0;
  StreamError error_ = StreamError::none;
};

}  // namespace edge_proxy::codec
