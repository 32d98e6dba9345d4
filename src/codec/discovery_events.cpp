// SPDX-License-Identifier: MIT
#include "codec/discovery_events.h"

#include <rapidjson/error/en.h>

#include <algorithm>

namespace edge_proxy::codec {
namespace {

constexpr std::array<std::string_view, 3> kPhases{"active", "leaving", "left"};

/// Unix milliseconds to the clock that the whole program uses: Unix time in microseconds. All Unix times of
/// the bulletin pass here.
Time unix_ms(const Fields& fields, const char* name, std::int64_t value) {
  // Guards against a moment that overflows when it is counted in microseconds.
  if (value < 0 || value > 1'000'000'000'000'000) fields.fail(name, "is out of range");
  return std::chrono::milliseconds(value);
}

int place(const Fields& fields, const char* name, const std::vector<std::string>& names) {
  const std::string value = fields.text(name);
  const auto found = std::find(names.begin(), names.end(), value);
  if (found == names.end()) fields.fail(name, "has the unknown value '" + value + "'");
  return static_cast<int>(found - names.begin());
}

ListedEndpoint read_member(const Fields& fields, const DiscoveryNames& names) {
  ListedEndpoint listed;
  Endpoint& m = listed.endpoint;
  m.id = fields.text("id");
  listed.address = fields.text("host_port", "");
  m.state = static_cast<EndpointState>(fields.word("phase", kPhases));
  m.weight = fields.number("size", 1);
  m.cell = fields.small("cell", 0);
  m.zone = place(fields, "locality", names.zones);
  m.kind = place(fields, "flavor", names.kinds);
  m.started = unix_ms(fields, "up_since_ms", fields.integer("up_since_ms", 0));
  listed.process_started = m.started;
  return listed;
}

}  // namespace

DiscoveryEvent read_discovery_event(const Fields& fields, const DiscoveryNames& names) {
  DiscoveryEvent event;
  event.number = fields.integer("no");
  if (fields.find("roster") != nullptr) {
    const Fields list = fields.object("roster");
    EndpointUpdate roster;
    roster.is_complete = list.boolean("complete", false);
    for (const Fields& entry : list.objects("members")) roster.endpoints.push_back(read_member(entry, names));
    event.endpoints = std::move(roster);
  }
  if (fields.find("recall") != nullptr) {
    const Fields purge = fields.object("recall");
    Invalidation recall;
    if (purge.find("item") != nullptr) {
      recall.object = object_id(purge, "item");
    }
    recall.group = purge.integer("lot", 0);
    recall.issued_at = unix_ms(purge, "issued", purge.integer("issued")) + std::chrono::milliseconds(1);
    event.invalidation = recall;
  }
  return event;
}

DiscoveryEvent parse_discovery_event(std::string_view json, const DiscoveryNames& names) {
  rapidjson::Document document;
  // Iterative: guards against nesting that would use up the stack.
  document.Parse<rapidjson::kParseIterativeFlag>(json.data(), json.size());
  if (document.HasParseError()) {
    throw FieldError(std::string("field '': not JSON: ") +
                     rapidjson::GetParseError_En(document.GetParseError()));
  }
  return read_discovery_event(Fields(document, 0), names);
}

}  // namespace edge_proxy::codec
