// SPDX-License-Identifier: MIT
/// @file
/// The graceful shutdown after SIGTERM, from the signal to the close of the last connection.
///
/// New connections and requests arrive for some time after the signal, since clients learn of the shutdown
/// late. Each connection is closed at the first moment without a pending request, and each accepted request
/// is answered before the process may be killed. The durations are in resource_limits.h.
#pragma once

#include <cstdint>
#include <optional>

#include "proxy/admin/admin_connections.h"
#include "proxy/client/client_connections.h"
#include "proxy/client/pending_requests.h"
#include "proxy/cluster/membership_adapter.h"
#include "proxy/context.h"
#include "proxy/discovery/discovery_client.h"
#include "proxy/upstream/upstream_pool.h"

namespace edge_proxy::proxy {

class GracefulShutdown {
 public:
  /// The parts that the shutdown closes or waits for.
  struct Dependencies {
    Context& context;
    const Settings& settings;  ///< those of the policy in force
    ClientConnections& clients;
    const PendingRequests& pending_requests;
    UpstreamPool& upstream;
    AdminConnections& admin;
    DiscoveryClient& discovery;
    MembershipAdapter& membership;
  };
  /// Whether there is a listener at the admin address, which is closed at the end.
  enum class AdminListener : std::uint8_t { absent, open };

  GracefulShutdown(const Dependencies& dependencies, AdminListener admin_listener)
      : dependencies_(dependencies), admin_listener_(admin_listener) {}

  /// Starts the shutdown; further calls have no effect.
  void begin();
  /// Handles an expired timer of the shutdown; timers of other kinds are ignored.
  void on_timer(TimerKind kind);
  /// No further client will be accepted.
  void on_listener_closed() { is_listening_ = false; }
  /// Must be called after each input: closes the client connections without pending requests and, when no
  /// request is pending, everything else.
  void advance();

  [[nodiscard]] bool is_stopping() const { return is_stopping_; }
  /// Whether new requests are still served.
  [[nodiscard]] bool accepts_requests() const { return accepts_requests_; }
  /// The time by which each request must be answered; none if no shutdown has started.
  [[nodiscard]] std::optional<Time> answer_deadline() const { return answer_deadline_; }
  /// Whether all connections have been closed.
  [[nodiscard]] bool is_finished() const { return is_finished_; }

 private:
  void arm_timers();
  void finish();

  Dependencies dependencies_;
  AdminListener admin_listener_;
  std::optional<Time> answer_deadline_;
  bool is_stopping_ = false;
  bool closes_idle_clients_ = false;  // client connections without pending requests are closed
  bool is_listening_ = true;
  bool accepts_requests_ = true;
  bool is_finished_ = false;
};

}  // namespace edge_proxy::proxy
