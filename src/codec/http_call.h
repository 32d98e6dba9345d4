// SPDX-License-Identifier: MIT
/// @file
/// One HTTP/1.1 request on a connection of its own, as the admin address accepts it. No I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace edge_proxy::codec {

/// Largest head and body of a request that are accepted, in bytes.
constexpr std::size_t kMaxCallHead = 8 * 1024;
constexpr std::size_t kMaxCallBody = 72 * 1024;

/// A complete request.
struct HttpCall {
  std::string method;
  std::string path;  ///< without its query, percent-decoded
  std::string body;  ///< of the length that Content-Length gives
};

/// Reads the first request of a stream of bytes, however it is split. What follows its body is ignored.
class HttpCallReader {
 public:
  void feed(std::string_view bytes);
  /// The request, once, when its head and body are complete.
  [[nodiscard]] std::optional<HttpCall> next();
  /// The bytes received can't become a request that is accepted.
  [[nodiscard]] bool is_broken() const { return is_broken_; }

 private:
  [[nodiscard]] std::optional<HttpCall> read_call(std::size_t head_end);

  std::string received_;
  bool is_done_ = false;
  bool is_broken_ = false;
};

/// A complete response, after which the connection is closed.
[[nodiscard]] std::string write_http_response(int status, std::string_view body);

}  // namespace edge_proxy::codec
