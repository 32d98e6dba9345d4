// SPDX-License-Identifier: MIT
/// @file
/// The line protocol to the caches: commands out, answers in. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace edge_proxy::codec {

/// Bounds on what a cache may send: its lines, and the bytes of an object.
constexpr std::size_t kMaxLine = 8 * 1024;
constexpr std::size_t kMaxBody = 240'000;

/// Builds a list of fields, `name=value,name=value`, or `-`.
class FieldList {
 public:
  void add(std::string_view name, std::string_view value);
  [[nodiscard]] std::string_view text() const { return text_.empty() ? std::string_view("-") : text_; }

 private:
  std::string text_;
};

/// The value of a field in such a list, if it is there.
std::optional<std::string_view> field_in(std::string_view list, std::string_view name);

std::string write_request(std::string_view id, const FieldList& fields, std::string_view body);
std::string write_cancel(std::string_view id);
std::string write_health_check(std::string_view tag);

enum class CacheResponseStatus { hit, not_modified, not_found, shed, fault, expired, healthy, unhealthy };

struct CacheResponse {
  std::string id;
  CacheResponseStatus status = CacheResponseStatus::fault;
  std::string fields;
  std::string body;
};

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

/// Takes answers out of a stream of bytes, however it is split.
class CacheResponseReader {
 public:
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  std::optional<CacheResponse> next();
  [[nodiscard]] LineError error() const { return error_; }
  /// Bytes of memory held.
  [[nodiscard]] std::size_t buffered_bytes() const { return buffer_.capacity(); }

 private:
  std::optional<CacheResponse> fail(LineError error);
  bool read_head(std::string_view line);
  std::optional<CacheResponse> wait_for_body();

  std::string buffer_;
  std::size_t consumed_ = 0;
  std::optional<CacheResponse> partial_response_;  // its line is in, its body not yet
  std::size_t body_size_ = 0;
  LineError error_ = LineError::none;
};

}  // namespace edge_proxy::codec
