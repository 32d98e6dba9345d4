// SPDX-License-Identifier: MIT
#include "event_loop/poller.h"

#include <unistd.h>

#include <stdexcept>

namespace edge_proxy::event_loop {

Poller::Poller() : descriptor_(epoll_create1(EPOLL_CLOEXEC)) {
  if (descriptor_ < 0) throw std::runtime_error("can't create an epoll descriptor");
}

Poller::~Poller() { close(descriptor_); }

void Poller::watch(int socket, std::uint32_t events, Registration registration,
                   proxy::ConnectionId id) const {
  epoll_event event{};
  event.events = events;
  event.data.u64 = id;
  const int operation = registration == Registration::modify ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
  epoll_ctl(descriptor_, operation, socket, &event);
}

std::span<const epoll_event> Poller::ready_events(EventBuffer& buffer) const {
  const int count = epoll_wait(descriptor_, buffer.data(), static_cast<int>(buffer.size()), 0);
  return {buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0};
}

}  // namespace edge_proxy::event_loop
