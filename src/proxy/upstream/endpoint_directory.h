// SPDX-License-Identifier: MIT
/// @file
/// The endpoint list as discovery sends it, with the overrides laid over it: endpoints that operators
/// suspended, and those that the policy of the cluster suspends.
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

/// Each function that changes something returns the endpoints whose effective state may have changed: all
/// parts have to be notified of them.
class EndpointDirectory {
 public:
  /// Takes in an update from discovery; returns it with the overrides laid over it.
  codec::EndpointUpdate apply(const codec::EndpointUpdate& update, Time now);

  /// An operator suspends the endpoint, or resumes it. None where no such endpoint was ever listed, or
  /// kMaxOverrides are suspended already.
  std::optional<codec::EndpointUpdate> suspend(const std::string& id, Time now);
  std::optional<codec::EndpointUpdate> resume(const std::string& id, Time now);

  /// The endpoints that the policy suspends. One that it resumes counts as started at that moment, as where
  /// an operator does.
  codec::EndpointUpdate set_policy_suspended(std::set<std::string> suspended, Time now);

  /// The operators' overrides, for a process that is started later.
  [[nodiscard]] std::string serialized_overrides() const;
  /// Takes over what another process has stored meanwhile.
  codec::EndpointUpdate load_overrides(std::string_view text);

  /// Whether an operator suspended the endpoint.
  [[nodiscard]] bool is_suspended(const std::string& id) const {
    const auto found = overrides_.find(id);
    return found != overrides_.end() && found->second.is_suspended;
  }

 private:
  /// What an operator last did with an endpoint.
  struct AdminOverride {
    bool is_suspended = false;
    Time changed_at{0};
    bool operator==(const AdminOverride&) const = default;
  };
  using Overrides = std::map<std::string, AdminOverride>;

  [[nodiscard]] codec::ListedEndpoint effective(const codec::ListedEndpoint& listed) const;
  [[nodiscard]] codec::EndpointUpdate update_for(const std::string& id) const;
  [[nodiscard]] bool is_known(const std::string& id) const;
  void store(const codec::ListedEndpoint& listed);
  void remember_removed(const std::string& id);
  void drop_expired_overrides(Time now);
  [[nodiscard]] static Overrides parse_overrides(std::string_view text);
  [[nodiscard]] static AdminOverride override_of(const Overrides& overrides, const std::string& id);

  std::map<std::string, codec::ListedEndpoint> endpoints_;
  Overrides overrides_;
  std::set<std::string> policy_suspended_;
  std::deque<std::string> recently_removed_;  // ids, the latest at the back
};

}  // namespace edge_proxy::proxy
