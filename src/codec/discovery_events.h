// SPDX-License-Identifier: MIT
/// @file
/// The bulletin's events: changes to the list of members, and purges.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/fields.h"

namespace edge_proxy::codec {

/// A member as the bulletin names it, with where it listens. Zone and kind are places in the settings' lists.
struct ListedEndpoint {
  Endpoint endpoint;
  std::string address;
  Time process_started{
      0};  ///< when its process started, as the bulletin tells; `member.started` may be put later
};
struct EndpointUpdate {
  bool is_complete = false;
  std::vector<ListedEndpoint> endpoints;
};
/// A purge. `issued` is the latest moment it may mean: the bulletin rounds down to a millisecond.
struct Invalidation {
  std::optional<std::uint64_t> object;
  std::int64_t group = 0;
  Time issued_at{0};
};
struct DiscoveryEvent {
  std::int64_t number = 0;
  std::optional<EndpointUpdate> endpoints;
  std::optional<Invalidation> invalidation;
};

/// The names that the bulletin uses for zones and kinds, in the settings' order.
struct DiscoveryNames {
  std::vector<std::string> zones, kinds;
};

/// Throws FieldError.
DiscoveryEvent read_discovery_event(const Fields& fields, const DiscoveryNames& names);
DiscoveryEvent parse_discovery_event(std::string_view json, const DiscoveryNames& names);

}  // namespace edge_proxy::codec
