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
#include "proxy/inputs.h"
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

  /// Executes the call and answers it. Calls that are answered later: policy changes by
  /// PolicyController::take_replies(), changes of overrides by answer(). `ready`: whether the proxy is ready
  /// for traffic.
  void execute(ConnectionId connection, const AdminCall& call, bool ready);
  /// Answers a call once its change is stored, or could not be. Must be called after all parts have been
  /// notified of the change.
  void answer(const OverrideReply& reply);

 private:
  struct Reply {
    int status = kHttpOk;
    std::string body;
  };

  /// Returns the response to a call that is answered at once; none if the call changes something that has to
  /// be stored first.
  [[nodiscard]] std::optional<Reply> reply_to(const AdminCall& call, bool ready);
  [[nodiscard]] static Reply reply_to(const OverrideReply& reply);
  /// `not_found_body`: the response body if there is no report.
  [[nodiscard]] static Reply report_reply(std::optional<std::string> report, std::string not_found_body);
  [[nodiscard]] Reply forget_member(const std::string& name);
  [[nodiscard]] std::string metrics() const;
  void change_override(ConnectionId connection, const AdminCall& call);
  void change_policy(ConnectionId connection, const AdminCall& call);

  Dependencies dependencies_;
};

}  // namespace edge_proxy::proxy
