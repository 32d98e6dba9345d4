// SPDX-License-Identifier: MIT
/// @file
/// The checks that a client's request passes before it is accepted. Each rejection has a reason of its own.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <variant>

#include "proxy/client/client_connections.h"
#include "proxy/client/pending_requests.h"
#include "proxy/cluster/policy_controller.h"
#include "proxy/graceful_shutdown.h"

namespace edge_proxy::proxy {

/// Why a request was not accepted, in the order of the checks.
enum class RejectionReason : std::uint8_t {
  duplicate_call_id,        ///< two calls under one id: an answer could not be told from the other's
  client_backed_up,         ///< the client asks for more than it may or reads
  shutting_down,            ///< no answer would be ready before the process ends
  no_policy_lease,          ///< without a lease on the active epoch nothing is decided
  class_refused_by_policy,  ///< requests of this class are refused everywhere for now
  malformed_request,        ///< a field is missing, malformed or out of bounds
  duplicate_request_id,     ///< a request of this id is pending
  body_memory_exhausted     ///< the bodies of pending requests take up all memory that they may
};

/// How the client learns of a rejection.
enum class RejectionReply : std::uint8_t {
  try_later,    ///< it can send the request again without harm
  failed,       ///< no assurance
  close_stream  ///< its stream can't be followed any further
};
[[nodiscard]] RejectionReply reply_to(RejectionReason reason);

/// The request to be accepted, or why it isn't.
using AdmissionResult = std::variant<PendingRequest, RejectionReason>;

class RequestAdmission {
 public:
  struct Dependencies {
    const ClientConnections& clients;
    PendingRequests& pending_requests;
    PolicyController& policy;
    const GracefulShutdown& shutdown;
  };
  explicit RequestAdmission(const Dependencies& dependencies) : dependencies_(dependencies) {}

  /// Runs the checks; the cheap ones come first. On success the call's body has moved into the result.
  [[nodiscard]] AdmissionResult admit(ConnectionId client, ObjectRequest& call);
  /// The classes, by their place in the settings, that the policy in force refuses.
  void set_refused_classes(std::set<std::size_t> refused_classes) {
    refused_classes_ = std::move(refused_classes);
  }

 private:
  [[nodiscard]] std::optional<RejectionReason> check_connection(ConnectionId client,
                                                                const ObjectRequest& call) const;
  [[nodiscard]] std::optional<RejectionReason> check_policy(const ObjectRequest& call);

  Dependencies dependencies_;
  std::set<std::size_t> refused_classes_;
};

}  // namespace edge_proxy::proxy
