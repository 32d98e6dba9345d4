// SPDX-License-Identifier: MIT
/// @file
/// Events of the discovery service: endpoint updates and invalidations. The service's names of fields and
/// values appear only in discovery_events.cpp.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/fields.h"

namespace edge_proxy::codec {

/// An endpoint of the endpoint list, with its address. Zone and kind are indexes into the lists of the
/// settings.
struct ListedEndpoint {
  Endpoint endpoint;
  std::string address;  ///< host:port
  /// Start time of the endpoint's process as the service reports it, in Unix time; `endpoint.started` may be
  /// set to a later time.
  Time process_started{0};
};

/// An update of the endpoint list.
struct EndpointUpdate {
  bool is_complete = false;  ///< true: this is the whole list, and endpoints absent from it are removed
  std::vector<ListedEndpoint> endpoints;
};
/// Forbids serving copies of an object, or of a group of objects, that were made before `issued_at`.
struct Invalidation {
  std::optional<std::uint64_t> object;  ///< none: the invalidation covers the whole group
  std::int64_t group = 0;
  Time issued_at{0};  ///< Unix time; latest possible time, as the service rounds down to a millisecond
};

/// One event, which holds an endpoint update, an invalidation, both or neither.
struct DiscoveryEvent {
  std::int64_t number = 0;  ///< increases from event to event
  std::optional<EndpointUpdate> endpoints;
  std::optional<Invalidation> invalidation;
};

/// The service's names of zones and kinds, in the order of the settings.
struct DiscoveryNames {
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
};

/// Reads an event from a JSON object. Throws FieldError, which carries the path of the field; an unknown
/// zone, kind or state is an error.
[[nodiscard]] DiscoveryEvent read_discovery_event(const Fields& fields, const DiscoveryNames& names);

/// Parses the JSON text of an event; throws as read_discovery_event() does.
[[nodiscard]] DiscoveryEvent parse_discovery_event(std::string_view json, const DiscoveryNames& names);

}  // namespace edge_proxy::codec
