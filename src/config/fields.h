// SPDX-License-Identifier: MIT
/// @file
/// Reads the fields of JSON objects; what is wrong is told with the way to the faulty field.
#pragma once

#include <rapidjson/document.h>

#include <array>
#include <charconv>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "edge_proxy/router.h"

namespace edge_proxy {

/// What is wrong with an input; the text names the field.
class FieldError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

using Json = rapidjson::Value;

/// A JSON object, with the way to it for messages: the line it came in (0: it is no line) and its path.
class Fields {
 public:
  Fields(const Json& value, std::size_t line, std::string path = "")
      : value_(value), line_(line), path_(std::move(path)) {
    if (!value_.IsObject()) fail("", "should be an object");
  }

  [[noreturn]] void fail(std::string_view name, std::string_view what) const {
    throw FieldError((line_ == 0 ? std::string() : "line " + std::to_string(line_) + ", ") + "field '" +
                     path_ + std::string(name) + "': " + std::string(what));
  }

  /// The member, or null where it is absent or null.
  const Json* find(const char* name) const {
    const auto it = value_.FindMember(name);
    return it == value_.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
  }
  const Json& need(const char* name) const {
    const Json* found = find(name);
    if (found == nullptr) fail(name, "is missing");
    return *found;
  }

  std::int64_t integer(const char* name) const { return as_integer(name, need(name)); }
  std::int64_t integer(const char* name, std::int64_t absent) const {
    const Json* found = find(name);
    return found == nullptr ? absent : as_integer(name, *found);
  }
  int small(const char* name) const { return as_small(name, integer(name)); }
  int small(const char* name, int absent) const { return as_small(name, integer(name, absent)); }
  Time time(const char* name) const { return Time{integer(name)}; }
  Time time(const char* name, Time absent) const { return Time{integer(name, absent.count())}; }
  double number(const char* name, double absent) const {
    const Json* found = find(name);
    if (found == nullptr) return absent;
    if (!found->IsNumber()) fail(name, "should be a number");
    return found->GetDouble();
  }
  bool boolean(const char* name, bool absent) const {
    const Json* found = find(name);
    if (found == nullptr) return absent;
    if (!found->IsBool()) fail(name, "should be true or false");
    return found->GetBool();
  }
  std::string text(const char* name) const {
    const Json& found = need(name);
    if (!found.IsString()) fail(name, "should be a string");
    return {found.GetString(), found.GetStringLength()};
  }
  std::string text(const char* name, const char* absent) const {
    return find(name) == nullptr ? absent : text(name);
  }

  /// One of `words`; its place among them.
  template <std::size_t N>
  std::size_t word(const char* name, const std::array<std::string_view, N>& words) const {
    const std::string found = text(name);
    for (std::size_t i = 0; i < N; ++i) {
      if (words[i] == found) return i;
    }
    fail(name, "has the unknown value '" + found + "'");
  }

  Fields object(const char* name) const { return {need(name), line_, path_ + name + "."}; }
  /// The members of an optional object; an absent one has no members.
  Fields object_or_empty(const char* name) const {
    static const Json empty(rapidjson::kObjectType);
    const Json* found = find(name);
    return {found == nullptr ? empty : *found, line_, path_ + name + "."};
  }
  std::vector<Fields> objects(const char* name) const {
    std::vector<Fields> all;
    const Json& array = as_array(name, need(name));
    for (rapidjson::SizeType i = 0; i < array.Size(); ++i) {
      all.emplace_back(array[i], line_, path_ + name + "[" + std::to_string(i) + "].");
    }
    return all;
  }
  std::vector<double> numbers(const char* name) const {
    std::vector<double> all;
    const Json* found = find(name);
    if (found == nullptr) return all;
    for (const Json& item : as_array(name, *found).GetArray()) {
      if (item.IsBool()) {
        all.push_back(item.GetBool() ? 1 : 0);
      } else if (item.IsNumber()) {
        all.push_back(item.GetDouble());
      } else {
        fail(name, "should hold numbers");
      }
    }
    return all;
  }

 private:
  std::int64_t as_integer(const char* name, const Json& value) const {
    if (value.IsInt64()) return value.GetInt64();
    if (!value.IsUint64()) fail(name, "should be a whole number");
    return static_cast<std::int64_t>(value.GetUint64());  // seeds use all 64 bits
  }
  int as_small(const char* name, std::int64_t value) const {
    if (value < INT32_MIN || value > INT32_MAX) fail(name, "is out of range");
    return static_cast<int>(value);
  }
  const Json& as_array(const char* name, const Json& value) const {
    if (!value.IsArray()) fail(name, "should be a list");
    return value;
  }

  const Json& value_;
  std::size_t line_;
  std::string path_;
};

inline std::uint64_t object_id(const Fields& fields, const char* name) {
  const std::string digits = fields.text(name);
  std::uint64_t id = 0;
  const auto [end, problem] = std::from_chars(digits.data(), digits.data() + digits.size(), id, 16);
  if (problem != std::errc{} || end != digits.data() + digits.size())
    fields.fail(name, "should be up to 16 hex digits");
  return id;
}

}  // namespace edge_proxy
