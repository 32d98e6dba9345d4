// SPDX-License-Identifier: MIT
/// @file
/// Why a connection was closed, and by which side.
#pragma once

#include <cstdint>
#include <string_view>

namespace edge_proxy::proxy {

/// Why a connection was closed. Each closed connection leaves one log line with a reason; docs/oncall.md
/// describes the reasons and how to respond to them.
enum class CloseReason : std::uint8_t {
  peer_closed,
  peer_reset,
  connect_refused,
  connect_timeout,
  idle,
  bad_frame,
  no_message,
  malformed_response,
  bad_stream,
  discovery_moved,
  endpoint_left,
  endpoint_replaced,
  silent,
  stalled,
  unconfirmed_cancels,
  backlog,
  memory_limit,
  too_many,
  stopping
};

/// Returns the name of the reason in the log.
[[nodiscard]] std::string_view name_of(CloseReason reason);

/// Which side closed a connection. The proxy does not close a connection again that the peer has closed.
enum class ClosedBy : std::uint8_t { peer, proxy };

}  // namespace edge_proxy::proxy
