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

/// Both sockets of one port.
std::pair<int, int> both() {
  for (int tries = 0; tries < 100; ++tries) {
    const int streams = bound(SOCK_STREAM, 0);
    const int datagrams = bound(SOCK_DGRAM, port_of(streams));
    if (datagrams >= 0) return {datagrams, streams};
    close(streams);
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
  for (const auto& [socket, way] : by_socket_) close(socket);
  for (const auto& [end, other] : pairs_) close(end);
  close(epoll_);
}

int Relays::add(int to_port) {
  auto way = std::make_unique<Way>();
  std::tie(way->datagrams, way->streams) = both();
  way->port = port_of(way->streams);
  way->to = to_port;
  listen(way->streams, 16);
  const std::lock_guard lock(mutex_);
  for (const int socket : {way->datagrams, way->streams}) {
    by_socket_[socket] = way.get();
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = socket;
    epoll_ctl(epoll_, EPOLL_CTL_ADD, socket, &event);
  }
  const int port = way->port;
  ways_[port] = std::move(way);
  return port;
}

void Relays::set(int relay_port, const Fault& fault) {
  const std::lock_guard lock(mutex_);
  ways_.at(relay_port)->fault = fault;
}

void Relays::run() {
  std::array<epoll_event, 64> found;
  while (!stopping_) {
    const int count = epoll_wait(epoll_, found.data(), static_cast<int>(found.size()), 2);
    const std::lock_guard lock(mutex_);
    for (int i = 0; i < count; ++i) {
      const int fd = found.at(static_cast<std::size_t>(i)).data.fd;
      const auto way = by_socket_.find(fd);
      if (way == by_socket_.end()) {
        pump(fd);
      } else if (way->second->datagrams == fd) {
        carry(*way->second);
      } else {
        accept(*way->second);
      }
    }
    while (!held_.empty() && held_.top().due <= Clock::now()) {
      const sockaddr_in to = loopback(held_.top().to);
      sendto(held_.top().socket, held_.top().bytes.data(), held_.top().bytes.size(), 0,
             reinterpret_cast<const sockaddr*>(&to), sizeof to);
      held_.pop();
      ++carried_;
    }
  }
}

void Relays::carry(Way& way) {
  std::array<char, 65536> buffer;
  std::uniform_real_distribution<> draw(0, 1);
  while (true) {
    const ssize_t size = recv(way.datagrams, buffer.data(), buffer.size(), 0);
    if (size < 0) return;
    const Fault& fault = way.fault;
    if (fault.cut || draw(random_) < fault.drop) continue;
    std::string bytes(buffer.data(), static_cast<std::size_t>(size));
    if (!bytes.empty() && draw(random_) < fault.corrupt) {
      for (int i = 0; i < 4; ++i) bytes[random_() % bytes.size()] = static_cast<char>(random_());
    }
    auto due = Clock::now() + fault.delay;
    if (draw(random_) < fault.reorder) due += std::chrono::milliseconds(20);
    const int copies = draw(random_) < fault.duplicate ? 2 : 1;
    for (int i = 0; i < copies; ++i) held_.push({due, order_++, way.datagrams, way.to, bytes});
  }
}

void Relays::accept(Way& way) {
  const int from = accept4(way.streams, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (from < 0) return;
  const int to = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(way.to);
  if (way.fault.cut || connect(to, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
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

void Relays::pump(int from) {
  const auto pair = pairs_.find(from);
  if (pair == pairs_.end()) return;
  std::array<char, 65536> buffer;
  const ssize_t size = recv(from, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (size > 0) {
    send(pair->second, buffer.data(), static_cast<std::size_t>(size), MSG_NOSIGNAL);
  } else if (size == 0) {
    // The end of one direction is handed on; the stream is over once both have ended.
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
