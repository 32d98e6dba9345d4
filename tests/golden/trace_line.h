// SPDX-License-Identifier: MIT
/// @file
/// TraceLine builds one line of a golden record from named fields. Labels are literals, so that renaming a
/// type or a member does not change a record.
#pragma once

#include <chrono>
#include <concepts>
#include <string>
#include <string_view>

#include "golden/golden_record.h"

namespace golden {

inline std::string text_of(bool value) { return value ? "true" : "false"; }
inline std::string text_of(double value) { return exact(value); }
inline std::string text_of(std::string_view value) { return '"' + quoted(value) + '"'; }
inline std::string text_of(const std::string& value) { return text_of(std::string_view(value)); }
inline std::string text_of(std::chrono::microseconds value) { return std::to_string(value.count()) + "us"; }
template <std::integral Integer>
requires(!std::same_as<Integer, bool>) std::string text_of(Integer value) { return std::to_string(value); }

class TraceLine {
 public:
  explicit TraceLine(std::string_view title) : text_(title) {}

  template <typename Value>
  TraceLine& field(std::string_view label, const Value& value) {
    return verbatim(label, text_of(value));
  }
  /// Adds a value that is already formatted, such as another line or a label.
  TraceLine& verbatim(std::string_view label, std::string_view value) {
    text_ += ' ';
    text_ += label;
    text_ += '=';
    text_ += value;
    return *this;
  }
  [[nodiscard]] const std::string& text() const { return text_; }

 private:
  std::string text_;
};

/// Formats all items in their order. `describe` returns the text of one item.
template <typename Items, typename Describe>
std::string list_of(const Items& items, Describe&& describe) {
  std::string text = "[";
  for (const auto& item : items) {
    if (text.size() > 1) text += ", ";
    text += describe(item);
  }
  return text + "]";
}
template <typename Items>
std::string list_of(const Items& items) {
  return list_of(items, [](const auto& item) { return text_of(item); });
}

}  // namespace golden
