// SPDX-License-Identifier: MIT
/// @file
/// The endpoint list of the discovery service combined with the overrides: endpoints that operators have
/// suspended, and those that the cluster's policy suspends.
#pragma once

#include <cstddef>
#include <deque>
#include <limits>
#include <map>
#include <set>
#include <string>

#include "codec/discovery_events.h"
#include "proxy/overrides/override_table.h"

namespace edge_proxy::proxy {

/// Each modifying function returns the endpoints whose effective state may have changed. The caller must
/// notify all parts of them.
class EndpointDirectory {
 public:
  /// Applies an update from the discovery service and returns it with the overrides applied. New endpoints
  /// beyond `max_endpoints` are ignored.
  codec::EndpointUpdate apply(const codec::EndpointUpdate& update, Time now,
                              std::size_t max_endpoints = std::numeric_limits<std::size_t>::max());

  /// Whether the endpoint is listed or was so before.
  [[nodiscard]] bool is_known(const std::string& id) const;
  /// Takes over the stored admin overrides. What this process knows already is kept.
  codec::EndpointUpdate merge_overrides(const OverrideTable& stored);
  [[nodiscard]] const OverrideTable& overrides() const { return overrides_; }

  /// Sets the endpoints that the policy suspends. Those that it resumes count as started now, as after an
  /// operator's call; overrides() notes them.
  codec::EndpointUpdate set_policy_suspended(std::set<std::string> suspended, Time now);

 private:
  [[nodiscard]] codec::ListedEndpoint effective(const codec::ListedEndpoint& listed) const;
  void store(const codec::ListedEndpoint& listed);
  void remember_removed(const std::string& id);

  std::map<std::string, codec::ListedEndpoint> endpoints_;
  OverrideTable overrides_;
  std::set<std::string> policy_suspended_;
  std::deque<std::string> recently_removed_;  // ids, the most recent one last
};

}  // namespace edge_proxy::proxy
