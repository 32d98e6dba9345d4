// SPDX-License-Identifier: MIT
/// @file
/// Accepts connections from clients and operators, with a bound on the number per loop iteration.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "config/config.h"
#include "event_loop/glib_ptr.h"
#include "event_loop/glib_source.h"
#include "event_loop/listener.h"
#include "proxy/reducer.h"

namespace edge_proxy::event_loop {

/// An accepted connection and the id that was assigned to it.
struct AcceptedSocket {
  proxy::ConnectionId id = 0;
  ObjectPtr<GSocket> socket;
  proxy::ConnectionId listener = proxy::kListener;  ///< or proxy::kAdminListener
};

/// Owns the listeners for clients and operators. If the process is out of file descriptors, the acceptor asks
/// once for a connection to be closed; if that doesn't help, it stops accepting for proxy::kAcceptRetryDelay.
/// Without the pause, a connection that can't be accepted keeps its listener readable, and the loop would
/// spin and fill the log.
class Acceptor {
 public:
  struct Callbacks {
    /// Reads pending input of open connections, which is handled before new clients.
    std::function<void()> poll_connections;
    std::function<void(AcceptedSocket)> on_accepted;
    std::function<void()> on_descriptors_exhausted;
    std::function<void(const std::string&)> log;
  };

  /// Starts to listen. Throws std::runtime_error if an address can't be listened on.
  Acceptor(const config::Config& config, Callbacks callbacks);
  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;

  [[nodiscard]] bool is_listening_for_clients() const { return client_listener_.has_value(); }
  /// Directs new clients to the next process that listens on the same address, if there is one.
  void prefer_next_process() const;
  /// Stops listening for clients. Connections that are established but not accepted yet are accepted first
  /// and passed to `on_accepted`.
  void close_client_listener(const std::function<void(AcceptedSocket)>& on_accepted);
  /// Stops listening for operators.
  void close_admin_listener();

 private:
  void watch_listeners();
  void watch_clients();
  void watch_admin();
  void accept_clients();
  void accept_admin();
  bool accept_one(const Listener& listener, proxy::ConnectionId listener_id);
  bool on_accept_error(const Listener& listener, const Error& error);
  void pause();
  SourceAction resume();
  proxy::ConnectionId next_id() { return last_id_ += proxy::kConnectionIdStep; }

  Callbacks callbacks_;
  std::optional<Listener> client_listener_;
  std::optional<Listener> admin_listener_;
  Source client_source_;
  Source admin_source_;
  Source resume_source_;
  /// Whether an accept has failed for lack of descriptors since the last success.
  bool descriptors_exhausted_ = false;
  proxy::ConnectionId last_id_ = proxy::kBeforeFirstAccepted;
};

}  // namespace edge_proxy::event_loop
