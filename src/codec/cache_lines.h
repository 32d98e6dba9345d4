// SPDX-License-Identifier: MIT
/// @file
/// The line protocol of the caches: commands are written, responses are read. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace edge_proxy::codec {

/// Largest line and largest body that a cache may send, in bytes.
constexpr std::size_t kMaxLine = 8 * 1024;
constexpr std::size_t kMaxBody = 240'000;

/// Builds a list of fields: `name=value,name=value`, or `-` for none. Names and values hold no `,`, `=` or
/// space.
class FieldList {
 public:
  void add(std::string_view name, std::string_view value);
  [[nodiscard]] std::string_view text() const { return text_.empty() ? std::string_view("-") : text_; }

 private:
  std::string text_;
};

/// The value of a field in such a list, where it is there.
[[nodiscard]] std::optional<std::string_view> field_in(std::string_view list, std::string_view name);

/// Asks for an object; the response carries the same id.
[[nodiscard]] std::string write_request(std::string_view id, const FieldList& fields, std::string_view body);
/// Cancels the request with this id.
[[nodiscard]] std::string write_cancel(std::string_view id);
/// Asks for a load report; the response carries `tag` as its id.
[[nodiscard]] std::string write_health_check(std::string_view tag);

/// The result of a request, or of a health check (`healthy`, `unhealthy`).
enum class CacheResponseStatus { hit, not_modified, not_found, shed, fault, expired, healthy, unhealthy };

/// A complete response.
struct CacheResponse {
  std::string id;
  CacheResponseStatus status = CacheResponseStatus::fault;
  std::string fields;  ///< as FieldList writes them, for field_in()
  std::string body;
};

/// Why a stream can't be read any further.
enum class LineError {
  none,
  line_too_long,
  not_a_response,
  unknown_word,
  body_too_long,
  body_not_terminated
};
/// As log lines show it: the enumerator's name.
[[nodiscard]] std::string_view name_of(LineError error);

/// Reads responses from a stream of bytes, however it is split.
class CacheResponseReader {
 public:
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  /// The next complete response; none where more bytes are needed or after an error.
  [[nodiscard]] std::optional<CacheResponse> next();
  [[nodiscard]] LineError error() const { return error_; }
  /// Capacity of the buffer, in bytes.
  [[nodiscard]] std::size_t buffered_bytes() const { return buffer_.capacity(); }

 private:
  std::optional<CacheResponse> wait_for_bytes();
  /// Reads the next line into `partial_response_`; false: the line is incomplete, or an error is set.
  bool read_head();
  bool parse_head(std::string_view line);

  std::string buffer_;
  std::size_t consumed_ = 0;                       // bytes of `buffer_` that were read
  std::optional<CacheResponse> partial_response_;  // its line was read, its body not yet
  std::size_t body_size_ = 0;                      // of the partial response
  LineError error_ = LineError::none;
};

}  // namespace edge_proxy::codec
