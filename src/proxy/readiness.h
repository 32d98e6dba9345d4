// SPDX-License-Identifier: MIT
/// @file
/// Decides whether the proxy is ready for traffic, for clients' readiness checks and the admin address.
#pragma once

#include "proxy/cluster/policy_controller.h"
#include "proxy/discovery/discovery_handler.h"
#include "proxy/graceful_shutdown.h"

namespace edge_proxy::proxy {

class Readiness {
 public:
  Readiness(const DiscoveryHandler& discovery, const GracefulShutdown& shutdown,
            const PolicyController& policy)
      : discovery_(discovery), shutdown_(shutdown), policy_(policy) {}

  /// The proxy is ready if it has a complete endpoint list, is not shutting down and, where a policy is
  /// configured, may decide under it.
  [[nodiscard]] bool is_ready() const {
    return discovery_.has_complete_list() && !shutdown_.is_stopping() && policy_.can_decide();
  }

 private:
  const DiscoveryHandler& discovery_;
  const GracefulShutdown& shutdown_;
  const PolicyController& policy_;
};

}  // namespace edge_proxy::proxy
