// SPDX-License-Identifier: MIT
/// @file
/// Applies the discovery service's events - changes of the endpoint list and invalidations - to all parts
/// that have to know of them.
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
  /// Where an event was read from. A list from the configuration may be older than the endpoints' states.
  enum class EventSource : std::uint8_t { configuration, discovery_service };

  explicit DiscoveryHandler(const Dependencies& dependencies) : dependencies_(dependencies) {}

  /// Applies the events that the configuration brings along.
  void apply_known_events(const std::vector<codec::DiscoveryEvent>& events);
  void apply(const codec::DiscoveryEvent& event, EventSource source);
  /// Endpoints are to be treated otherwise from now on, for another reason than an event: an operator's or
  /// the policy's.
  void apply_overrides(const codec::EndpointUpdate& changed);

  /// Whether a complete endpoint list has been read.
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
