// SPDX-License-Identifier: MIT
/// @file
/// Executes the calls that operators make at the admin address, and answers them.
#pragma once

#include <optional>
#include <string>

#include "proxy/admin/admin_call.h"
#include "proxy/admin/admin_connections.h"
#include "proxy/admin/http_status.h"
#include "proxy/client/pending_requests.h"
#include "proxy/cluster/membership_adapter.h"
#include "proxy/cluster/policy_controller.h"
#include "proxy/upstream/endpoint_directory.h"
#include "proxy/upstream/upstream_pool.h"

namespace edge_proxy::proxy {

/// Delegates the work of each call to other parts of the proxy and composes the response.
class AdminHandler {
 public:
  /// The parts that the calls read or change.
  struct Dependencies {
    Context& context;
    AdminConnections& admin_connections;
    PendingRequests& pending_requests;
    UpstreamPool& upstream;
    Router& router;
    EndpointDirectory& endpoints;
    MembershipAdapter& membership;
    PolicyController& policy;
  };
  explicit AdminHandler(const Dependencies& dependencies) : dependencies_(dependencies) {}

  /// Suspends or resumes the endpoint that the call names; other calls have no effect here. Returns the
  /// endpoints whose state has changed; the caller must notify all parts of them before it answers the call.
  codec::EndpointUpdate execute(const AdminCall& call, Time now);
  /// Executes all other calls and answers the call. Must be called after execute() and its notifications, so
  /// that a success is reported only once it is complete. Policy changes are answered later by
  /// PolicyController::take_replies(). `ready`: whether the proxy is ready for traffic.
  void reply(ConnectionId connection, const AdminCall& call, bool ready);

 private:
  struct Reply {
    int status = kHttpOk;
    std::string body;
  };

  /// Returns the response to a call that is answered at once; none if the call changes the policy.
  [[nodiscard]] std::optional<Reply> reply_to(const AdminCall& call, bool ready);
  /// `not_found_body`: the response body if there is no report.
  [[nodiscard]] static Reply report_reply(std::optional<std::string> report, std::string not_found_body);
  [[nodiscard]] Reply forget_member(const std::string& name);
  [[nodiscard]] std::string metrics() const;
  void change_policy(ConnectionId connection, const AdminCall& call);

  Dependencies dependencies_;
  bool is_target_known_ = false;  // whether the endpoint of the last suspend or resume call was ever listed
};

}  // namespace edge_proxy::proxy
