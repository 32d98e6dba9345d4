// SPDX-License-Identifier: MIT
/// @file
/// Handles the calls of client connections in the order of their arrival. Readiness checks and unknown
/// methods are answered here; requests and cancels are passed to the dispatcher. When a connection closes,
/// its pending requests are cancelled.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "proxy/admin/stats_log.h"
#include "proxy/client/client_connections.h"
#include "proxy/client/pending_requests.h"
#include "proxy/client/request_admission.h"
#include "proxy/readiness.h"
#include "proxy/request_dispatcher.h"

namespace edge_proxy::proxy {

class ClientCallHandler {
 public:
  struct Dependencies {
    ClientConnections& connections;
    PendingRequests& pending_requests;
    RequestAdmission& admission;
    RequestDispatcher& dispatcher;
    const Readiness& readiness;
    StatsLog& stats;
    const MemoryAccount& memory;
  };
  explicit ClientCallHandler(const Dependencies& dependencies) : dependencies_(dependencies) {}

  void on_bytes(ConnectionId client, std::string_view bytes);
  /// Handles a connection that failed or that the client closed: cancels its requests.
  void on_closed(ConnectionId client, CloseReason reason);
  /// Closes the connections whose time limits have expired, and cancels their requests.
  void close_expired();
  /// Discards incomplete messages until they are within their memory. Open requests of a client that loses
  /// its message get their answers first.
  void shed_incomplete_messages();
  /// Closes clients that have stopped reading until all that peers hold is within the memory limit.
  void shed_stalled_readers();

 private:
  void handle(ConnectionId client, ObjectRequest& call);
  void handle(ConnectionId client, const CancelRequest& call);
  void handle(ConnectionId client, const ReadinessCheck& call);
  void handle(ConnectionId client, const UnknownMethod& call);
  void reject(ConnectionId client, const ObjectRequest& call, RejectionReason reason);
  void close_malformed_stream(ConnectionId client);
  void cancel(const std::vector<std::string>& requests);

  Dependencies dependencies_;
};

}  // namespace edge_proxy::proxy
