// SPDX-License-Identifier: MIT
/// @file
/// Typed access to the fields of JSON objects. An error carries the path of the invalid field.
#pragma once

#include <rapidjson/document.h>

#include <array>
#include <charconv>  // IWYU pragma: keep: files that include this header use from_chars through it
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "edge_proxy/router.h"

namespace edge_proxy {

/// Error in one field of an input. The text is `field 'KEY': PROBLEM`, preceded by `line N, ` if the input
/// consists of lines.
class FieldError : public std::runtime_error {
 public:
  /// `line`: line number in the input, from 1; 0: the input has no lines. `key`: path of the field; empty:
  /// the error concerns the whole input.
  FieldError(std::size_t line, std::string key, std::string problem);
  /// An error with a complete text and without a key.
  explicit FieldError(const std::string& text) : std::runtime_error(text) {}

  [[nodiscard]] std::size_t line() const { return line_; }
  [[nodiscard]] const std::string& key() const { return key_; }
  [[nodiscard]] const std::string& problem() const { return problem_; }

 private:
  std::size_t line_ = 0;
  std::string key_;
  std::string problem_;
};

using Json = rapidjson::Value;

/// A JSON object with its location for error messages: the line in the input and the path within the line.
/// Refers to the JSON value, which has to outlive it. Each reader throws FieldError if the field has the
/// wrong type or value; a reader without a default value also throws if the field is absent. A null counts as
/// absent.
class Fields {
 public:
  /// `line`: as in FieldError. `path`: prefix of the field names, with its trailing dot.
  Fields(const Json& value, std::size_t line, std::string path = "");

  /// Throws FieldError for the field `name`; an empty name stands for the object itself.
  [[noreturn]] void fail(std::string_view name, std::string_view problem) const;

  /// Returns the field's value, or null if it is absent.
  [[nodiscard]] const Json* find(const char* name) const;
  /// Returns the field's value.
  [[nodiscard]] const Json& required(const char* name) const;

  /// Reads a 64-bit integer. A value above the signed range keeps its bits, as seeds use all 64.
  [[nodiscard]] std::int64_t integer(const char* name) const;
  [[nodiscard]] std::int64_t integer(const char* name, std::int64_t default_value) const;
  /// Reads an integer that fits an int.
  [[nodiscard]] int small_integer(const char* name) const;
  [[nodiscard]] int small_integer(const char* name, int default_value) const;
  /// Reads a time in microseconds.
  [[nodiscard]] Time time(const char* name) const;
  [[nodiscard]] Time time(const char* name, Time default_value) const;
  [[nodiscard]] double number(const char* name, double default_value) const;
  [[nodiscard]] bool boolean(const char* name, bool default_value) const;
  [[nodiscard]] std::string text(const char* name) const;
  [[nodiscard]] std::string text(const char* name, const char* default_value) const;

  /// Reads an enumeration whose enumerators count from 0 in the order of `words`.
  template <typename Enum, std::size_t N>
  [[nodiscard]] Enum enumerator(const char* name, const std::array<std::string_view, N>& words) const {
    const std::string found = text(name);
    for (std::size_t i = 0; i < N; ++i) {
      if (words[i] == found) return static_cast<Enum>(i);
    }
    fail(name, "has the unknown value '" + found + "'");
  }
  template <typename Enum, std::size_t N>
  [[nodiscard]] Enum enumerator(const char* name, const std::array<std::string_view, N>& words,
                                Enum default_value) const {
    return find(name) == nullptr ? default_value : enumerator<Enum>(name, words);
  }

  [[nodiscard]] Fields object(const char* name) const;
  /// Reads an object; an absent one is empty.
  [[nodiscard]] Fields object_or_empty(const char* name) const;
  /// Reads a list of objects.
  [[nodiscard]] std::vector<Fields> objects(const char* name) const;
  /// Reads a list of numbers, with true as 1 and false as 0; an absent list is empty.
  [[nodiscard]] std::vector<double> numbers(const char* name) const;
  /// Reads a list of strings.
  [[nodiscard]] std::vector<std::string> strings(const char* name) const;
  /// Calls `visit(std::string)` for each string of a list; throws FieldError at the first item that is not a
  /// string.
  template <typename Visit>
  void for_each_string(const char* name, Visit&& visit) const {
    for (const Json& item : require_list(name, required(name)).GetArray()) {
      if (!item.IsString()) fail(name, "should hold strings");
      visit(std::string(item.GetString(), item.GetStringLength()));
    }
  }

  /// Reads an object id, which has up to 16 hexadecimal digits.
  [[nodiscard]] std::uint64_t object_id(const char* name) const;

 private:
  [[nodiscard]] std::int64_t to_integer(const char* name, const Json& value) const;
  [[nodiscard]] int to_small_integer(const char* name, std::int64_t value) const;
  [[nodiscard]] const Json& require_list(const char* name, const Json& value) const;

  const Json& value_;
  std::size_t line_;
  std::string path_;
};

}  // namespace edge_proxy
