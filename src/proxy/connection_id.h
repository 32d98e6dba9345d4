// SPDX-License-Identifier: MIT
/// @file
/// Identifiers of the connections and listeners that the reducer and the event loop both know.
#pragma once

#include <cstdint>

namespace edge_proxy::proxy {

/// Identifies a connection, from its Connect or Accepted on; never used again. 0 is the listening socket.
/// Accepted connections have odd identifiers, those that the reducer opens even ones: guards against one
/// identifier for two connections, where a timer opens one in the same moment in which another is accepted.
using ConnectionId = std::uint64_t;
/// Distance between two identifiers that are given out one after the other on the same side.
constexpr ConnectionId kConnectionIdStep = 2;
/// One step before the first accepted connection, which is 1.
constexpr ConnectionId kBeforeFirstAccepted = ~ConnectionId{0};
/// The socket that listens for clients.
constexpr ConnectionId kListener = 0;
/// The socket that listens at the admin address.
constexpr ConnectionId kAdminListener = ~ConnectionId{0};

}  // namespace edge_proxy::proxy
