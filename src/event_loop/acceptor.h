// SPDX-License-Identifier: MIT
/// @file
/// Accepts connections of clients and of operators, and bounds how many per iteration of the loop.
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

/// A connection that was accepted, and its new id.
struct AcceptedSocket {
  proxy::ConnectionId id = 0;
  ObjectPtr<GSocket> socket;
  proxy::ConnectionId listener = proxy::kListener;  ///< or proxy::kAdminListener
};

/// Owns the listeners of clients and operators. Where the system gives no descriptor it asks for one
/// connection to be closed, once; then accepting pauses for proxy::kAcceptRetryDelay. Guards the loop and the
/// log against a connection that can't be accepted: its listener stays readable.
class Acceptor {
 public:
  struct Callbacks {
    /// Reads what has arrived on open connections: it goes before new clients.
    std::function<void()> poll_connections;
    std::function<void(AcceptedSocket)> on_accepted;
    std::function<void()> on_descriptors_exhausted;
    std::function<void(const std::string&)> log;
  };

  /// Listens at once. Throws std::runtime_error where it can't.
  Acceptor(const config::Config& config, Callbacks callbacks);
  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;

  [[nodiscard]] bool is_listening_for_clients() const { return client_listener_.has_value(); }
  /// Directs new clients to the next process that listens at the same address, where there is one.
  void prefer_next_process() const;
  /// Stops listening for clients. `on_accepted` gets those that have connected and were not accepted yet.
  void close_client_listener(const std::function<void(AcceptedSocket)>& on_accepted);
  /// Stops listening for operators.
  void close_admin_listener();

 private:
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
  bool descriptors_exhausted_ = false;  ///< since the last connection that was accepted
  proxy::ConnectionId last_id_ = proxy::kBeforeFirstAccepted;
};

}  // namespace edge_proxy::event_loop
