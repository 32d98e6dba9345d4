// SPDX-License-Identifier: MIT
/// @file
/// A listening TCP socket.
#pragma once

#include <string>

#include "event_loop/glib_ptr.h"

namespace edge_proxy::event_loop {

/// A non-blocking listening socket at an address that the next process of this edge proxy can share: during
/// an upgrade both listen.
class Listener {
 public:
  /// `key` is the configuration key that holds `address`, for errors.
  /// Throws std::runtime_error where it can't listen.
  Listener(const std::string& key, const std::string& address);

  [[nodiscard]] GSocket* socket() const { return socket_.get(); }
  /// None, with `error`, where no connection waits or the system gives no descriptor.
  [[nodiscard]] ObjectPtr<GSocket> accept(Error& error) const;
  [[nodiscard]] bool has_waiting_connection() const;
  /// Directs new connections to the process that was started after this one, where there is one. False: the
  /// system does not take the filter.
  [[nodiscard]] bool prefer_next_process() const;

 private:
  ObjectPtr<GSocket> socket_;
};

/// A new non-blocking TCP socket of the address's family; none, with `error`, where the system gives none.
ObjectPtr<GSocket> new_tcp_socket(GSocketAddress* address, Error& error);

}  // namespace edge_proxy::event_loop
