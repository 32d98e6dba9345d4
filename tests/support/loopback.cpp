// SPDX-License-Identifier: MIT
#include "support/loopback.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <stdexcept>

namespace edge_proxy::test {

sockaddr_in loopback_address(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int bind_exclusive(int type, int port) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = loopback_address(port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return fd;
  close(fd);
  return -1;
}

int reserve_port() {
  // The range is below the ephemeral ports of the system, so that a port is not assigned to another program
  // between this check and the start of the process that uses it.
  constexpr int kFirstPort = 12'000, kPortCount = 19'000;
  static int next = static_cast<int>(getpid() * 401 % kPortCount);
  for (int attempt = 0; attempt < kPortCount; ++attempt) {
    next = (next + 1) % kPortCount;
    const int stream_socket = bind_exclusive(SOCK_STREAM, kFirstPort + next),
              datagram_socket = bind_exclusive(SOCK_DGRAM, kFirstPort + next);
    if (datagram_socket >= 0) close(datagram_socket);
    if (stream_socket >= 0 && datagram_socket >= 0) {
      // The socket stays bound until this program exits and from now on allows address reuse, as the started
      // processes do. Otherwise a test program that runs at the same time could take the port of a killed
      // process, and both would receive each other's traffic.
      const int enabled = 1;
      setsockopt(stream_socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
      setsockopt(stream_socket, SOL_SOCKET, SO_REUSEPORT, &enabled, sizeof enabled);
      return kFirstPort + next;
    }
    if (stream_socket >= 0) close(stream_socket);
  }
  throw std::runtime_error("no port is free");
}

int bind_shared_socket(int& port) {
  if (port == 0) port = reserve_port();
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  const sockaddr_in address = loopback_address(port);
  EXPECT_EQ(bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
  return fd;
}

}  // namespace edge_proxy::test
