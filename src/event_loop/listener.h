// SPDX-License-Identifier: MIT
/// @file
/// A listening TCP socket.
#pragma once

#include <string>

#include "event_loop/glib_ptr.h"

namespace edge_proxy::event_loop {

/// A non-blocking listening socket whose address the next process of this edge proxy can share: both listen
/// during an upgrade.
class Listener {
 public:
  /// `key` is the configuration key of `address`, used in error messages.
  /// Throws std::runtime_error if the address can't be listened on.
  Listener(const std::string& key, const std::string& address);

  [[nodiscard]] GSocket* socket() const { return socket_.get(); }
  /// Returns null and sets `error` if no connection is waiting or no descriptor is available.
  [[nodiscard]] ObjectPtr<GSocket> accept(Error& error) const;
  [[nodiscard]] bool has_waiting_connection() const;
  /// Directs new connections to the process that was started after this one, if there is one. Returns false
  /// if the kernel rejects the socket filter.
  [[nodiscard]] bool prefer_next_process() const;

 private:
  ObjectPtr<GSocket> socket_;
};

/// Creates a non-blocking TCP socket of the address's family; returns null and sets `error` on failure.
ObjectPtr<GSocket> new_tcp_socket(GSocketAddress* address, Error& error);

}  // namespace edge_proxy::event_loop
