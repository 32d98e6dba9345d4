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

/// Watches sockets through one descriptor that the main loop polls. GLib polls each socket source at every
/// iteration: with several hundred sockets, most of them idle, that took most of the time.
class Poller {
 public:
  /// Whether the socket is watched already (its events change) or not (it is added).
  enum class Registration { add, modify };
  /// Memory for the events of one poll.
  using EventBuffer = std::array<epoll_event, proxy::kMaxReadyEvents>;

  /// Throws std::runtime_error where the system gives no descriptor.
  Poller();
  ~Poller();
  Poller(const Poller&) = delete;
  Poller& operator=(const Poller&) = delete;

  /// Watches `socket` for `events` (EPOLLIN and so on), which are reported with `id`. A socket that is closed
  /// is no longer watched.
  void watch(int socket, std::uint32_t events, Registration registration, proxy::ConnectionId id) const;
  /// The events that are ready now, without waiting; `data.u64` of each is the connection's id.
  [[nodiscard]] std::span<const epoll_event> ready_events(EventBuffer& buffer) const;
  /// Readable while any socket has an event.
  [[nodiscard]] int descriptor() const { return descriptor_; }

 private:
  int descriptor_;
};

}  // namespace edge_proxy::event_loop
