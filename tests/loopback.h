// SPDX-License-Identifier: MIT
/// @file
/// Addresses of this machine alone.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstdint>

namespace dahliahall::test {

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

}  // namespace dahliahall::test
