// SPDX-License-Identifier: MIT
/// @file
/// The events of the discovery service: changes to the endpoint list, and invalidations. Its words for fields
/// and values stand in discovery_events.cpp alone.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/fields.h"

namespace edge_proxy::codec {

/// An endpoint of the list and its address. Zone and kind are indexes into the settings' lists.
struct ListedEndpoint {
  Endpoint endpoint;
  std::string address;  ///< host:port
  /// Start of its process as the service reports it, Unix time; `endpoint.started` may be set later than
  /// this.
  Time process_started{0};
};

/// A change to the endpoint list.
struct EndpointUpdate {
  bool is_complete = false;  ///< the whole list: endpoints that it lacks are gone
  std::vector<ListedEndpoint> endpoints;
};
/// Copies of an object, or of a group of objects, that were made before `issued_at` are not to be served.
struct Invalidation {
  std::optional<std::uint64_t> object;  ///< none: the whole group
  std::int64_t group = 0;
  Time issued_at{0};  ///< Unix time; the latest one meant, as the service rounds down to a millisecond
};

/// One event: an update, an invalidation, both or neither.
struct DiscoveryEvent {
  std::int64_t number = 0;  ///< rises from event to event
  std::optional<EndpointUpdate> endpoints;
  std::optional<Invalidation> invalidation;
};

/// The service's names of zones and kinds, in the settings' order.
struct DiscoveryNames {
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
};

/// Reads an event. Throws FieldError, which carries the field; an unknown zone, kind or state is an error.
[[nodiscard]] DiscoveryEvent read_discovery_event(const Fields& fields, const DiscoveryNames& names);

/// The same from its JSON.
[[nodiscard]] DiscoveryEvent parse_discovery_event(std::string_view json, const DiscoveryNames& names);

}  // namespace edge_proxy::codec
