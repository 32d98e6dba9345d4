// SPDX-License-Identifier: MIT
#include "proxy/upstream/endpoint_table.h"

#include <algorithm>

namespace edge_proxy::proxy {

void EndpointTable::mark_all_removed() {
  for (auto& [id, entry] : entries_) entry.endpoint.state = EndpointState::removed;
}

bool EndpointTable::is_replaced_by(const codec::ListedEndpoint& listed) const {
  const auto found = entries_.find(listed.endpoint.id);
  if (found == entries_.end() || listed.endpoint.state == EndpointState::removed) return false;
  const Entry& entry = found->second;
  const bool has_moved = !listed.address.empty() && entry.address != listed.address;
  return has_moved || entry.process_started != listed.process_started;
}

void EndpointTable::update(const codec::ListedEndpoint& listed) {
  Entry& entry = entries_[listed.endpoint.id];
  entry.endpoint = listed.endpoint;
  entry.process_started = listed.process_started;
  if (!listed.address.empty()) entry.address = listed.address;
}

std::vector<std::string> EndpointTable::removed() const {
  std::vector<std::string> ids;
  for (const auto& [id, entry] : entries_) {
    if (entry.endpoint.state == EndpointState::removed) ids.push_back(id);
  }
  return ids;
}

void EndpointTable::erase_removed() {
  std::erase_if(entries_,
                [](const auto& item) { return item.second.endpoint.state == EndpointState::removed; });
}

EndpointTable::Entry* EndpointTable::find(const std::string& id) {
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second;
}

bool EndpointTable::accepts_attempts(const std::string& id) const {
  const auto found = entries_.find(id);
  return found != entries_.end() && found->second.endpoint.state == EndpointState::running;
}

void EndpointTable::remove_connection(const std::string& id, ConnectionId connection) {
  if (Entry* entry = find(id)) entry->connections.erase(connection);
}

std::size_t EndpointTable::not_running_count() const {
  const auto is_not_running = [](const auto& item) {
    return item.second.endpoint.state != EndpointState::running;
  };
  return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), is_not_running));
}

std::size_t EndpointTable::connected_count() const {
  const auto has_connection = [](const auto& item) { return !item.second.connections.empty(); };
  return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), has_connection));
}

}  // namespace edge_proxy::proxy
