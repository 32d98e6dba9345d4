// SPDX-License-Identifier: MIT
#include "proxy/cluster/policy_terms.h"

#include <algorithm>
#include <initializer_list>
#include <string_view>
#include <vector>

#include "config/fields.h"

namespace edge_proxy::proxy {
namespace {

constexpr std::size_t kMaxSuspendedEndpoints = 1024;
constexpr std::size_t kMaxEndpointIdBytes = 256;
constexpr int kMaxAttempts = 64;

/// Rejects unknown keys, so that a misspelt key is not silently ignored: a policy is applied completely or
/// not at all.
void check_keys(const Json& object, const Fields& fields, std::initializer_list<std::string_view> known) {
  for (const auto& member : object.GetObject()) {
    const std::string_view key(member.name.GetString(), member.name.GetStringLength());
    if (std::find(known.begin(), known.end(), key) == known.end()) fields.fail(key, "is not a policy key");
  }
}

void read_class(const Json& object, const Fields& fields, std::size_t class_index, PolicyTerms& terms) {
  check_keys(object, fields, {"aim", "worth", "late_worth", "refused"});
  RequestClass& request_class = terms.settings.classes[class_index];
  request_class.latency_objective = fields.time("aim", request_class.latency_objective);
  if (request_class.latency_objective <= Time{0} ||
      request_class.latency_objective > request_class.deadline) {
    fields.fail("aim", "should be more than 0 and at most the deadline");
  }
  request_class.priority_weight = fields.number("worth", request_class.priority_weight);
  request_class.late_weight = fields.number("late_worth", request_class.late_weight);
  if (request_class.priority_weight < 0 || request_class.late_weight < 0) {
    fields.fail("worth", "should be 0 or more");
  }
  if (fields.boolean("refused", false)) terms.refused_classes.insert(class_index);
}

void read_classes(const Fields& root, PolicyTerms& terms) {
  const Fields fields = root.object_or_empty("classes");
  const Json* object = root.find("classes");
  if (object == nullptr) return;
  const std::vector<RequestClass>& classes = terms.settings.classes;
  for (const auto& member : object->GetObject()) {
    const std::string name(member.name.GetString(), member.name.GetStringLength());
    const auto is_named = [&name](const RequestClass& candidate) { return candidate.name == name; };
    const auto found = std::find_if(classes.begin(), classes.end(), is_named);
    if (found == classes.end()) fields.fail(name, "is not a request class of this proxy");
    read_class(member.value, fields.object(name.c_str()), static_cast<std::size_t>(found - classes.begin()),
               terms);
  }
}

void read_suspended_endpoints(const Fields& root, PolicyTerms& terms) {
  const Json* ids = root.find("caches_out");
  if (ids == nullptr) return;
  if (!ids->IsArray() || ids->Size() > kMaxSuspendedEndpoints) {
    root.fail("caches_out", "should be a list of at most 1,024 ids");
  }
  for (const auto& id : ids->GetArray()) {
    if (!id.IsString() || id.GetStringLength() == 0 || id.GetStringLength() > kMaxEndpointIdBytes) {
      root.fail("caches_out", "should contain only ids of caches");
    }
    terms.suspended_endpoints.emplace(id.GetString(), id.GetStringLength());
  }
}

void read_limits(const Fields& root, Settings& settings) {
  settings.max_attempts = root.small_integer("attempts_cap", settings.max_attempts);
  if (settings.max_attempts < 1 || settings.max_attempts > kMaxAttempts) {
    root.fail("attempts_cap", "should be 1 to 64");
  }
  settings.hedging = root.boolean("second_copies", settings.hedging);
  settings.max_retry_after = root.time("max_retry_after", settings.max_retry_after);
  if (settings.max_retry_after < Time{0}) root.fail("max_retry_after", "should be 0 or more");
}

}  // namespace

PolicyTerms read_policy_terms(const std::string& text, const Settings& startup_settings) {
  PolicyTerms terms{startup_settings, {}, {}};
  if (text.empty()) return terms;
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (document.HasParseError()) {
    throw FieldError("field '': not JSON at byte " + std::to_string(document.GetErrorOffset()));
  }
  const Fields root(document, 0);
  check_keys(document, root,
             {"name", "attempts_cap", "second_copies", "max_retry_after", "classes", "caches_out"});
  read_limits(root, terms.settings);
  read_classes(root, terms);
  read_suspended_endpoints(root, terms);
  return terms;
}

}  // namespace edge_proxy::proxy
