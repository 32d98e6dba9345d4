// SPDX-License-Identifier: MIT
/// @file
/// The checks that a client's request must pass before it is accepted. Each failed check has its own reason.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <variant>

#include "edge_proxy/router.h"
#include "proxy/client/client_connections.h"
#include "proxy/client/executed_requests.h"
#include "proxy/client/pending_requests.h"
#include "proxy/cluster/policy_controller.h"
#include "proxy/graceful_shutdown.h"

namespace edge_proxy::proxy {

/// The reasons for a rejection, in the order of the checks.
enum class RejectionReason : std::uint8_t {
  duplicate_call_id,        ///< an open call has the same id, so that the answers would be ambiguous
  client_backed_up,         ///< the client has too many open calls or unread bytes
  shutting_down,            ///< the answer might not be ready before the process exits
  no_policy_lease,          ///< the proxy holds no lease on the active policy epoch
  class_refused_by_policy,  ///< the policy in force rejects all requests of this class
  malformed_request,        ///< a field is missing, malformed or out of bounds
  duplicate_request_id,     ///< a request with this id is pending, or an attempt of it has not ended
  already_executed,         ///< a request with this id may have run, and its class allows no repeat
  memory_exhausted          ///< pending requests have reached their share of the memory
};

/// The reply by which the client learns of a rejection.
enum class RejectionReply : std::uint8_t {
  try_later,    ///< the client can safely retry
  failed,       ///< nothing is said about a retry
  close_stream  ///< the stream is malformed and its connection is closed
};
[[nodiscard]] RejectionReply reply_to(RejectionReason reason);

/// The request to accept, or the reason for its rejection.
using AdmissionResult = std::variant<PendingRequest, RejectionReason>;

class RequestAdmission {
 public:
  struct Dependencies {
    const Context& context;
    const ClientConnections& clients;
    PendingRequests& pending_requests;
    const ExecutedRequests& executed_requests;
    PolicyController& policy;
    const GracefulShutdown& shutdown;
    const Router& router;
  };
  explicit RequestAdmission(const Dependencies& dependencies) : dependencies_(dependencies) {}

  /// Runs the checks, cheap ones first. On success, the body is moved from the call into the result.
  [[nodiscard]] AdmissionResult admit(ConnectionId client, ObjectRequest& call);
  /// Sets the classes that the policy in force rejects, as indexes into the settings.
  void set_refused_classes(std::set<std::size_t> refused_classes) {
    refused_classes_ = std::move(refused_classes);
  }

 private:
  [[nodiscard]] std::optional<RejectionReason> check_connection(ConnectionId client,
                                                                const ObjectRequest& call) const;
  [[nodiscard]] bool is_id_in_use(const std::string& id) const;
  [[nodiscard]] RepeatPermission permission_to_repeat(const PendingRequest& request) const;
  [[nodiscard]] std::optional<RejectionReason> check_policy(const ObjectRequest& call);

  Dependencies dependencies_;
  std::set<std::size_t> refused_classes_;
};

}  // namespace edge_proxy::proxy
