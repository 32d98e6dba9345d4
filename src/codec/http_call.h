// SPDX-License-Identifier: MIT
/// @file
/// One HTTP/1.1 call on a connection of its own, as the second address takes it. No I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace edge_proxy::codec {

constexpr std::size_t kMaxCallHead = 8 * 1024;
constexpr std::size_t kMaxCallBody = 72 * 1024;

struct HttpCall {
  std::string method;
  std::string path;  ///< without a query, its escapes read
  std::string body;  ///< as long as the head says
};

/// Takes the first call out of a stream of bytes, however it is split. What follows its body is passed over.
class HttpCallReader {
 public:
  void feed(std::string_view bytes);
  /// The call, once, when its head and body are whole.
  std::optional<HttpCall> next();
  /// What came can't become a call.
  [[nodiscard]] bool is_broken() const { return is_broken_; }

 private:
  std::string head_;
  bool is_done_ = false, is_broken_ = false;
};

/// A whole answer, after which the connection ends.
std::string write_http_response(int status, std::string_view body);

}  // namespace edge_proxy::codec
