// SPDX-License-Identifier: MIT
/// @file
/// Loopback addresses, ports and sockets.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>

namespace edge_proxy::test {

sockaddr_in loopback_address(int port);

/// Binds a socket of that type to `port` without address reuse; 0 selects any port. Returns -1 if the port is
/// in use.
int bind_exclusive(int type, int port);

/// Reserves a loopback port that is free for TCP and UDP until this program exits. Test programs that run at
/// the same time get different ports, although the processes that they start listen with SO_REUSEPORT.
int reserve_port();

/// Binds a TCP socket with SO_REUSEADDR to `port`; if `port` is 0, reserves a port and stores it in `port`.
int bind_shared_socket(int& port);

}  // namespace edge_proxy::test
