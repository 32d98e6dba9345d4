// SPDX-License-Identifier: MIT
#include "config/fields.h"

#include <charconv>
#include <limits>
#include <utility>

namespace edge_proxy {
namespace {

std::string error_text(std::size_t line, const std::string& key, const std::string& problem) {
  const std::string location = line == 0 ? std::string() : "line " + std::to_string(line) + ", ";
  return location + "field '" + key + "': " + problem;
}

}  // namespace

FieldError::FieldError(std::size_t line, std::string key, std::string problem)
    : std::runtime_error(error_text(line, key, problem)),
      line_(line),
      key_(std::move(key)),
      problem_(std::move(problem)) {}

Fields::Fields(const Json& value, std::size_t line, std::string path)
    : value_(value), line_(line), path_(std::move(path)) {
  if (!value_.IsObject()) fail("", "should be an object");
}

void Fields::fail(std::string_view name, std::string_view problem) const {
  throw FieldError(line_, path_ + std::string(name), std::string(problem));
}

const Json* Fields::find(const char* name) const {
  const auto found = value_.FindMember(name);
  return found == value_.MemberEnd() || found->value.IsNull() ? nullptr : &found->value;
}

const Json& Fields::required(const char* name) const {
  const Json* found = find(name);
  if (found == nullptr) fail(name, "is missing");
  return *found;
}

std::int64_t Fields::integer(const char* name) const { return to_integer(name, required(name)); }

std::int64_t Fields::integer(const char* name, std::int64_t default_value) const {
  const Json* found = find(name);
  return found == nullptr ? default_value : to_integer(name, *found);
}

int Fields::small_integer(const char* name) const { return to_small_integer(name, integer(name)); }

int Fields::small_integer(const char* name, int default_value) const {
  return to_small_integer(name, integer(name, default_value));
}

Time Fields::time(const char* name) const { return Time{integer(name)}; }

Time Fields::time(const char* name, Time default_value) const {
  return Time{integer(name, default_value.count())};
}

double Fields::number(const char* name, double default_value) const {
  const Json* found = find(name);
  if (found == nullptr) return default_value;
  if (!found->IsNumber()) fail(name, "should be a number");
  return found->GetDouble();
}

bool Fields::boolean(const char* name, bool default_value) const {
  const Json* found = find(name);
  if (found == nullptr) return default_value;
  if (!found->IsBool()) fail(name, "should be true or false");
  return found->GetBool();
}

std::string Fields::text(const char* name) const {
  const Json& found = required(name);
  if (!found.IsString()) fail(name, "should be a string");
  return {found.GetString(), found.GetStringLength()};
}

std::string Fields::text(const char* name, const char* default_value) const {
  return find(name) == nullptr ? default_value : text(name);
}

Fields Fields::object(const char* name) const { return {required(name), line_, path_ + name + "."}; }

Fields Fields::object_or_empty(const char* name) const {
  static const Json empty(rapidjson::kObjectType);
  const Json* found = find(name);
  return {found == nullptr ? empty : *found, line_, path_ + name + "."};
}

std::vector<Fields> Fields::objects(const char* name) const {
  std::vector<Fields> values;
  const Json& items = require_list(name, required(name));
  for (rapidjson::SizeType i = 0; i < items.Size(); ++i) {
    const std::string path = path_ + name + "[" + std::to_string(i) + "].";
    values.emplace_back(items[i], line_, path);
  }
  return values;
}

std::vector<double> Fields::numbers(const char* name) const {
  std::vector<double> values;
  const Json* found = find(name);
  if (found == nullptr) return values;
  for (const Json& item : require_list(name, *found).GetArray()) {
    if (item.IsBool()) {
      values.push_back(item.GetBool() ? 1 : 0);
    } else if (item.IsNumber()) {
      values.push_back(item.GetDouble());
    } else {
      fail(name, "should hold numbers");
    }
  }
  return values;
}

std::vector<std::string> Fields::strings(const char* name) const {
  std::vector<std::string> values;
  for_each_string(name, [&values](std::string item) { values.push_back(std::move(item)); });
  return values;
}

std::uint64_t Fields::object_id(const char* name) const {
  constexpr int kHexadecimal = 16;
  const std::string digits = text(name);
  const char* const digits_end = digits.data() + digits.size();
  std::uint64_t id = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits_end, id, kHexadecimal);
  if (error != std::errc{} || end != digits_end) fail(name, "should be up to 16 hex digits");
  return id;
}

std::int64_t Fields::to_integer(const char* name, const Json& value) const {
  if (value.IsInt64()) return value.GetInt64();
  if (!value.IsUint64()) fail(name, "should be a whole number");
  return static_cast<std::int64_t>(value.GetUint64());
}

int Fields::to_small_integer(const char* name, std::int64_t value) const {
  if (value < std::numeric_limits<int>::min() || value > std::numeric_limits<int>::max()) {
    fail(name, "is out of range");
  }
  return static_cast<int>(value);
}

const Json& Fields::require_list(const char* name, const Json& value) const {
  if (!value.IsArray()) fail(name, "should be a list");
  return value;
}

}  // namespace edge_proxy
