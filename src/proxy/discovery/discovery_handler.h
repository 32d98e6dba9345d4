// SPDX-License-Identifier: MIT
/// @file
/// Applies the events of the discovery service, which are changes to the endpoint list and invalidations, to
/// all parts that depend on them.
#pragma once

#include <cstdint>
#include <vector>

#include "codec/discovery_events.h"
#include "proxy/context.h"
#include "proxy/local_cache.h"
#include "proxy/request_dispatcher.h"
#include "proxy/upstream/endpoint_directory.h"
#include "proxy/upstream/upstream_pool.h"

namespace edge_proxy::proxy {

class DiscoveryHandler {
 public:
  struct Dependencies {
    Context& context;
    EndpointDirectory& endpoints;
    UpstreamPool& upstream;
    LocalCache& local_cache;
    RequestDispatcher& dispatcher;
  };
  /// Where an event comes from. A list from the configuration may be older than the endpoints' states.
  enum class EventSource : std::uint8_t { configuration, discovery_service };

  explicit DiscoveryHandler(const Dependencies& dependencies) : dependencies_(dependencies) {}

  /// Applies the events that the configuration contains.
  void apply_known_events(const std::vector<codec::DiscoveryEvent>& events);
  void apply(const codec::DiscoveryEvent& event, EventSource source);
  /// Applies changes to endpoints that result from an admin override or from the policy.
  void apply_overrides(const codec::EndpointUpdate& changed);

  /// Whether a complete endpoint list has been applied.
  [[nodiscard]] bool has_complete_list() const { return has_complete_list_; }

 private:
  [[nodiscard]] bool would_remove_all(const codec::EndpointUpdate& update) const;
  void apply(const codec::EndpointUpdate& update, std::int64_t event_number, EventSource source);
  void apply(const codec::Invalidation& invalidation);
  void publish(const codec::EndpointUpdate& update, ListKind kind);

  Dependencies dependencies_;
  bool has_complete_list_ = false;
};

}  // namespace edge_proxy::proxy
