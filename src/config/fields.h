// SPDX-License-Identifier: MIT
/// @file
/// Reads the fields of JSON objects. An error carries the path of the faulty field.
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

/// What is wrong with one field of an input. The text is `field 'KEY': PROBLEM`, with `line N, ` in front
/// where the input came in lines.
class FieldError : public std::runtime_error {
 public:
  /// `line`: number of the input's line, from 1; 0: the input has no lines. `key`: path of the field; empty:
  /// the whole input.
  FieldError(std::size_t line, std::string key, std::string problem);
  /// An error that is written out already and carries no key.
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

/// A JSON object, with its place for error messages: the input's line and the path inside the line.
/// Refers to the JSON value, which has to outlive it. Each reader throws FieldError where the field can't be
/// read; one without a default for an absent field, also where it is absent. A null counts as absent.
class Fields {
 public:
  /// `line`: as in FieldError. `path`: put before the names of fields, with the dot at its end.
  Fields(const Json& value, std::size_t line, std::string path = "");

  /// Throws FieldError for the field `name`; empty: for the object itself.
  [[noreturn]] void fail(std::string_view name, std::string_view problem) const;

  /// The field's value, or null where it is absent.
  [[nodiscard]] const Json* find(const char* name) const;
  [[nodiscard]] const Json& required(const char* name) const;

  /// Integers of 64 bits; one above the signed range keeps its bits (seeds use all 64).
  [[nodiscard]] std::int64_t integer(const char* name) const;
  [[nodiscard]] std::int64_t integer(const char* name, std::int64_t default_value) const;
  /// Integers that fit an int.
  [[nodiscard]] int small_integer(const char* name) const;
  [[nodiscard]] int small_integer(const char* name, int default_value) const;
  /// Microseconds.
  [[nodiscard]] Time time(const char* name) const;
  [[nodiscard]] Time time(const char* name, Time default_value) const;
  [[nodiscard]] double number(const char* name, double default_value) const;
  [[nodiscard]] bool boolean(const char* name, bool default_value) const;
  [[nodiscard]] std::string text(const char* name) const;
  [[nodiscard]] std::string text(const char* name, const char* default_value) const;

  /// An enumeration whose enumerators count from 0 in the order of `words`.
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
  /// An object that may be absent: then one without fields.
  [[nodiscard]] Fields object_or_empty(const char* name) const;
  /// A list of objects.
  [[nodiscard]] std::vector<Fields> objects(const char* name) const;
  /// A list of numbers, with true as 1 and false as 0; absent: empty.
  [[nodiscard]] std::vector<double> numbers(const char* name) const;
  /// A list of strings.
  [[nodiscard]] std::vector<std::string> strings(const char* name) const;
  /// Calls `visit(std::string)` for each string of a list, and stops at the first item that is none.
  template <typename Visit>
  void for_each_string(const char* name, Visit&& visit) const {
    for (const Json& item : require_list(name, required(name)).GetArray()) {
      if (!item.IsString()) fail(name, "should hold strings");
      visit(std::string(item.GetString(), item.GetStringLength()));
    }
  }

  /// An identifier of an object: up to 16 hexadecimal digits.
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
