// SPDX-License-Identifier: MIT
/// @file
/// The line protocol of the caches, parents and the origin: encodes commands and decodes responses. Performs
/// no I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace edge_proxy::codec {

/// Largest response line that a cache may send, in bytes.
constexpr std::size_t kMaxLine = 8 * 1024;
/// Buffer capacity that an idle connection keeps, in bytes.
constexpr std::size_t kMaxIdleResponseBuffer = 1024;
/// Largest response body that a cache may send, in bytes.
constexpr std::size_t kMaxBody = 240'000;

/// Builds a field list: `name=value,name=value`, or `-` for an empty list. Names and values must not contain
/// `,`, `=` or a space.
class FieldList {
 public:
  void add(std::string_view name, std::string_view value);
  [[nodiscard]] std::string_view text() const { return text_.empty() ? std::string_view("-") : text_; }

 private:
  std::string text_;
};

/// Returns the value of the field `name` in an encoded field list; none if the list does not contain it.
[[nodiscard]] std::optional<std::string_view> field_in(std::string_view list, std::string_view name);

/// Encodes a request for an object; the response carries the same id.
[[nodiscard]] std::string write_request(std::string_view id, const FieldList& fields, std::string_view body);
/// Encodes the cancellation of the request with this id.
[[nodiscard]] std::string write_cancel(std::string_view id);
/// Encodes a health check, which asks for a load report; the response carries `tag` as its id.
[[nodiscard]] std::string write_health_check(std::string_view tag);

/// Result of a request, or of a health check (`healthy`, `unhealthy`).
enum class CacheResponseStatus { hit, not_modified, not_found, shed, fault, expired, healthy, unhealthy };

/// A complete response of a cache.
struct CacheResponse {
  std::string id;
  CacheResponseStatus status = CacheResponseStatus::fault;
  std::string fields;  ///< encoded as by FieldList; read with field_in()
  std::string body;
};

/// Reason why the stream cannot be decoded any further.
enum class LineError {
  none,
  line_too_long,
  not_a_response,
  unknown_word,
  body_too_long,
  body_not_terminated
};
/// Returns the enumerator's name, for log lines.
[[nodiscard]] std::string_view name_of(LineError error);

/// Decodes responses from a byte stream that arrives in pieces of any size.
class CacheResponseReader {
 public:
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  /// Returns the next complete response; none if more bytes are needed or an error has occurred.
  [[nodiscard]] std::optional<CacheResponse> next();
  [[nodiscard]] LineError error() const { return error_; }
  /// Capacity of the buffer, in bytes.
  [[nodiscard]] std::size_t buffered_bytes() const { return buffer_.capacity(); }
  /// Whether an incomplete response has been received.
  [[nodiscard]] bool has_partial_response() const {
    return partial_response_.has_value() || buffer_.size() > consumed_;
  }
  /// Returns the id of the incomplete response; empty if its line is incomplete or there is none.
  [[nodiscard]] std::string_view partial_response_id() const {
    return partial_response_ ? std::string_view(partial_response_->id) : std::string_view();
  }

 private:
  std::optional<CacheResponse> wait_for_bytes();
  /// Parses the next line into `partial_response_`. Returns false if the line is incomplete or an error is
  /// set.
  bool read_head();
  bool parse_head(std::string_view line);

  std::string buffer_;
  std::size_t consumed_ = 0;                       // bytes at the front of `buffer_` that are already decoded
  std::optional<CacheResponse> partial_response_;  // the line is parsed, the body is not complete
  std::size_t body_size_ = 0;                      // body length of the partial response
  LineError error_ = LineError::none;
};

}  // namespace edge_proxy::codec
