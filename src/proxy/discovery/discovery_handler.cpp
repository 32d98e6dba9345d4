// SPDX-License-Identifier: MIT
#include "proxy/discovery/discovery_handler.h"

#include <algorithm>
#include <string>

namespace edge_proxy::proxy {
namespace {

ListKind list_kind_of(const codec::EndpointUpdate& update, DiscoveryHandler::EventSource source) {
  if (!update.is_complete) return ListKind::changes;
  return source == DiscoveryHandler::EventSource::configuration ? ListKind::from_configuration
                                                                : ListKind::complete;
}

}  // namespace

void DiscoveryHandler::apply_known_events(const std::vector<codec::DiscoveryEvent>& events) {
  EventSource source = EventSource::configuration;
  for (const codec::DiscoveryEvent& event : events) {
    apply(event, source);
    // Only the first list is part of the configuration itself; the following ones are newer.
    if (event.endpoints) source = EventSource::discovery_service;
  }
}

void DiscoveryHandler::apply(const codec::DiscoveryEvent& event, EventSource source) {
  if (event.endpoints) apply(*event.endpoints, event.number, source);
  if (event.invalidation) apply(*event.invalidation);
  dependencies_.dispatcher.report_completions();
}

/// Whether an empty list that is marked as complete would remove all endpoints. Such a list is ignored, since
/// it would end all service; it names no endpoint that leaves, so that no drain is lost with it. It is
/// applied if no endpoint is known.
bool DiscoveryHandler::would_remove_all(const codec::EndpointUpdate& update) const {
  return update.is_complete && update.endpoints.empty() && dependencies_.upstream.endpoint_count() > 0;
}

void DiscoveryHandler::apply(const codec::EndpointUpdate& update, std::int64_t event_number,
                             EventSource source) {
  Context& context = dependencies_.context;
  if (would_remove_all(update)) {
    context.log("list empty no=" + std::to_string(event_number) + " ignored");
    return;
  }
  has_complete_list_ = has_complete_list_ || update.is_complete;
  context.log("list no=" + std::to_string(event_number) + " complete=" + (update.is_complete ? "1" : "0") +
              " members=" + std::to_string(update.endpoints.size()));
  const codec::EndpointUpdate effective =
      dependencies_.endpoints.apply(update, context.now, context.limits.max_endpoints);
  if (effective.endpoints.size() < update.endpoints.size()) context.log("list too long, endpoints ignored");
  publish(effective, list_kind_of(update, source));
}

void DiscoveryHandler::apply(const codec::Invalidation& invalidation) {
  const Time now = dependencies_.context.now;
  dependencies_.upstream.invalidate(invalidation);
  dependencies_.local_cache.invalidate(invalidation, now);
  dependencies_.dispatcher.notify_router(
      Invalidation{invalidation.object, invalidation.group, std::max(Time{0}, now - invalidation.issued_at)});
}

void DiscoveryHandler::apply_overrides(const codec::EndpointUpdate& changed) {
  if (!changed.endpoints.empty()) publish(changed, ListKind::changes);
  dependencies_.dispatcher.report_completions();
}

/// Passes the endpoints with their effective states to the upstream pool and to the router.
void DiscoveryHandler::publish(const codec::EndpointUpdate& update, ListKind kind) {
  dependencies_.upstream.apply(update);
  EndpointList list{kind, {}};
  list.endpoints.reserve(update.endpoints.size());
  for (const codec::ListedEndpoint& listed : update.endpoints) list.endpoints.push_back(listed.endpoint);
  dependencies_.dispatcher.notify_router(list);
}

}  // namespace edge_proxy::proxy
