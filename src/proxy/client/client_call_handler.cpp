// SPDX-License-Identifier: MIT
#include "proxy/client/client_call_handler.h"

#include <set>
#include <utility>
#include <variant>

namespace edge_proxy::proxy {
namespace {

/// Removes each request whose cancel was read together with it, so that no cache works for a client that no
/// longer waits. A cancelled request gets no answer.
void drop_cancelled_requests(std::vector<ClientCall>& calls) {
  std::set<CallId> cancelled;  // by calls that follow the current one
  for (std::size_t index = calls.size(); index-- > 0;) {
    if (const auto* cancel = std::get_if<CancelRequest>(&calls[index])) {
      cancelled.insert(cancel->id);
    } else if (const auto* request = std::get_if<ObjectRequest>(&calls[index]);
               request != nullptr && cancelled.contains(request->id)) {
      calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(index));
    }
  }
}

}  // namespace

void ClientCallHandler::on_bytes(ConnectionId client, std::string_view bytes) {
  std::vector<ClientCall> calls = dependencies_.connections.on_bytes(client, bytes);
  drop_cancelled_requests(calls);
  for (ClientCall& call : calls) {
    // An earlier call may have closed the connection.
    if (dependencies_.connections.protocol(client) == nullptr) break;
    std::visit([&](auto& typed_call) { handle(client, typed_call); }, call);
  }
  // A malformed stream closes only its own connection.
  if (dependencies_.connections.is_broken(client)) close_malformed_stream(client);
}

void ClientCallHandler::on_closed(ConnectionId client, CloseReason reason) {
  cancel(dependencies_.connections.close(client, reason, ClosedBy::peer));
}

void ClientCallHandler::close_expired() { cancel(dependencies_.connections.close_expired()); }

void ClientCallHandler::shed_stalled_readers() {
  if (dependencies_.memory.is_over_limit()) cancel(dependencies_.connections.close_stalled_readers());
}

void ClientCallHandler::shed_incomplete_messages() {
  if (!dependencies_.memory.is_exceeded(MemoryUse::client_messages)) return;
  ClientConnections& connections = dependencies_.connections;
  for (const ConnectionId client : connections.with_incomplete_message()) {
    if (!dependencies_.memory.is_exceeded(MemoryUse::client_messages)) return;
    for (const std::string& request : connections.open_requests(client)) {
      dependencies_.dispatcher.fail(request);
    }
    connections.stop_reading(client);
  }
}

void ClientCallHandler::handle(ConnectionId client, ObjectRequest& call) {
  AdmissionResult result = dependencies_.admission.admit(client, call);
  if (const auto* reason = std::get_if<RejectionReason>(&result)) {
    reject(client, call, *reason);
  } else {
    dependencies_.dispatcher.accept(std::get<PendingRequest>(std::move(result)));
  }
}

void ClientCallHandler::reject(ConnectionId client, const ObjectRequest& call, RejectionReason reason) {
  switch (reply_to(reason)) {
    case RejectionReply::close_stream:
      close_malformed_stream(client);
      return;
    case RejectionReply::try_later:
      ++dependencies_.stats.counters.rejected_early;
      dependencies_.pending_requests.reject_unaccepted(client, call);
      return;
    case RejectionReply::failed:
      ++dependencies_.stats.counters.rejected_early;
      dependencies_.pending_requests.fail_unaccepted(client, call);
      return;
  }
}

void ClientCallHandler::handle(ConnectionId client, const CancelRequest& call) {
  dependencies_.dispatcher.cancel(dependencies_.connections.remove_open_call(client, call.id));
}

void ClientCallHandler::handle(ConnectionId client, const ReadinessCheck& call) {
  const bool is_ready = dependencies_.readiness.is_ready();
  ClientProtocol& protocol = *dependencies_.connections.protocol(client);
  dependencies_.connections.reply(client, protocol.readiness_reply(call.id, is_ready), ReplyTo::other_call);
}

void ClientCallHandler::handle(ConnectionId client, const UnknownMethod& call) {
  if (!call.wants_reply) return;
  ClientProtocol& protocol = *dependencies_.connections.protocol(client);
  dependencies_.connections.reply(client, protocol.unknown_method_reply(call), ReplyTo::other_call);
}

/// Drains a connection whose stream can't be parsed any further; the client can still read the last reply,
/// which names the reason.
void ClientCallHandler::close_malformed_stream(ConnectionId client) {
  std::string last_reply = dependencies_.connections.protocol(client)->malformed_stream_reply();
  cancel(dependencies_.connections.drain(client, CloseReason::bad_frame, std::move(last_reply)));
}

void ClientCallHandler::cancel(const std::vector<std::string>& requests) {
  for (const std::string& request : requests) dependencies_.dispatcher.cancel(request);
}

}  // namespace edge_proxy::proxy
