// SPDX-License-Identifier: MIT
#include "support/loopback.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <stdexcept>

namespace edge_proxy::test {

sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int bound(int type, int port) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = loopback(port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return fd;
  close(fd);
  return -1;
}

int free_port() {
  // Below those that the system hands out by itself: guards against one that something else is given between
  // this look and the start of the process that it is for.
  constexpr int kFirst = 12'000, kMany = 19'000;
  static int next = static_cast<int>(getpid() * 401 % kMany);
  for (int tries = 0; tries < kMany; ++tries) {
    next = (next + 1) % kMany;
    const int streams = bound(SOCK_STREAM, kFirst + next), datagrams = bound(SOCK_DGRAM, kFirst + next);
    if (datagrams >= 0) close(datagrams);
    if (streams >= 0 && datagrams >= 0) {
      // The socket stays bound as long as this program runs, from now on beside others that allow it, as
      // those of the processes do. Guards against another suite that is run at the same time and takes the
      // port of a process that was killed: both then get what is for the other.
      const int yes = 1;
      setsockopt(streams, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
      setsockopt(streams, SOL_SOCKET, SO_REUSEPORT, &yes, sizeof yes);
      return kFirst + next;
    }
    if (streams >= 0) close(streams);
  }
  throw std::runtime_error("no port is free");
}

int bound_socket(int& port) {
  if (port == 0) port = free_port();
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = loopback(port);
  EXPECT_EQ(bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
  return fd;
}

}  // namespace edge_proxy::test
