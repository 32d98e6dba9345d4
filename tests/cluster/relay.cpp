// SPDX-License-Identifier: MIT
#include "cluster/relay.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

#include "support/loopback.h"

namespace edge_proxy::test {
namespace {

using Clock = std::chrono::steady_clock;

int port_of(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

/// Binds a datagram and a stream socket to the same port.
std::pair<int, int> bind_stream_and_datagram() {
  for (int attempt = 0; attempt < 100; ++attempt) {
    const int stream_socket = bind_exclusive(SOCK_STREAM, 0);
    const int datagram_socket = bind_exclusive(SOCK_DGRAM, port_of(stream_socket));
    if (datagram_socket >= 0) return {datagram_socket, stream_socket};
    close(stream_socket);
  }
  throw std::runtime_error("no port is free for datagrams and streams");
}

}  // namespace

Relays::Relays(std::uint64_t seed) : random_(seed), epoll_(epoll_create1(EPOLL_CLOEXEC)) {
  thread_ = std::thread([this] { run(); });
}

Relays::~Relays() {
  stopping_ = true;
  thread_.join();
  for (const auto& [socket, link] : links_by_socket_) close(socket);
  for (const auto& [end, other] : pairs_) close(end);
  close(epoll_);
}

int Relays::add(int to_port) {
  auto link = std::make_unique<Link>();
  std::tie(link->datagram_socket, link->stream_socket) = bind_stream_and_datagram();
  link->port = port_of(link->stream_socket);
  link->to_port = to_port;
  listen(link->stream_socket, 16);
  const std::lock_guard lock(mutex_);
  for (const int socket : {link->datagram_socket, link->stream_socket}) {
    links_by_socket_[socket] = link.get();
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = socket;
    epoll_ctl(epoll_, EPOLL_CTL_ADD, socket, &event);
  }
  const int port = link->port;
  links_[port] = std::move(link);
  return port;
}

void Relays::set(int relay_port, const Fault& fault) {
  const std::lock_guard lock(mutex_);
  links_.at(relay_port)->fault = fault;
}

void Relays::run() {
  std::array<epoll_event, 64> events;
  while (!stopping_) {
    const int count = epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), 2);
    const std::lock_guard lock(mutex_);
    for (int i = 0; i < count; ++i) {
      const int fd = events.at(static_cast<std::size_t>(i)).data.fd;
      const auto link = links_by_socket_.find(fd);
      if (link == links_by_socket_.end()) {
        forward_stream(fd);
      } else if (link->second->datagram_socket == fd) {
        receive_datagrams(*link->second);
      } else {
        accept(*link->second);
      }
    }
    while (!queue_.empty() && queue_.top().due <= Clock::now()) {
      const sockaddr_in to = loopback_address(queue_.top().to_port);
      sendto(queue_.top().socket, queue_.top().bytes.data(), queue_.top().bytes.size(), 0,
             reinterpret_cast<const sockaddr*>(&to), sizeof to);
      queue_.pop();
      ++forwarded_;
    }
  }
}

void Relays::receive_datagrams(Link& link) {
  std::array<char, 65536> buffer;
  std::uniform_real_distribution<> draw(0, 1);
  while (true) {
    const ssize_t size = recv(link.datagram_socket, buffer.data(), buffer.size(), 0);
    if (size < 0) return;
    const Fault& fault = link.fault;
    if (fault.cut || draw(random_) < fault.drop) continue;
    std::string bytes(buffer.data(), static_cast<std::size_t>(size));
    if (!bytes.empty() && draw(random_) < fault.corrupt) {
      for (int i = 0; i < 4; ++i) bytes[random_() % bytes.size()] = static_cast<char>(random_());
    }
    auto due = Clock::now() + fault.delay;
    if (draw(random_) < fault.reorder) due += std::chrono::milliseconds(20);
    const int copies = draw(random_) < fault.duplicate ? 2 : 1;
    for (int i = 0; i < copies; ++i)
      queue_.push({due, next_order_++, link.datagram_socket, link.to_port, bytes});
  }
}

void Relays::accept(Link& link) {
  const int from = accept4(link.stream_socket, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (from < 0) return;
  const int to = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback_address(link.to_port);
  if (link.fault.cut || connect(to, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(from);
    close(to);
    return;
  }
  pairs_[from] = to;
  pairs_[to] = from;
  for (const int end : {from, to}) {
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = end;
    epoll_ctl(epoll_, EPOLL_CTL_ADD, end, &event);
  }
}

void Relays::forward_stream(int from) {
  const auto pair = pairs_.find(from);
  if (pair == pairs_.end()) return;
  std::array<char, 65536> buffer;
  const ssize_t size = recv(from, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (size > 0) {
    send(pair->second, buffer.data(), static_cast<std::size_t>(size), MSG_NOSIGNAL);
  } else if (size == 0) {
    // The shutdown of one direction is forwarded; the stream is closed once both directions have ended.
    shutdown(pair->second, SHUT_WR);
    epoll_ctl(epoll_, EPOLL_CTL_DEL, from, nullptr);
    const int other = pair->second;
    char rest = 0;
    if (recv(other, &rest, 1, MSG_PEEK | MSG_DONTWAIT) == 0) close_pair(from);
  } else if (errno != EAGAIN) {
    close_pair(from);
  }
}

void Relays::close_pair(int end) {
  const int other = pairs_.at(end);
  pairs_.erase(end);
  pairs_.erase(other);
  close(end);
  close(other);
}

}  // namespace edge_proxy::test
