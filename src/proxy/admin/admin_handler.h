// SPDX-License-Identifier: MIT
/// @file
/// What operators ask for at the second address, carried out and answered.
#pragma once

#include <string>

#include "proxy/admin/admin_connections.h"
#include "proxy/client/pending_requests.h"
#include "proxy/cluster/membership_adapter.h"
#include "proxy/cluster/policy_controller.h"
#include "proxy/upstream/endpoint_directory.h"
#include "proxy/upstream/upstream_pool.h"

namespace edge_proxy::proxy {

class AdminHandler {
 public:
  /// What it reads its answers from, or acts on.
  struct Dependencies {
    Context& context;
    Admin& admin;
    PendingRequests& pending_requests;
    UpstreamPool& upstream;
    Router& router;
    EndpointDirectory& endpoints;
    MembershipAdapter& membership;
    PolicyController& policy;
  };
  explicit AdminHandler(const Dependencies& parts) : dependencies_(parts) {}

  /// Does what the call asks for. The members that are to be treated otherwise from now on: to be told to all
  /// before the call is answered.
  codec::EndpointUpdate execute(const AdminCall& call, Time now);
  /// The answer, after act: a yes comes once all is done. `ready`: whether the proxy can serve.
  void reply(ConnectionId connection, const AdminCall& call, bool ready);

 private:
  [[nodiscard]] std::string metrics() const;

  Dependencies dependencies_;
  bool target_known_ = false;  // the member that the last call named
};

}  // namespace edge_proxy::proxy
