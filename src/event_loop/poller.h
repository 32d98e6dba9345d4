// SPDX-License-Identifier: MIT
/// @file
/// An epoll instance that watches all connections of the server.
#pragma once

#include <sys/epoll.h>

#include <array>
#include <cstdint>
#include <span>

#include "proxy/reducer.h"
#include "proxy/resource_limits.h"

namespace edge_proxy::event_loop {

/// Watches all sockets through one epoll descriptor that the main loop polls. GLib polls each socket source
/// on every iteration, which dominates the run time with several hundred mostly idle sockets.
class Poller {
 public:
  /// Whether the socket is added, or the events of a watched socket are modified.
  enum class Registration { add, modify };
  /// Buffer for the events of one poll.
  using EventBuffer = std::array<epoll_event, proxy::kMaxReadyEvents>;

  /// Throws std::runtime_error if no descriptor is available.
  Poller();
  ~Poller();
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  /// Watches `socket` for `events` (EPOLLIN and so on), which are reported with `id`. Closing the socket ends
  /// the watch.
  void watch(int socket, std::uint32_t events, Registration registration, proxy::ConnectionId id) const;
  /// Returns the ready events without blocking; `data.u64` of each event is the connection's id.
  [[nodiscard]] std::span<const epoll_event> ready_events(EventBuffer& buffer) const;
  /// The epoll descriptor, which is readable while any socket has an event.
  [[nodiscard]] int descriptor() const { return descriptor_; }

 private:
  int descriptor_;
};

}  // namespace edge_proxy::event_loop
