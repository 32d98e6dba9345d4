// SPDX-License-Identifier: MIT
#include "proxy/close_reason.h"

namespace edge_proxy::proxy {

std::string_view name_of(CloseReason reason) {
  switch (reason) {
    case CloseReason::peer_closed:
      return "peer_closed";
    case CloseReason::peer_reset:
      return "peer_reset";
    case CloseReason::connect_refused:
      return "connect_refused";
    case CloseReason::connect_timeout:
      return "connect_timeout";
    case CloseReason::idle:
      return "idle";
    case CloseReason::bad_frame:
      return "bad_frame";
    case CloseReason::no_message:
      return "no_message";
    case CloseReason::malformed_response:
      return "bad_answer";
    case CloseReason::bad_stream:
      return "bad_stream";
    case CloseReason::discovery_moved:
      return "bulletin_moved";
    case CloseReason::endpoint_left:
      return "member_left";
    case CloseReason::endpoint_replaced:
      return "member_replaced";
    case CloseReason::silent:
      return "silent";
    case CloseReason::stalled:
      return "stalled";
    case CloseReason::unconfirmed_cancels:
      return "unconfirmed_cancels";
    case CloseReason::backlog:
      return "backlog";
    case CloseReason::memory_limit:
      return "memory_limit";
    case CloseReason::too_many:
      return "too_many";
    case CloseReason::stopping:
      return "stopping";
  }
  return "unknown";
}

}  // namespace edge_proxy::proxy
