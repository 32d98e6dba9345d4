// SPDX-License-Identifier: MIT
#include "config/settings_check.h"

#include <set>

namespace edge_proxy::config {
namespace {

void not_negative(const Fields& fields, std::initializer_list<const char*> names) {
  for (const char* name : names) {
    if (fields.number(name, 0) < 0) fields.fail(name, "should be 0 or more");
  }
}

void share(const Fields& fields, const char* name) {
  const double value = fields.number(name, 1);
  if (value < 0 || value > 1) fields.fail(name, "should be from 0 to 1");
}

void place(const Fields& fields, const char* name, const char* list) {
  const int value = fields.small(name, 0);
  const auto size = static_cast<int>(fields.need(list).Size());
  if (value < 0 || value >= size) fields.fail(name, std::string("is no place in ") + list);
}

void check_class(const Fields& fields, const RequestClass& c, std::set<std::string>& names) {
  if (c.name.empty()) fields.fail("name", "is missing");
  if (!names.insert(c.name).second) fields.fail("name", "stands twice: '" + c.name + "'");
  if (c.deadline <= Time{0}) fields.fail("deadline", "should be more than 0");
  not_negative(fields, {"aim", "aim_stretch", "memory_span", "worth", "late_worth"});
}

}  // namespace

void check_settings(const Fields& fields, const Settings& settings) {
  if (settings.classes.empty()) fields.fail("request_classes", "should name a class at least");
  std::set<std::string> names;
  const auto classes = fields.objects("request_classes");
  for (std::size_t i = 0; i < classes.size(); ++i) check_class(classes[i], settings.classes[i], names);
  place(fields, "az", "azs");
  if (settings.router_count < 1) fields.fail("fleet_size", "should be 1 or more");
  not_negative(fields, {"tick"});
  const Fields rules = fields.object_or_empty("rules");
  not_negative(rules, {"answer_slack", "drain_grace", "warm_after", "fall", "fall_multiple", "must_ask_in"});
  share(rules, "cold_share");
  const Fields bounds = fields.object_or_empty("bounds");
  if (settings.max_attempts < 1) bounds.fail("attempts_cap", "should be 1 or more");
  not_negative(bounds, {"max_retry_after"});
  const Fields own = fields.object_or_empty("specifics");
  not_negative(own, {"parent_warms_in", "upper_fall_multiple", "origin_fall_multiple", "origin_fall",
                     "purge_slack", "cleared_within", "stream_kb_per_s"});
  share(own, "parent_floor");
  const auto kinds = static_cast<int>(fields.need("kinds").Size());
  for (const auto& [name, value] :
       {std::pair{"upper_kind", settings.parent_kind}, std::pair{"origin_kind", settings.origin_kind}}) {
    if (value >= kinds) own.fail(name, "is no place in kinds");
  }
  if (settings.parent_kind >= 0 && settings.parent_kind == settings.origin_kind)
    own.fail("upper_kind", "is the same as origin_kind");
}

}  // namespace edge_proxy::config
