// SPDX-License-Identifier: MIT
/// @file
/// Identifiers of the connections and listeners that the reducer and the event loop both know.
#pragma once

#include <cstdint>

namespace edge_proxy::proxy {

/// Identifies a connection from its Connect or Accepted on and is never reused. 0 is the listening socket.
/// Accepted connections have odd identifiers and those that the reducer opens have even ones, so that a
/// connection opened by a timer never shares its identifier with one that is accepted at the same time.
using ConnectionId = std::uint64_t;
/// Difference between consecutive identifiers of the same side.
constexpr ConnectionId kConnectionIdStep = 2;
/// One step before the identifier of the first accepted connection, which is 1.
constexpr ConnectionId kBeforeFirstAccepted = ~ConnectionId{0};
/// The socket that listens for clients.
constexpr ConnectionId kListener = 0;
/// The socket that listens at the admin address.
constexpr ConnectionId kAdminListener = ~ConnectionId{0};

}  // namespace edge_proxy::proxy
