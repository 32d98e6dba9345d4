// SPDX-License-Identifier: MIT
#include "config/settings_check.h"

#include <set>

namespace edge_proxy::config {
namespace {

void check_not_negative(const Fields& fields, std::initializer_list<const char*> names) {
  for (const char* name : names) {
    if (fields.number(name, 0) < 0) fields.fail(name, "should be 0 or more");
  }
}

void check_fraction(const Fields& fields, const char* name) {
  const double value = fields.number(name, 1);
  if (value < 0 || value > 1) fields.fail(name, "should be from 0 to 1");
}

int list_size(const Fields& fields, const char* list) {
  return static_cast<int>(fields.required(list).Size());
}

void check_index(const Fields& fields, const char* name, const char* list) {
  const int index = fields.small_integer(name, 0);
  if (index < 0 || index >= list_size(fields, list)) fields.fail(name, std::string("is no place in ") + list);
}

void check_class(const Fields& fields, const RequestClass& request_class, std::set<std::string>& names) {
  if (request_class.name.empty()) fields.fail("name", "is missing");
  const bool is_new = names.insert(request_class.name).second;
  if (!is_new) fields.fail("name", "stands twice: '" + request_class.name + "'");
  if (request_class.deadline <= Time{0}) fields.fail("deadline", "should be more than 0");
  check_not_negative(fields, {"aim", "aim_stretch", "memory_span", "worth", "late_worth"});
}

void check_classes(const Fields& fields, const std::vector<RequestClass>& classes) {
  if (classes.empty()) fields.fail("request_classes", "should name a class at least");
  std::set<std::string> names;
  const std::vector<Fields> entries = fields.objects("request_classes");
  for (std::size_t i = 0; i < entries.size(); ++i) check_class(entries[i], classes[i], names);
}

void check_rules(const Fields& rules) {
  check_not_negative(rules,
                     {"answer_slack", "drain_grace", "warm_after", "fall", "fall_multiple", "must_ask_in"});
  check_fraction(rules, "cold_share");
}

void check_bounds(const Fields& bounds, const Settings& settings) {
  if (settings.max_attempts < 1) bounds.fail("attempts_cap", "should be 1 or more");
  check_not_negative(bounds, {"max_retry_after"});
}

void check_specifics(const Fields& specifics) {
  check_not_negative(specifics, {"parent_warms_in", "upper_fall_multiple", "origin_fall_multiple",
                                 "origin_fall", "purge_slack", "cleared_within", "stream_kb_per_s"});
  check_fraction(specifics, "parent_floor");
}

void check_kinds(const Fields& specifics, const Settings& settings, int kinds) {
  if (settings.parent_kind >= kinds) specifics.fail("upper_kind", "is no place in kinds");
  if (settings.origin_kind >= kinds) specifics.fail("origin_kind", "is no place in kinds");
  if (settings.parent_kind >= 0 && settings.parent_kind == settings.origin_kind) {
    specifics.fail("upper_kind", "is the same as origin_kind");
  }
}

}  // namespace

void check_settings(const Fields& fields, const Settings& settings) {
  check_classes(fields, settings.classes);
  check_index(fields, "az", "azs");
  if (settings.router_count < 1) fields.fail("fleet_size", "should be 1 or more");
  check_not_negative(fields, {"tick"});
  check_rules(fields.object_or_empty("rules"));
  check_bounds(fields.object_or_empty("bounds"), settings);
  const Fields specifics = fields.object_or_empty("specifics");
  check_specifics(specifics);
  check_kinds(specifics, settings, list_size(fields, "kinds"));
}

}  // namespace edge_proxy::config
