// SPDX-License-Identifier: MIT
/// @file
/// Why a connection ended, and who ended it.
#pragma once

#include <cstdint>
#include <string_view>

namespace edge_proxy::proxy {

/// Why a connection ended. Each ended connection leaves one log line with one of these; docs/oncall.md says
/// what each means and what to do.
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
  backlog,
  too_many,
  stopping
};

/// The reason's name in the log.
[[nodiscard]] std::string_view name_of(CloseReason reason);

/// Which side ended a connection: one that the peer has ended is not closed again here.
enum class ClosedBy : std::uint8_t { peer, proxy };

}  // namespace edge_proxy::proxy
