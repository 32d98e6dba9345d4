// SPDX-License-Identifier: MIT
#include "event_loop/acceptor.h"

#include <chrono>
#include <utility>

#include "proxy/resource_limits.h"

namespace edge_proxy::event_loop {

Acceptor::Acceptor(const config::Config& config, Callbacks callbacks) : callbacks_(std::move(callbacks)) {
  client_listener_.emplace("listen", config.listen_address);
  if (!config.admin_address.empty()) admin_listener_.emplace("admin_addr", config.admin_address);
  watch_listeners();
}

/// Operators come first in each iteration, so that their calls don't wait behind client traffic. Both have
/// the same priority: with a higher one, operators that keep connecting would hold up everything else.
void Acceptor::watch_listeners() {
  if (admin_listener_) watch_admin();
  if (client_listener_) watch_clients();
}

void Acceptor::watch_clients() {
  client_source_ = watch_socket<&Acceptor::accept_clients>(client_listener_->socket(), G_IO_IN, this);
}

void Acceptor::watch_admin() {
  admin_source_ = watch_socket<&Acceptor::accept_admin>(admin_listener_->socket(), G_IO_IN, this);
}

void Acceptor::accept_clients() {
  callbacks_.poll_connections();
  // The bound keeps a flood of new connections from starving the open ones.
  for (int i = 0; i < proxy::kAcceptsPerTurn && client_listener_; ++i) {
    if (!accept_one(*client_listener_, proxy::kListener)) return;
  }
}

void Acceptor::accept_admin() {
  for (int i = 0; i < proxy::kAcceptsPerTurn && admin_listener_; ++i) {
    if (!accept_one(*admin_listener_, proxy::kAdminListener)) return;
  }
}

/// Returns false if no further connection can be accepted in this iteration.
bool Acceptor::accept_one(const Listener& listener, proxy::ConnectionId listener_id) {
  Error error;
  ObjectPtr<GSocket> socket = listener.accept(error);
  if (!socket) return on_accept_error(listener, error);
  descriptors_exhausted_ = false;
  callbacks_.on_accepted({next_id(), std::move(socket), listener_id});
  return true;
}

/// Returns true if the accept should be retried immediately.
bool Acceptor::on_accept_error(const Listener& listener, const Error& error) {
  if (error.matches(G_IO_ERROR_WOULD_BLOCK)) return false;
  // The kernel allocates the descriptor before it looks for a connection, so accept() reports that
  // descriptors are exhausted even if no connection is waiting. No client is closed in that case.
  if (!listener.has_waiting_connection()) return false;
  // On the first such error another connection is closed and the accept is retried. Pending input is read
  // first, so that clients that have just connected are not mistaken for idle ones.
  if (error.matches(G_IO_ERROR_TOO_MANY_OPEN_FILES) && !std::exchange(descriptors_exhausted_, true)) {
    callbacks_.poll_connections();
    callbacks_.on_descriptors_exhausted();
    return true;
  }
  descriptors_exhausted_ = false;
  callbacks_.log(std::string("accept failed: ") + error.text());
  pause();
  return false;
}

void Acceptor::pause() {
  client_source_.reset();
  admin_source_.reset();
  resume_source_ = call_every<&Acceptor::resume>(
      std::chrono::duration_cast<std::chrono::milliseconds>(proxy::kAcceptRetryDelay), this);
}

SourceAction Acceptor::resume() {
  watch_listeners();
  return SourceAction::remove;
}

void Acceptor::prefer_next_process() const {
  if (client_listener_ && !client_listener_->prefer_next_process())
    callbacks_.log("directing new clients to the next process failed: the kernel rejected the socket filter");
}

void Acceptor::close_client_listener(const std::function<void(AcceptedSocket)>& on_accepted) {
  client_source_.reset();  // after a pause, resume() still has to watch the listener for operators
  if (!client_listener_) return;
  // Closing the socket would reset connections that are established but not accepted yet.
  Error error;
  while (ObjectPtr<GSocket> socket = client_listener_->accept(error))
    on_accepted({next_id(), std::move(socket), proxy::kListener});
  client_listener_.reset();
}

void Acceptor::close_admin_listener() {
  admin_source_.reset();
  admin_listener_.reset();
}

}  // namespace edge_proxy::event_loop
