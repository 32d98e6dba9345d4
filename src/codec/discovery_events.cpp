// SPDX-License-Identifier: MIT
#include "codec/discovery_events.h"

#include <rapidjson/error/en.h>

#include <algorithm>

namespace edge_proxy::codec {
namespace {

constexpr std::array<std::string_view, 3> kEndpointStateWords{"active", "leaving", "left"};

/// Latest time that is accepted, in Unix milliseconds (about the year 33,000).
constexpr std::int64_t kMaxUnixMs = 1'000'000'000'000'000;
/// Resolution of invalidation times: the service rounds them down by less than this.
constexpr Time kIssuedResolution = std::chrono::milliseconds(1);

/// Converts Unix milliseconds to the program's clock, which is Unix time in microseconds. All times of the
/// discovery service are converted here.
Time to_time(const Fields& fields, const char* name, std::int64_t unix_ms) {
  // A larger value could overflow when it is converted to microseconds.
  if (unix_ms < 0 || unix_ms > kMaxUnixMs) fields.fail(name, "is out of range");
  return std::chrono::milliseconds(unix_ms);
}

/// Returns the index of the field's value in `names`.
int read_index(const Fields& fields, const char* name, const std::vector<std::string>& names) {
  const std::string value = fields.text(name);
  const auto found = std::find(names.begin(), names.end(), value);
  if (found == names.end()) fields.fail(name, "has the unknown value '" + value + "'");
  return static_cast<int>(found - names.begin());
}

ListedEndpoint read_endpoint(const Fields& fields, const DiscoveryNames& names) {
  ListedEndpoint listed;
  Endpoint& endpoint = listed.endpoint;
  endpoint.id = fields.text("id");
  listed.address = fields.text("host_port", "");
  endpoint.state = fields.enumerator<EndpointState>("phase", kEndpointStateWords);
  endpoint.weight = fields.number("size", 1);
  endpoint.cell = fields.small_integer("cell", 0);
  endpoint.zone = read_index(fields, "locality", names.zones);
  endpoint.kind = read_index(fields, "flavor", names.kinds);
  endpoint.started = to_time(fields, "up_since_ms", fields.integer("up_since_ms", 0));
  listed.process_started = endpoint.started;
  return listed;
}

EndpointUpdate read_endpoint_update(const Fields& fields, const DiscoveryNames& names) {
  EndpointUpdate update;
  update.is_complete = fields.boolean("complete", false);
  for (const Fields& entry : fields.objects("members")) {
    update.endpoints.push_back(read_endpoint(entry, names));
  }
  return update;
}

Invalidation read_invalidation(const Fields& fields) {
  Invalidation invalidation;
  if (fields.find("item") != nullptr) invalidation.object = fields.object_id("item");
  invalidation.group = fields.integer("lot", 0);
  invalidation.issued_at = to_time(fields, "issued", fields.integer("issued")) + kIssuedResolution;
  return invalidation;
}

/// Whether the text may hold so many values that they would take several times the memory of the text.
bool has_too_many_values(std::string_view json) {
  constexpr std::size_t kBytesPerValue = 10;  // an endpoint takes more for each of its fields
  constexpr std::size_t kAlwaysAllowedValues = 4096;
  const auto separators = std::count_if(json.begin(), json.end(), [](char character) {
    return character == ',' || character == '[' || character == '{';
  });
  return static_cast<std::size_t>(separators) > std::max(kAlwaysAllowedValues, json.size() / kBytesPerValue);
}

}  // namespace

DiscoveryEvent read_discovery_event(const Fields& fields, const DiscoveryNames& names) {
  DiscoveryEvent event;
  event.number = fields.integer("no");
  if (fields.find("roster") != nullptr) {
    event.endpoints = read_endpoint_update(fields.object("roster"), names);
  }
  if (fields.find("recall") != nullptr) event.invalidation = read_invalidation(fields.object("recall"));
  return event;
}

DiscoveryEvent parse_discovery_event(std::string_view json, const DiscoveryNames& names) {
  if (has_too_many_values(json)) throw FieldError(0, "", "has too many values");
  rapidjson::Document document;
  // Iterative parsing keeps deeply nested input from overflowing the stack.
  document.Parse<rapidjson::kParseIterativeFlag>(json.data(), json.size());
  if (document.HasParseError()) {
    const std::string problem = rapidjson::GetParseError_En(document.GetParseError());
    throw FieldError(0, "", "not JSON: " + problem);
  }
  return read_discovery_event(Fields(document, 0), names);
}

}  // namespace edge_proxy::codec
