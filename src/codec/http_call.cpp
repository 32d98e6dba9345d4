// SPDX-License-Identifier: MIT
#include "codec/http_call.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace edge_proxy::codec {
namespace {

/// A path without its query and with its escapes read; none where an escape is faulty.
std::optional<std::string> read_path(std::string_view target) {
  target = target.substr(0, target.find('?'));
  std::string path;
  while (!target.empty()) {
    if (target.front() != '%') {
      path.push_back(target.front());
      target.remove_prefix(1);
      continue;
    }
    unsigned value = 0;
    const std::string_view digits = target.substr(1, 2);
    const auto [end, problem] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    if (digits.size() != 2 || problem != std::errc{} || end != digits.data() + 2) return std::nullopt;
    path.push_back(static_cast<char>(value));
    target.remove_prefix(3);
  }
  return path;
}

/// What the head says of the body's length; 0 where it says nothing, none where that can't be read.
std::optional<std::size_t> body_length(std::string_view head) {
  constexpr std::string_view kName = "\r\ncontent-length:";
  std::string low(head);
  std::transform(low.begin(), low.end(), low.begin(),
                 [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
  std::size_t at = low.find(kName);
  if (at == std::string::npos) return 0;
  for (at += kName.size(); low[at] == ' '; ++at) {
  }
  std::size_t length = 0;
  const auto [end, problem] = std::from_chars(low.data() + at, low.data() + low.size(), length);
  if (problem != std::errc{} || *end != '\r') return std::nullopt;
  return length;
}

std::string_view reason_of(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 202:
      return "Accepted";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 422:
      return "Unprocessable Content";
    default:
      return "Service Unavailable";
  }
}

}  // namespace

void HttpCallReader::feed(std::string_view bytes) {
  if (is_done_ || is_broken_) return;
  // Guards the memory against a head that never ends.
  constexpr std::size_t kMost = kMaxCallHead + kMaxCallBody + 1;
  head_.append(bytes.substr(0, kMost - std::min(head_.size(), kMost)));
}

std::optional<HttpCall> HttpCallReader::next() {
  if (is_done_ || is_broken_) return std::nullopt;
  const std::size_t end = head_.find("\r\n\r\n");
  if (end == std::string::npos) {
    is_broken_ = head_.size() > kMaxCallHead;
    return std::nullopt;
  }
  const std::string_view line = std::string_view(head_).substr(0, head_.find("\r\n"));
  const std::size_t first = line.find(' ');
  const std::size_t second = line.find(' ', first == std::string_view::npos ? first : first + 1);
  is_broken_ = second == std::string_view::npos || first == 0 || line.substr(second + 1, 7) != "HTTP/1.";
  if (is_broken_) return std::nullopt;
  auto path = read_path(line.substr(first + 1, second - first - 1));
  is_broken_ = !path || path->empty();
  if (is_broken_) return std::nullopt;
  const auto length = body_length(std::string_view(head_).substr(0, end + 2));
  is_broken_ = !length || *length > kMaxCallBody || end > kMaxCallHead;
  if (is_broken_ || head_.size() - end - 4 < *length) return std::nullopt;
  HttpCall call{std::string(line.substr(0, first)), std::move(*path), head_.substr(end + 4, *length)};
  is_done_ = true;
  std::string().swap(head_);
  return call;
}

std::string write_http_response(int status, std::string_view body) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
  out.append(reason_of(status))
      .append("\r\nContent-Type: text/plain\r\nConnection: close\r\nContent-Length: ");
  out.append(std::to_string(body.size())).append("\r\n\r\n").append(body);
  return out;
}

}  // namespace edge_proxy::codec
