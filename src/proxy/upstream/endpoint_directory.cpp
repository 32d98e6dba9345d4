// SPDX-License-Identifier: MIT
#include "proxy/upstream/endpoint_directory.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "proxy/resource_limits.h"

namespace edge_proxy::proxy {

codec::ListedEndpoint EndpointDirectory::effective(const codec::ListedEndpoint& listed) const {
  const auto found = overrides_.find(listed.endpoint.id);
  const bool agreed_out = policy_suspended_.count(listed.endpoint.id) != 0;
  if (found == overrides_.end() && !agreed_out) return listed;
  codec::ListedEndpoint told = listed;
  if (agreed_out || found->second.is_suspended) {
    if (told.endpoint.state == EndpointState::running) told.endpoint.state = EndpointState::draining;
  } else {
    // Guards against pushing over a member that was restarted while it was out, of which the bulletin may not
    // have told yet: it counts as cold from the moment it was put back. Harm: one that was not restarted is
    // asked less than it could bear for a while.
    told.endpoint.started = std::max(told.endpoint.started, found->second.changed_at);
  }
  return told;
}

codec::EndpointUpdate EndpointDirectory::apply(const codec::EndpointUpdate& told, Time now) {
  const auto gone = [this](const std::string& id) {
    recently_removed_.push_back(id);
    if (recently_removed_.size() > kMaxRemovedEndpoints) recently_removed_.pop_front();
  };
  if (told.is_complete) {
    for (const auto& [id, listed] : std::exchange(endpoints_, {})) gone(id);
  }
  codec::EndpointUpdate out{told.is_complete, {}};
  for (const codec::ListedEndpoint& news : told.endpoints) {
    codec::ListedEndpoint listed = news;
    const auto before = endpoints_.find(news.endpoint.id);
    if (listed.address.empty() && before != endpoints_.end()) listed.address = before->second.address;
    if (news.endpoint.state != EndpointState::removed) {
      endpoints_[news.endpoint.id] = listed;
    } else if (before != endpoints_.end()) {
      endpoints_.erase(before);
      gone(news.endpoint.id);
    }
    out.endpoints.push_back(effective(listed));
  }
  drop_expired_overrides(now);
  return out;
}

bool EndpointDirectory::is_known(const std::string& id) const {
  return endpoints_.count(id) != 0 || overrides_.count(id) != 0 ||
         std::find(recently_removed_.begin(), recently_removed_.end(), id) != recently_removed_.end();
}

codec::EndpointUpdate EndpointDirectory::update_for(const std::string& id) const {
  const auto listed = endpoints_.find(id);
  if (listed == endpoints_.end()) return {};
  return {false, {effective(listed->second)}};
}

codec::EndpointUpdate EndpointDirectory::set_policy_suspended(std::set<std::string> out, Time now) {
  const std::set<std::string> before = std::exchange(policy_suspended_, std::move(out));
  for (const std::string& id : before) {
    if (policy_suspended_.count(id) == 0 && !is_suspended(id) && overrides_.size() < kMaxOverrides)
      overrides_[id] = {false, now};
  }
  codec::EndpointUpdate changed;
  for (const auto& [id, listed] : endpoints_) {
    if (before.count(id) != policy_suspended_.count(id)) changed.endpoints.push_back(effective(listed));
  }
  return changed;
}

std::optional<codec::EndpointUpdate> EndpointDirectory::suspend(const std::string& id, Time now) {
  if (!is_known(id) || (overrides_.size() >= kMaxOverrides && overrides_.count(id) == 0)) return std::nullopt;
  if (!is_suspended(id)) overrides_[id] = {true, now};  // said again, it changes nothing
  return update_for(id);
}

std::optional<codec::EndpointUpdate> EndpointDirectory::resume(const std::string& id, Time now) {
  if (!is_known(id)) return std::nullopt;
  if (is_suspended(id)) overrides_[id] = {false, now};
  return update_for(id);
}

/// Guards the memory: once a member that was put back would be warm anyway, that it was out tells nothing.
void EndpointDirectory::drop_expired_overrides(Time now) {
  std::erase_if(overrides_, [now](const auto& e) {
    return !e.second.is_suspended && now - e.second.changed_at >= kOverrideRetention;
  });
}

std::string EndpointDirectory::serialized_overrides() const {
  std::string text;
  for (const auto& [id, said] : overrides_) {
    text.append(said.is_suspended ? "out " : "in ").append(std::to_string(said.changed_at.count()));
    text.append(" ").append(id).append("\n");
  }
  return text;
}

codec::EndpointUpdate EndpointDirectory::load_overrides(std::string_view text) {
  std::map<std::string, AdminOverride> read;
  while (!text.empty() && read.size() < kMaxOverrides) {
    std::string_view line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(line.size() + 1, text.size()));
    const bool out = line.substr(0, 4) == "out ";
    if (!out && line.substr(0, 3) != "in ") continue;
    line.remove_prefix(out ? 4 : 3);
    std::int64_t at = 0;
    const auto [end, problem] = std::from_chars(line.data(), line.data() + line.size(), at);
    const auto used = static_cast<std::size_t>(end - line.data());
    // Guards against a file that was cut off: a line that can't be read is passed over.
    if (problem != std::errc{} || used + 1 >= line.size() || line[used] != ' ') continue;
    read[std::string(line.substr(used + 1))] = {out, Time{at}};
  }
  std::map<std::string, AdminOverride> before = std::exchange(overrides_, std::move(read));
  codec::EndpointUpdate changed;
  for (const auto& [id, listed] : endpoints_) {
    const auto was = before.find(id), is = overrides_.find(id);
    const AdminOverride none{};
    if ((was == before.end() ? none : was->second) != (is == overrides_.end() ? none : is->second))
      changed.endpoints.push_back(effective(listed));
  }
  return changed;
}

}  // namespace edge_proxy::proxy
