// SPDX-License-Identifier: MIT
#include "proxy/client/request_admission.h"

#include <utility>

namespace edge_proxy::proxy {

RejectionReply reply_to(RejectionReason reason) {
  switch (reason) {
    case RejectionReason::duplicate_call_id:
      return RejectionReply::close_stream;
    case RejectionReason::malformed_request:
    case RejectionReason::duplicate_request_id:
    case RejectionReason::already_executed:
      return RejectionReply::failed;
    case RejectionReason::client_backed_up:
    case RejectionReason::shutting_down:
    case RejectionReason::no_policy_lease:
    case RejectionReason::class_refused_by_policy:
    case RejectionReason::memory_exhausted:
      break;
  }
  return RejectionReply::try_later;
}

AdmissionResult RequestAdmission::admit(ConnectionId client, ObjectRequest& call) {
  if (const auto reason = check_connection(client, call)) return *reason;
  if (const auto reason = check_policy(call)) return *reason;
  // The answer deadline ensures that requests accepted during a shutdown are answered before the process
  // exits.
  PendingRequests& pending_requests = dependencies_.pending_requests;
  std::optional<PendingRequest> request =
      pending_requests.read(client, call, dependencies_.shutdown.answer_deadline());
  if (!request) return RejectionReason::malformed_request;
  if (is_id_in_use(request->request.id)) return RejectionReason::duplicate_request_id;
  const RepeatPermission permission = permission_to_repeat(*request);
  if (!permission.is_allowed) return RejectionReason::already_executed;
  request->send_before = permission.send_before;
  // Clients may send requests faster than they can be forwarded, which must not exhaust the memory.
  if (!pending_requests.has_room_for(*request)) return RejectionReason::memory_exhausted;
  return std::move(*request);
}

/// An attempt of a request that its client has cancelled may still be open. Its response would otherwise be
/// taken for the answer to a new request with the same id.
bool RequestAdmission::is_id_in_use(const std::string& id) const {
  return dependencies_.pending_requests.find(id) != nullptr || dependencies_.router.has_request(id);
}

RepeatPermission RequestAdmission::permission_to_repeat(const PendingRequest& request) const {
  return dependencies_.executed_requests.permission_for(
      request.request.id, static_cast<std::size_t>(request.request.request_class), request.key,
      dependencies_.context.now);
}

std::optional<RejectionReason> RequestAdmission::check_connection(ConnectionId client,
                                                                  const ObjectRequest& call) const {
  if (dependencies_.clients.has_open_call(client, call.id)) return RejectionReason::duplicate_call_id;
  // Rejections of backed-up clients are cheap, since they happen before the request is parsed.
  if (dependencies_.clients.is_backed_up(client)) return RejectionReason::client_backed_up;
  if (!dependencies_.shutdown.accepts_requests()) return RejectionReason::shutting_down;
  return std::nullopt;
}

/// Without a lease no request is accepted: a policy must apply to all proxies or to none.
std::optional<RejectionReason> RequestAdmission::check_policy(const ObjectRequest& call) {
  if (!dependencies_.policy.can_decide()) {
    dependencies_.policy.count_rejected();
    return RejectionReason::no_policy_lease;
  }
  if (refused_classes_.empty()) return std::nullopt;
  const std::size_t request_class = dependencies_.pending_requests.class_of(call);
  if (!refused_classes_.contains(request_class)) return std::nullopt;
  return RejectionReason::class_refused_by_policy;
}

}  // namespace edge_proxy::proxy
