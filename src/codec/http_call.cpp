// SPDX-License-Identifier: MIT
#include "codec/http_call.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "codec/ascii.h"

namespace edge_proxy::codec {
namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kVersionPrefix = "HTTP/1.";
// Response statuses of the admin address.
constexpr int kStatusOk = 200;
constexpr int kStatusAccepted = 202;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusMethodNotAllowed = 405;
constexpr int kStatusConflict = 409;
constexpr int kStatusContentTooLarge = 413;
constexpr int kStatusUnprocessableContent = 422;

constexpr int kHexadecimal = 16;
constexpr std::size_t kEscapeDigits = 2;

/// Decodes the two hexadecimal digits of a percent escape; none if they are malformed.
std::optional<char> decode_escape(std::string_view digits) {
  unsigned value = 0;
  const char* const digits_end = digits.data() + digits.size();
  const auto [end, error] = std::from_chars(digits.data(), digits_end, value, kHexadecimal);
  if (digits.size() != kEscapeDigits || error != std::errc{} || end != digits_end) return std::nullopt;
  return static_cast<char>(value);
}

/// Returns the percent-decoded path of a request target, without its query; none if an escape is malformed.
std::optional<std::string> decode_path(std::string_view target) {
  target = target.substr(0, target.find('?'));
  std::string path;
  while (!target.empty()) {
    if (target.front() != '%') {
      path.push_back(target.front());
      target.remove_prefix(1);
      continue;
    }
    const std::optional<char> byte = decode_escape(target.substr(1, kEscapeDigits));
    if (!byte) return std::nullopt;
    path.push_back(*byte);
    target.remove_prefix(1 + kEscapeDigits);
  }
  return path;
}

/// Returns the Content-Length of a head whose every line, the last included, ends in CRLF: 0 if the header is
/// absent, none if it is malformed.
std::optional<std::size_t> content_length(std::string_view head) {
  constexpr std::string_view kName = "\r\ncontent-length:";
  const std::string lowered = to_lower(head);
  std::size_t position = lowered.find(kName);
  if (position == std::string::npos) return 0;
  position += kName.size();
  while (lowered[position] == ' ') ++position;
  std::size_t length = 0;
  const auto [end, error] =
      std::from_chars(lowered.data() + position, lowered.data() + lowered.size(), length);
  if (error != std::errc{} || *end != '\r') return std::nullopt;
  return length;
}

std::string_view reason_phrase(int status) {
  switch (status) {
    case kStatusOk:
      return "OK";
    case kStatusAccepted:
      return "Accepted";
    case kStatusBadRequest:
      return "Bad Request";
    case kStatusNotFound:
      return "Not Found";
    case kStatusMethodNotAllowed:
      return "Method Not Allowed";
    case kStatusConflict:
      return "Conflict";
    case kStatusContentTooLarge:
      return "Content Too Large";
    case kStatusUnprocessableContent:
      return "Unprocessable Content";
    default:
      return "Service Unavailable";
  }
}

}  // namespace

void HttpCallReader::feed(std::string_view bytes) {
  if (is_done_ || is_broken_) return;
  // Bounds the memory that an endless head can take.
  constexpr std::size_t kMaxReceived = kMaxCallHead + kMaxCallBody + 1;
  received_.append(bytes.substr(0, kMaxReceived - std::min(received_.size(), kMaxReceived)));
}

std::optional<HttpCall> HttpCallReader::next() {
  if (is_done_ || is_broken_) return std::nullopt;
  const std::size_t head_end = received_.find(kHeadEnd);
  if (head_end == std::string::npos) {
    is_broken_ = received_.size() > kMaxCallHead;
    return std::nullopt;
  }
  std::optional<HttpCall> call = read_call(head_end);
  if (!call) return std::nullopt;
  is_done_ = true;
  std::string().swap(received_);
  return call;
}

/// Returns none and sets `is_broken_` if the request is malformed or too large. Returns none without setting
/// it if the body is incomplete.
std::optional<HttpCall> HttpCallReader::read_call(std::size_t head_end) {
  const std::string_view received = received_;
  const std::string_view line = received.substr(0, received.find(kLineEnd));
  const std::size_t method_end = line.find(' ');
  const std::size_t target_start = method_end == std::string_view::npos ? method_end : method_end + 1;
  const std::size_t target_end = line.find(' ', target_start);
  is_broken_ = target_end == std::string_view::npos || method_end == 0 ||
               !line.substr(target_end + 1).starts_with(kVersionPrefix);
  if (is_broken_) return std::nullopt;
  std::optional<std::string> path = decode_path(line.substr(target_start, target_end - target_start));
  is_broken_ = !path || path->empty();
  if (is_broken_) return std::nullopt;
  const auto length = content_length(received.substr(0, head_end + kLineEnd.size()));
  is_broken_ = !length || *length > kMaxCallBody || head_end > kMaxCallHead;
  const std::size_t body_start = head_end + kHeadEnd.size();
  if (is_broken_ || received.size() - body_start < *length) return std::nullopt;
  return HttpCall{std::string(line.substr(0, method_end)), std::move(*path),
                  std::string(received.substr(body_start, *length))};
}

std::string write_http_response(int status, std::string_view body) {
  std::string response = "HTTP/1.1 " + std::to_string(status) + " ";
  response.append(reason_phrase(status))
      .append("\r\nContent-Type: text/plain\r\nConnection: close\r\nContent-Length: ");
  response.append(std::to_string(body.size())).append("\r\n\r\n").append(body);
  return response;
}

}  // namespace edge_proxy::codec
