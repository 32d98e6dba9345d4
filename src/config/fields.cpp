// SPDX-License-Identifier: MIT
#include "config/fields.h"

#include <charconv>
#include <limits>
#include <utility>

namespace edge_proxy {
namespace {

std::string error_text(std::size_t line, const std::string& key, const std::string& problem) {
  const std::string place = line == 0 ? std::string() : "line " + std::to_string(line) + ", ";
  return place + "field '" + key + "': " + problem;
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

std::int64_t Fields::integer(const char* name, std::int64_t absent) const {
  const Json* found = find(name);
  return found == nullptr ? absent : to_integer(name, *found);
}

int Fields::small_integer(const char* name) const { return to_small_integer(name, integer(name)); }

int Fields::small_integer(const char* name, int absent) const {
  return to_small_integer(name, integer(name, absent));
}

Time Fields::time(const char* name) const { return Time{integer(name)}; }

Time Fields::time(const char* name, Time absent) const { return Time{integer(name, absent.count())}; }

double Fields::number(const char* name, double absent) const {
  const Json* found = find(name);
  if (found == nullptr) return absent;
  if (!found->IsNumber()) fail(name, "should be a number");
  return found->GetDouble();
}

bool Fields::boolean(const char* name, bool absent) const {
  const Json* found = find(name);
  if (found == nullptr) return absent;
  if (!found->IsBool()) fail(name, "should be true or false");
  return found->GetBool();
}

std::string Fields::text(const char* name) const {
  const Json& found = required(name);
  if (!found.IsString()) fail(name, "should be a string");
  return {found.GetString(), found.GetStringLength()};
}

std::string Fields::text(const char* name, const char* absent) const {
  return find(name) == nullptr ? absent : text(name);
}

Fields Fields::object(const char* name) const { return {required(name), line_, path_ + name + "."}; }

Fields Fields::object_or_empty(const char* name) const {
  static const Json empty(rapidjson::kObjectType);
  const Json* found = find(name);
  return {found == nullptr ? empty : *found, line_, path_ + name + "."};
}

std::vector<Fields> Fields::objects(const char* name) const {
  std::vector<Fields> all;
  const Json& items = list(name, required(name));
  for (rapidjson::SizeType i = 0; i < items.Size(); ++i) {
    const std::string path = path_ + name + "[" + std::to_string(i) + "].";
    all.emplace_back(items[i], line_, path);
  }
  return all;
}

std::vector<double> Fields::numbers(const char* name) const {
  std::vector<double> all;
  const Json* found = find(name);
  if (found == nullptr) return all;
  for (const Json& item : list(name, *found).GetArray()) {
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

std::vector<std::string> Fields::strings(const char* name) const {
  std::vector<std::string> all;
  for_each_string(name, [&all](std::string item) { all.push_back(std::move(item)); });
  return all;
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

const Json& Fields::list(const char* name, const Json& value) const {
  if (!value.IsArray()) fail(name, "should be a list");
  return value;
}

}  // namespace edge_proxy
