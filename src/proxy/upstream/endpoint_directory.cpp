// SPDX-License-Identifier: MIT
#include "proxy/upstream/endpoint_directory.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "proxy/resource_limits.h"

namespace edge_proxy::proxy {
namespace {

// The prefixes of a stored override.
constexpr std::string_view kSuspendedPrefix = "out ";
constexpr std::string_view kResumedPrefix = "in ";

}  // namespace

codec::ListedEndpoint EndpointDirectory::effective(const codec::ListedEndpoint& listed) const {
  const auto found = overrides_.find(listed.endpoint.id);
  const bool is_policy_suspended = policy_suspended_.contains(listed.endpoint.id);
  if (found == overrides_.end() && !is_policy_suspended) return listed;
  codec::ListedEndpoint effective = listed;
  Endpoint& endpoint = effective.endpoint;
  if (is_policy_suspended || found->second.is_suspended) {
    if (endpoint.state == EndpointState::running) endpoint.state = EndpointState::draining;
  } else {
    // The endpoint may have been restarted while it was suspended, and the discovery service may not have
    // reported that yet. It is warmed up from the time it was resumed, so that it is not overloaded. An
    // endpoint that was not restarted gets less traffic than it could serve for a while.
    endpoint.started = std::max(endpoint.started, found->second.changed_at);
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
  drop_expired_overrides(now);
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

codec::EndpointUpdate EndpointDirectory::update_for(const std::string& id) const {
  const auto listed = endpoints_.find(id);
  if (listed == endpoints_.end()) return {};
  return {false, {effective(listed->second)}};
}

codec::EndpointUpdate EndpointDirectory::set_policy_suspended(std::set<std::string> suspended, Time now) {
  const std::set<std::string> before = std::exchange(policy_suspended_, std::move(suspended));
  for (const std::string& id : before) {
    const bool is_resumed = !policy_suspended_.contains(id) && !is_suspended(id);
    if (is_resumed && overrides_.size() < kMaxOverrides) overrides_[id] = {false, now};
  }
  codec::EndpointUpdate changed;
  for (const auto& [id, listed] : endpoints_) {
    if (before.contains(id) != policy_suspended_.contains(id)) changed.endpoints.push_back(effective(listed));
  }
  return changed;
}

std::optional<codec::EndpointUpdate> EndpointDirectory::suspend(const std::string& id, Time now) {
  const bool is_full = overrides_.size() >= kMaxOverrides && !overrides_.contains(id);
  if (!is_known(id) || is_full) return std::nullopt;
  if (!is_suspended(id)) overrides_[id] = {true, now};  // a repeated call has no effect
  return update_for(id);
}

std::optional<codec::EndpointUpdate> EndpointDirectory::resume(const std::string& id, Time now) {
  if (!is_known(id)) return std::nullopt;
  if (is_suspended(id)) overrides_[id] = {false, now};
  return update_for(id);
}

/// Limits memory: the override of a resumed endpoint has no effect after the endpoint has warmed up.
void EndpointDirectory::drop_expired_overrides(Time now) {
  std::erase_if(overrides_, [now](const auto& item) {
    return !item.second.is_suspended && now - item.second.changed_at >= kOverrideRetention;
  });
}

// ---- Stored overrides: one line each, `out TIME ID` or `in TIME ID` ----

std::string EndpointDirectory::serialized_overrides() const {
  std::string text;
  for (const auto& [id, entry] : overrides_) {
    text.append(entry.is_suspended ? kSuspendedPrefix : kResumedPrefix);
    text.append(std::to_string(entry.changed_at.count())).append(" ").append(id).append("\n");
  }
  return text;
}

/// Skips malformed lines, since the file may be truncated.
EndpointDirectory::Overrides EndpointDirectory::parse_overrides(std::string_view text) {
  Overrides overrides;
  while (!text.empty() && overrides.size() < kMaxOverrides) {
    std::string_view line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(line.size() + 1, text.size()));
    const bool is_suspended = line.starts_with(kSuspendedPrefix);
    if (!is_suspended && !line.starts_with(kResumedPrefix)) continue;
    line.remove_prefix(is_suspended ? kSuspendedPrefix.size() : kResumedPrefix.size());
    std::int64_t changed_at = 0;
    const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), changed_at);
    const auto digits = static_cast<std::size_t>(end - line.data());
    if (error != std::errc{} || digits + 1 >= line.size() || line[digits] != ' ') continue;
    overrides[std::string(line.substr(digits + 1))] = {is_suspended, Time{changed_at}};
  }
  return overrides;
}

EndpointDirectory::AdminOverride EndpointDirectory::override_of(const Overrides& overrides,
                                                                const std::string& id) {
  const auto found = overrides.find(id);
  return found == overrides.end() ? AdminOverride{} : found->second;
}

codec::EndpointUpdate EndpointDirectory::load_overrides(std::string_view text) {
  const Overrides before = std::exchange(overrides_, parse_overrides(text));
  codec::EndpointUpdate changed;
  for (const auto& [id, listed] : endpoints_) {
    if (override_of(before, id) != override_of(overrides_, id)) {
      changed.endpoints.push_back(effective(listed));
    }
  }
  return changed;
}

}  // namespace edge_proxy::proxy
