// SPDX-License-Identifier: MIT
/// @file
/// Addresses and sockets of this machine alone.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>

namespace edge_proxy::test {

sockaddr_in loopback(int port);

/// A socket of that type at a port that nobody else may use meanwhile; 0: any. -1 where it is taken.
int bound(int type, int port);

/// A port of loopback that is free for datagrams and streams alike, and this program's own as long as it
/// runs: suites that run side by side share none, though the processes that they start let others listen
/// beside them.
int free_port();

/// A socket bound to that port; where it is 0, to a free one, which is then told.
int bound_socket(int& port);

}  // namespace edge_proxy::test
