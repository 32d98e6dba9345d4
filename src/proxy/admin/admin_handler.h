// SPDX-License-Identifier: MIT
/// @file
/// Carries out the calls that operators make at the admin address, and answers them.
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

/// Decides on the answer to each call; the parts that it depends on do the work.
class AdminHandler {
 public:
  /// What it reads its answers from, or acts on.
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

  /// Suspends or resumes the endpoint that the call names; nothing for other calls. Returns the endpoints
  /// whose state has changed: all parts have to be notified of them before the call is answered.
  codec::EndpointUpdate execute(const AdminCall& call, Time now);
  /// Carries out any other call and answers it, after execute(): a success is reported once all is done.
  /// Changes of the policy are answered later, by PolicyController::take_replies(). `ready`: whether the
  /// proxy can serve.
  void reply(ConnectionId connection, const AdminCall& call, bool ready);

 private:
  struct Reply {
    int status = kHttpOk;
    std::string body;
  };

  /// The answer to a call that is answered at once; none to one that waits for the policy's log.
  [[nodiscard]] std::optional<Reply> reply_to(const AdminCall& call, bool ready);
  /// `not_found_body`: the body where there is no such report.
  [[nodiscard]] static Reply report_reply(std::optional<std::string> report, std::string not_found_body);
  [[nodiscard]] Reply forget_member(const std::string& name);
  [[nodiscard]] std::string metrics() const;
  void change_policy(ConnectionId connection, const AdminCall& call);

  Dependencies dependencies_;
  bool is_target_known_ = false;  // whether the endpoint that the last call named was ever listed
};

}  // namespace edge_proxy::proxy
