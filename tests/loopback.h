// SPDX-License-Identifier: MIT
/// @file
/// Addresses and sockets of this machine alone.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>

namespace dahliahall::test {

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// A socket bound to that port of this machine; to one that is free now, which is then told, where it is 0.
inline int bound_socket(int& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = loopback(port);
  socklen_t size = sizeof address;
  EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&address), size), 0);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

}  // namespace dahliahall::test
