// SPDX-License-Identifier: MIT
#include "proxy/cluster/policy_terms.h"

#include <algorithm>

#include "config/fields.h"

namespace edge_proxy::proxy {
namespace {

constexpr std::size_t kMostOut = 1024;
constexpr std::size_t kMostId = 256;
constexpr int kMostAttempts = 64;

/// Guards against a misspelt key that would be passed over: a policy says what it says, or is refused.
void check_keys(const Json& object, const Fields& fields, std::initializer_list<std::string_view> known) {
  for (const auto& member : object.GetObject()) {
    const std::string_view key(member.name.GetString(), member.name.GetStringLength());
    if (std::find(known.begin(), known.end(), key) == known.end()) fields.fail(key, "is no key of a policy");
  }
}

void read_class(const Json& said, const Fields& fields, std::size_t at, PolicyTerms& terms) {
  check_keys(said, fields, {"aim", "worth", "late_worth", "refused"});
  RequestClass& c = terms.settings.classes[at];
  c.latency_objective = fields.time("aim", c.latency_objective);
  if (c.latency_objective <= Time{0} || c.latency_objective > c.deadline)
    fields.fail("aim", "should be more than 0, and the deadline at most");
  c.priority_weight = fields.number("worth", c.priority_weight);
  c.late_weight = fields.number("late_worth", c.late_weight);
  if (c.priority_weight < 0 || c.late_weight < 0) fields.fail("worth", "should be 0 or more");
  if (fields.boolean("refused", false)) terms.refused_classes.insert(at);
}

}  // namespace

PolicyTerms read_policy_terms(const std::string& text, const Settings& start) {
  PolicyTerms terms{start, {}, {}};
  if (text.empty()) return terms;
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (document.HasParseError())
    throw FieldError("field '': not JSON at byte " + std::to_string(document.GetErrorOffset()));
  const Fields root(document, 0);
  check_keys(document, root,
             {"name", "attempts_cap", "second_copies", "max_retry_after", "classes", "caches_out"});
  Settings& s = terms.settings;
  s.max_attempts = root.small("attempts_cap", s.max_attempts);
  if (s.max_attempts < 1 || s.max_attempts > kMostAttempts) root.fail("attempts_cap", "should be 1 to 64");
  s.hedging = root.boolean("second_copies", s.hedging);
  s.max_retry_after = root.time("max_retry_after", s.max_retry_after);
  if (s.max_retry_after < Time{0}) root.fail("max_retry_after", "should be 0 or more");
  const Fields classes = root.object_or_empty("classes");
  if (const Json* said = root.find("classes")) {
    for (const auto& member : said->GetObject()) {
      const std::string name(member.name.GetString(), member.name.GetStringLength());
      const auto named = [&name](const RequestClass& c) { return c.name == name; };
      const auto found = std::find_if(s.classes.begin(), s.classes.end(), named);
      if (found == s.classes.end()) classes.fail(name, "is no class of this proxy's");
      read_class(member.value, classes.object(name.c_str()),
                 static_cast<std::size_t>(found - s.classes.begin()), terms);
    }
  }
  if (const Json* out = root.find("caches_out")) {
    if (!out->IsArray() || out->Size() > kMostOut)
      root.fail("caches_out", "should be a list of 1,024 at most");
    for (const auto& id : out->GetArray()) {
      if (!id.IsString() || id.GetStringLength() == 0 || id.GetStringLength() > kMostId)
        root.fail("caches_out", "should hold ids of caches");
      terms.suspended_endpoints.emplace(id.GetString(), id.GetStringLength());
    }
  }
  return terms;
}

}  // namespace edge_proxy::proxy
