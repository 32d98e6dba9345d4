// SPDX-License-Identifier: MIT
#include "codec/cache_lines.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace edge_proxy::codec {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
/// Bytes reserved for an encoded request in addition to its id, fields and body.
constexpr std::size_t kRequestReserveBytes = 32;

/// Status words on the wire, in the order of CacheResponseStatus.
constexpr std::array<std::string_view, 8> kStatusWords{"HIT",   "VALID", "NONE", "SHED",
                                                       "FAULT", "LATE",  "PONG", "SICK"};

std::optional<CacheResponseStatus> parse_status(std::string_view word) {
  const auto* const found = std::find(kStatusWords.begin(), kStatusWords.end(), word);
  if (found == kStatusWords.end()) return std::nullopt;
  return static_cast<CacheResponseStatus>(found - kStatusWords.begin());
}

/// Parses a decimal number that makes up the whole of `digits`.
std::optional<std::size_t> parse_size(std::string_view digits) {
  const char* const digits_end = digits.data() + digits.size();
  std::size_t size = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits_end, size);
  if (error != std::errc{} || end != digits_end) return std::nullopt;
  return size;
}

/// Removes the next space-delimited word from the front of `line` and returns it.
std::string_view take_word(std::string_view& line) {
  const std::size_t end = std::min(line.find(' '), line.size());
  const std::string_view word = line.substr(0, end);
  line.remove_prefix(std::min(end + 1, line.size()));
  return word;
}

}  // namespace

std::string_view name_of(LineError error) {
  static constexpr std::array<std::string_view, 6> kNames{
      "none", "line_too_long", "not_a_response", "unknown_word", "body_too_long", "body_not_terminated"};
  return kNames[static_cast<std::size_t>(error)];
}

void FieldList::add(std::string_view name, std::string_view value) {
  if (!text_.empty()) text_ += ',';
  text_.append(name).append("=").append(value);
}

std::optional<std::string_view> field_in(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const std::string_view field = list.substr(0, list.find(','));
    list.remove_prefix(std::min(field.size() + 1, list.size()));
    if (field.size() > name.size() && field.substr(0, name.size()) == name && field[name.size()] == '=') {
      return field.substr(name.size() + 1);
    }
  }
  return std::nullopt;
}

std::string write_request(std::string_view id, const FieldList& fields, std::string_view body) {
  std::string request;
  request.reserve(id.size() + fields.text().size() + body.size() + kRequestReserveBytes);
  request.append("serve ").append(id).append(" ").append(fields.text()).append(" ");
  request.append(std::to_string(body.size())).append("\r\n").append(body).append("\r\n");
  return request;
}

std::string write_cancel(std::string_view id) { return std::string("cancel ").append(id).append("\r\n"); }
std::string write_health_check(std::string_view tag) {
  return std::string("gauges ").append(tag).append("\r\n");
}

/// Discards the decoded bytes. Also releases the buffer's memory after a large response, so that many idle
/// connections do not each keep a large buffer.
std::optional<CacheResponse> CacheResponseReader::wait_for_bytes() {
  buffer_.erase(0, std::exchange(consumed_, 0));
  if (buffer_.empty() && buffer_.capacity() > kMaxIdleResponseBuffer) std::string().swap(buffer_);
  return std::nullopt;
}

bool CacheResponseReader::parse_head(std::string_view line) {
  CacheResponse response;
  response.id = take_word(line);
  const std::string_view status_word = take_word(line);
  response.fields = take_word(line);
  const std::optional<std::size_t> body_size = parse_size(take_word(line));
  if (response.id.empty() || response.fields.empty() || !line.empty() || !body_size) {
    error_ = LineError::not_a_response;
    return false;
  }
  // Bounds the buffer: no object is larger than kMaxBody.
  if (*body_size > kMaxBody) {
    error_ = LineError::body_too_long;
    return false;
  }
  const std::optional<CacheResponseStatus> status = parse_status(status_word);
  if (!status) {
    error_ = LineError::unknown_word;
    return false;
  }
  response.status = *status;
  body_size_ = *body_size;
  partial_response_ = std::move(response);
  return true;
}

bool CacheResponseReader::read_head() {
  const std::size_t end = buffer_.find(kLineEnd, consumed_);
  if (end == std::string::npos || end - consumed_ > kMaxLine) {
    if (buffer_.size() - consumed_ > kMaxLine) {
      error_ = LineError::line_too_long;
    } else {
      wait_for_bytes();
    }
    return false;
  }
  if (!parse_head(std::string_view(buffer_).substr(consumed_, end - consumed_))) return false;
  consumed_ = end + kLineEnd.size();
  return true;
}

std::optional<CacheResponse> CacheResponseReader::next() {
  if (error_ != LineError::none) return std::nullopt;
  if (!partial_response_ && !read_head()) return std::nullopt;
  if (buffer_.size() - consumed_ < body_size_ + kLineEnd.size()) return wait_for_bytes();
  if (buffer_.compare(consumed_ + body_size_, kLineEnd.size(), kLineEnd) != 0) {
    error_ = LineError::body_not_terminated;
    return std::nullopt;
  }
  partial_response_->body.assign(buffer_, consumed_, body_size_);
  consumed_ += body_size_ + kLineEnd.size();
  return std::exchange(partial_response_, std::nullopt);
}

}  // namespace edge_proxy::codec
