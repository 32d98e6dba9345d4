// SPDX-License-Identifier: MIT
/// @file
/// The graceful shutdown after SIGTERM: the steps from the first notice to the end of the last connection.
///
/// New connections and requests keep coming for some time, since those who send them learn of the shutdown
/// late. Each connection ends at the first moment at which it owes nothing; each accepted request is answered
/// before the process may be killed. The spans stand in resource_limits.h.
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
  /// What it ends, or waits for.
  struct Dependencies {
    Context& context;
    const Settings& settings;  ///< as the policy in force has them
    ClientConnections& clients;
    const PendingRequests& pending_requests;
    UpstreamPool& upstream;
    Admin& admin;
    DiscoveryClient& discovery;
    MembershipAdapter& membership;
  };
  /// Whether there is a listener at the admin address, to be closed in the end.
  enum class AdminListener : std::uint8_t { absent, open };

  GracefulShutdown(const Dependencies& dependencies, AdminListener admin_listener)
      : dependencies_(dependencies), admin_listener_(admin_listener) {}

  /// SIGTERM; only the first counts.
  void begin();
  /// One of the shutdown's own timers has expired; those of other kinds are ignored.
  void on_timer(TimerKind kind);
  /// To be called after each input: closes what owes nothing any more and, once nobody is owed an answer,
  /// everything.
  void advance();

  [[nodiscard]] bool is_stopping() const { return is_stopping_; }
  /// Whether new requests are still served.
  [[nodiscard]] bool accepts_requests() const { return accepts_requests_; }
  /// By when each request has to be answered; none while the proxy doesn't stop.
  [[nodiscard]] std::optional<Time> answer_deadline() const { return answer_deadline_; }
  /// All connections have been closed.
  [[nodiscard]] bool is_finished() const { return is_finished_; }

 private:
  void arm_timers();
  void finish();

  Dependencies dependencies_;
  AdminListener admin_listener_;
  std::optional<Time> answer_deadline_;
  bool is_stopping_ = false;
  bool closes_idle_clients_ = false;  // clients' connections end as soon as they owe nothing
  bool is_listening_ = true;
  bool accepts_requests_ = true;
  bool is_finished_ = false;
};

}  // namespace edge_proxy::proxy
