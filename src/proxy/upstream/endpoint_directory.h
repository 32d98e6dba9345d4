// SPDX-License-Identifier: MIT
/// @file
/// The endpoint list of the discovery service combined with the overrides: endpoints that operators have
/// suspended, and those that the cluster's policy suspends.
#pragma once

#include <cstddef>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "codec/discovery_events.h"

namespace edge_proxy::proxy {

/// Each modifying function returns the endpoints whose effective state may have changed. The caller must
/// notify all parts of them.
class EndpointDirectory {
 public:
  /// Applies an update from the discovery service and returns it with the overrides applied. New endpoints
  /// beyond `max_endpoints` are ignored.
  codec::EndpointUpdate apply(const codec::EndpointUpdate& update, Time now,
                              std::size_t max_endpoints = std::numeric_limits<std::size_t>::max());

  /// Suspends or resumes the endpoint by an admin override. Returns none if no such endpoint is known or, for
  /// suspend(), if there are kMaxOverrides overrides already.
  std::optional<codec::EndpointUpdate> suspend(const std::string& id, Time now);
  std::optional<codec::EndpointUpdate> resume(const std::string& id, Time now);

  /// Sets the endpoints that the policy suspends. Those that it resumes count as started now, as after an
  /// operator's call.
  codec::EndpointUpdate set_policy_suspended(std::set<std::string> suspended, Time now);

  /// Returns the admin overrides in the form in which they are stored for other processes.
  [[nodiscard]] std::string serialized_overrides() const;
  /// Replaces the admin overrides by those that another process has stored.
  codec::EndpointUpdate load_overrides(std::string_view text);

  /// Whether the endpoint is suspended by an admin override.
  [[nodiscard]] bool is_suspended(const std::string& id) const {
    const auto found = overrides_.find(id);
    return found != overrides_.end() && found->second.is_suspended;
  }

 private:
  /// The last call of an operator for an endpoint.
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
  std::deque<std::string> recently_removed_;  // ids, the most recent one last
};

}  // namespace edge_proxy::proxy
