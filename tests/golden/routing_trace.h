// SPDX-License-Identifier: MIT
/// @file
/// Formats values of the routing module for golden records. Labels are literals, so that renaming a type or a
/// member does not change a record.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "edge_proxy/router.h"
#include "golden/golden_record.h"

namespace golden {

/// Builds one line of a record from a title and labelled values.
class RecordLine {
 public:
  explicit RecordLine(std::string_view title) : text_(title) {}

  RecordLine& add(std::string_view label, std::string_view value) {
    return put(label, golden::quoted(value));
  }
  RecordLine& add(std::string_view label, const std::string& value) {
    return put(label, golden::quoted(value));
  }
  RecordLine& add(std::string_view label, const char* value) { return put(label, golden::quoted(value)); }
  RecordLine& add(std::string_view label, bool value) { return put(label, value ? "yes" : "no"); }
  RecordLine& add(std::string_view label, double value) { return put(label, exact(value)); }
  RecordLine& add(std::string_view label, std::chrono::microseconds value) {
    return put(label, std::to_string(value.count()));
  }
  template <typename Integer, typename = std::enable_if_t<std::is_integral_v<Integer>>>
  RecordLine& add(std::string_view label, Integer value) {
    return put(label, std::to_string(value));
  }
  /// Adds the line of a nested value in brackets.
  RecordLine& add_inner(std::string_view label, const std::string& line) {
    return put(label, "[" + line + "]");
  }

  [[nodiscard]] const std::string& text() const { return text_; }

 private:
  RecordLine& put(std::string_view label, const std::string& value) {
    text_.append(" ").append(label).append("=").append(value);
    return *this;
  }

  std::string text_;
};

[[nodiscard]] std::string text_of(const edge_proxy::Settings& settings);
[[nodiscard]] std::string text_of(const edge_proxy::Event& event);
/// Returns an empty text for an action that only writes a log message.
[[nodiscard]] std::string text_of(const edge_proxy::Action& action);

/// Records an event that a router handled and the actions that it returned.
void record_routing_step(GoldenRecord& record, int router, edge_proxy::Time now,
                         const edge_proxy::Event& event, const std::vector<edge_proxy::Action>& actions);

}  // namespace golden
