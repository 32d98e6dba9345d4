// SPDX-License-Identifier: MIT
#include "routing/endpoint_table.h"

#include <algorithm>

#include "base/hash.h"

namespace edge_proxy::routing {

void EndpointTable::apply(const EndpointList& list) {
  if (list.kind != ListKind::changes) {  // endpoints missing from a complete list are removed
    for (EndpointStats& stats : endpoints_) stats.endpoint.state = EndpointState::removed;
  }
  for (const Endpoint& endpoint : list.endpoints) update_endpoint(endpoint);
  for (std::size_t index = 0; index < endpoints_.size(); ++index) free_if_unused(index);
}

void EndpointTable::update_endpoint(const Endpoint& endpoint) {
  if (endpoint.state == EndpointState::removed && !index_by_id_.contains(endpoint.id)) return;
  EndpointStats& stats = endpoints_[find_or_add(endpoint.id)];
  if (endpoint.started != stats.endpoint.started) stats.health.reset_for_restart();
  stats.endpoint = endpoint;
  stats.role = role_of(endpoint);
}

std::size_t EndpointTable::find_or_add(const std::string& id) {
  const std::size_t new_index = free_indices_.empty() ? endpoints_.size() : free_indices_.back();
  const auto [found, is_new] = index_by_id_.emplace(id, new_index);
  if (!is_new) return found->second;
  if (free_indices_.empty()) {
    endpoints_.emplace_back();
  } else {
    free_indices_.pop_back();
  }
  endpoints_[new_index] = EndpointStats();
  endpoints_[new_index].is_in_use = true;
  endpoints_[new_index].hash = splitmix64(fnv1a(id));
  return new_index;
}

Role EndpointTable::role_of(const Endpoint& endpoint) const {
  if (endpoint.kind == settings_.origin_kind) return Role::origin;
  if (endpoint.kind == settings_.parent_kind) return Role::parent;
  return endpoint.zone == settings_.zone ? Role::cache : Role::other_zone;
}

void EndpointTable::remove_reference(std::size_t index) {
  --endpoints_[index].references;
  free_if_unused(index);
}

/// Frees the entry of a removed endpoint once no pending request refers to it, for reuse by a new endpoint.
/// This bounds the memory when endpoints are replaced repeatedly.
void EndpointTable::free_if_unused(std::size_t index) {
  EndpointStats& stats = endpoints_[index];
  if (!stats.is_in_use || stats.endpoint.state != EndpointState::removed || stats.references > 0) return;
  index_by_id_.erase(stats.endpoint.id);
  // Nothing of the endpoint stays in the free entry, least of all its id, which may be listed again in
  // another.
  stats = EndpointStats();
  stats.endpoint.state = EndpointState::removed;
  free_indices_.push_back(index);
}

std::vector<std::size_t> EndpointTable::running(Role role) const {
  std::vector<std::size_t> indices;
  for (std::size_t index = 0; index < endpoints_.size(); ++index) {
    if (endpoints_[index].role == role && endpoints_[index].is_running()) indices.push_back(index);
  }
  return indices;
}

std::optional<std::size_t> EndpointTable::origin() const {
  const auto indices = running(Role::origin);
  if (indices.empty()) return std::nullopt;
  return indices.front();
}

std::size_t EndpointTable::ejected_count(Time now) const {
  return static_cast<std::size_t>(std::count_if(
      endpoints_.begin(), endpoints_.end(),
      [now](const EndpointStats& stats) { return stats.is_running() && stats.health.is_ejected(now); }));
}

}  // namespace edge_proxy::routing
