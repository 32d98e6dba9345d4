// SPDX-License-Identifier: MIT
#include "codec/cache_lines.h"

#include <array>
#include <charconv>
#include <utility>

namespace edge_proxy::codec {
namespace {

constexpr std::array<std::string_view, 8> kWords{"HIT",   "VALID", "NONE", "SHED",
                                                 "FAULT", "LATE",  "PONG", "SICK"};

/// Cuts the next word off the line.
std::string_view word_of(std::string_view& line) {
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
    if (field.size() > name.size() && field.substr(0, name.size()) == name && field[name.size()] == '=')
      return field.substr(name.size() + 1);
  }
  return std::nullopt;
}

std::string write_request(std::string_view id, const FieldList& fields, std::string_view body) {
  std::string out;
  out.reserve(id.size() + fields.text().size() + body.size() + 32);
  out.append("serve ").append(id).append(" ").append(fields.text()).append(" ");
  out.append(std::to_string(body.size())).append("\r\n").append(body).append("\r\n");
  return out;
}

std::string write_cancel(std::string_view id) { return std::string("cancel ").append(id).append("\r\n"); }
std::string write_health_check(std::string_view tag) {
  return std::string("gauges ").append(tag).append("\r\n");
}

std::optional<CacheResponse> CacheResponseReader::fail(LineError error) {
  error_ = error;
  return std::nullopt;
}

/// More bytes are needed. Guards the memory against room for the largest answer ever seen, kept on each of
/// many connections.
std::optional<CacheResponse> CacheResponseReader::wait_for_body() {
  buffer_.erase(0, std::exchange(consumed_, 0));
  if (buffer_.empty() && buffer_.capacity() > kMaxLine) std::string().swap(buffer_);
  return std::nullopt;
}

bool CacheResponseReader::read_head(std::string_view line) {
  CacheResponse answer;
  answer.id = word_of(line);
  const std::string_view word = word_of(line);
  answer.fields = word_of(line);
  const std::string_view length = word_of(line);
  const auto [end, problem] = std::from_chars(length.data(), length.data() + length.size(), body_size_);
  if (answer.id.empty() || answer.fields.empty() || !line.empty() || problem != std::errc{} ||
      end != length.data() + length.size()) {
    error_ = LineError::not_a_response;
    return false;
  }
  // Guards against a length that would have more buffered than any object holds.
  if (body_size_ > kMaxBody) {
    error_ = LineError::body_too_long;
    return false;
  }
  for (std::size_t i = 0; i < kWords.size(); ++i) {
    if (kWords[i] != word) continue;
    answer.status = static_cast<CacheResponseStatus>(i);
    partial_response_ = std::move(answer);
    return true;
  }
  error_ = LineError::unknown_word;
  return false;
}

std::optional<CacheResponse> CacheResponseReader::next() {
  if (error_ != LineError::none) return std::nullopt;
  if (!partial_response_) {
    const std::size_t end = buffer_.find("\r\n", consumed_);
    if (end == std::string::npos || end - consumed_ > kMaxLine) {
      if (buffer_.size() - consumed_ > kMaxLine) return fail(LineError::line_too_long);
      return wait_for_body();
    }
    if (!read_head(std::string_view(buffer_).substr(consumed_, end - consumed_))) return std::nullopt;
    consumed_ = end + 2;
  }
  if (buffer_.size() - consumed_ < body_size_ + 2) return wait_for_body();
  if (buffer_.compare(consumed_ + body_size_, 2, "\r\n") != 0) return fail(LineError::body_not_terminated);
  partial_response_->body.assign(buffer_, consumed_, body_size_);
  consumed_ += body_size_ + 2;
  return std::exchange(partial_response_, std::nullopt);
}

}  // namespace edge_proxy::codec
