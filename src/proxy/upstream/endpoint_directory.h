// SPDX-License-Identifier: MIT
/// @file
/// The list of members as the bulletin tells it, with what operators took out by hand laid over it.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "codec/discovery_events.h"

namespace edge_proxy::proxy {

class EndpointDirectory {
 public:
  /// Takes in the bulletin's news; what is to be told of it to all others.
  codec::EndpointUpdate apply(const codec::EndpointUpdate& told, Time now);

  /// Takes a member out, or in again. What is to be told of it; none where no such member was ever listed.
  std::optional<codec::EndpointUpdate> suspend(const std::string& id, Time now);
  std::optional<codec::EndpointUpdate> resume(const std::string& id, Time now);

  /// Those that the policy of the whole fleet takes out; what is to be told of the differences. One that
  /// comes back counts as started at that moment, as where an operator puts it back.
  codec::EndpointUpdate set_policy_suspended(std::set<std::string> out, Time now);

  /// What outlives the process, and what another process has kept meanwhile. The latter gives what is to be
  /// told of the differences.
  [[nodiscard]] std::string serialized_overrides() const;
  codec::EndpointUpdate load_overrides(std::string_view text);

  [[nodiscard]] bool is_suspended(const std::string& id) const {
    const auto found = overrides_.find(id);
    return found != overrides_.end() && found->second.is_suspended;
  }

 private:
  /// What operators said of a member last.
  struct AdminOverride {
    bool is_suspended = false;
    Time changed_at{0};
    bool operator==(const AdminOverride&) const = default;
  };

  [[nodiscard]] codec::ListedEndpoint effective(const codec::ListedEndpoint& listed) const;
  [[nodiscard]] codec::EndpointUpdate update_for(const std::string& id) const;
  [[nodiscard]] bool is_known(const std::string& id) const;
  void drop_expired_overrides(Time now);

  std::map<std::string, codec::ListedEndpoint> endpoints_;
  std::map<std::string, AdminOverride> overrides_;
  std::set<std::string> policy_suspended_;
  std::deque<std::string> recently_removed_;  // the ids that left last
};

}  // namespace edge_proxy::proxy
