// SPDX-License-Identifier: MIT
#include "proxy/upstream/endpoint_directory.h"

#include <algorithm>
#include <utility>

#include "proxy/resource_limits.h"

namespace edge_proxy::proxy {

codec::ListedEndpoint EndpointDirectory::effective(const codec::ListedEndpoint& listed) const {
  const std::string& id = listed.endpoint.id;
  codec::ListedEndpoint effective = listed;
  Endpoint& endpoint = effective.endpoint;
  if (policy_suspended_.contains(id) || overrides_.is_suspended(id)) {
    if (endpoint.state == EndpointState::running) endpoint.state = EndpointState::draining;
  } else if (const auto resumed_at = overrides_.resumed_at(id)) {
    // The endpoint may have been restarted while it was suspended, and the discovery service may not have
    // reported that yet. It is warmed up from the time it was resumed, so that it is not overloaded. An
    // endpoint that was not restarted gets less traffic than it could serve for a while.
    endpoint.started = std::max(endpoint.started, *resumed_at);
  }
  return effective;
}

codec::EndpointUpdate EndpointDirectory::apply(const codec::EndpointUpdate& update, Time now,
                                               std::size_t max_endpoints) {
  if (update.is_complete) {
    for (const auto& [id, listed] : std::exchange(endpoints_, {})) remember_removed(id);
  }
  codec::EndpointUpdate effective_update{update.is_complete, {}};
  for (const codec::ListedEndpoint& changed : update.endpoints) {
    codec::ListedEndpoint listed = changed;
    const auto before = endpoints_.find(changed.endpoint.id);
    if (before == endpoints_.end() && endpoints_.size() >= max_endpoints) continue;
    if (listed.address.empty() && before != endpoints_.end()) listed.address = before->second.address;
    store(listed);
    effective_update.endpoints.push_back(effective(listed));
  }
  overrides_.drop_expired(now);
  return effective_update;
}

void EndpointDirectory::store(const codec::ListedEndpoint& listed) {
  const std::string& id = listed.endpoint.id;
  if (listed.endpoint.state != EndpointState::removed) {
    endpoints_[id] = listed;
  } else if (endpoints_.erase(id) > 0) {
    remember_removed(id);
  }
}

void EndpointDirectory::remember_removed(const std::string& id) {
  std::erase(recently_removed_, id);  // an endpoint that comes and goes must not displace all others
  recently_removed_.push_back(id);
  if (recently_removed_.size() > kMaxRemovedEndpoints) recently_removed_.pop_front();
}

bool EndpointDirectory::is_known(const std::string& id) const {
  return endpoints_.contains(id) || overrides_.contains(id) ||
         std::find(recently_removed_.begin(), recently_removed_.end(), id) != recently_removed_.end();
}

codec::EndpointUpdate EndpointDirectory::set_policy_suspended(std::set<std::string> suspended, Time now) {
  const std::set<std::string> before = std::exchange(policy_suspended_, std::move(suspended));
  for (const std::string& id : before) {
    const bool is_resumed = !policy_suspended_.contains(id) && !overrides_.is_suspended(id);
    if (is_resumed) overrides_.note_policy_resume(id, now);
  }
  codec::EndpointUpdate changed;
  for (const auto& [id, listed] : endpoints_) {
    if (before.contains(id) != policy_suspended_.contains(id)) changed.endpoints.push_back(effective(listed));
  }
  return changed;
}

codec::EndpointUpdate EndpointDirectory::merge_overrides(const OverrideTable& stored) {
  const auto has_changed = [this, before = overrides_](const std::string& id) {
    return before.is_suspended(id) != overrides_.is_suspended(id) ||
           before.resumed_at(id) != overrides_.resumed_at(id);
  };
  overrides_.merge(stored);
  codec::EndpointUpdate changed;
  for (const auto& [id, listed] : endpoints_) {
    if (has_changed(id)) changed.endpoints.push_back(effective(listed));
  }
  return changed;
}

}  // namespace edge_proxy::proxy
