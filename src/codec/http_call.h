// SPDX-License-Identifier: MIT
/// @file
/// Decodes the one HTTP/1.1 request that the admin address accepts on each connection, and encodes its
/// response. Performs no I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace edge_proxy::codec {

/// Largest request head that is accepted, in bytes.
constexpr std::size_t kMaxCallHead = 8 * 1024;
/// Largest request body that is accepted, in bytes.
constexpr std::size_t kMaxCallBody = 72 * 1024;

/// A complete request.
struct HttpCall {
  std::string method;
  std::string path;  ///< without the query, percent-decoded
  std::string body;  ///< as long as Content-Length states
};

/// Decodes the first request of a byte stream that arrives in pieces of any size. Bytes after its body are
/// ignored.
class HttpCallReader {
 public:
  void feed(std::string_view bytes);
  /// Returns the request once, as soon as its head and body are complete.
  [[nodiscard]] std::optional<HttpCall> next();
  /// True if the received bytes are malformed or too large to be accepted.
  [[nodiscard]] bool is_broken() const { return is_broken_; }
  /// Capacity of the buffer, in bytes.
  [[nodiscard]] std::size_t buffered_bytes() const { return received_.capacity(); }

 private:
  [[nodiscard]] std::optional<HttpCall> read_call(std::size_t head_end);

  std::string received_;
  bool is_done_ = false;
  bool is_broken_ = false;
};

/// Encodes a complete response, after which the connection is closed.
[[nodiscard]] std::string write_http_response(int status, std::string_view body);

}  // namespace edge_proxy::codec
