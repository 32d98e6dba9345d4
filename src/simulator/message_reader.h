// SPDX-License-Identifier: MIT
/// @file
/// Reads the simulator's messages, each a JSON object on one line. The simulator's words for fields and
/// values stand here and in action_writer.cpp alone.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "config/fields.h"

namespace edge_proxy::simulator {

enum class MessageKind {
  set_clock,
  end_of_batch,
  define_list,     ///< an endpoint list under a number, for later messages
  create_router,   ///< starts an instance
  destroy_router,  ///< ends an instance
  endpoint_list,   ///< this and what follows are events for one instance
  request,
  timer_fired,
  outcome,
  health_checked,
  invalidation,
  request_cancelled,
  stream_started,
  gossip  ///< from another router; not used
};

/// What the message says of itself. Throws FieldError where the kind is unknown.
[[nodiscard]] MessageKind read_kind(const Fields& message);

/// The new time of a set_clock.
[[nodiscard]] Time read_clock(const Fields& message);

/// The instance that a message is for, or that it starts or ends.
[[nodiscard]] std::int64_t read_instance(const Fields& message);

/// The number of the list that a define_list defines or an endpoint_list refers to.
[[nodiscard]] std::int64_t read_list_number(const Fields& message);

/// The endpoints of a define_list.
[[nodiscard]] std::vector<Endpoint> read_endpoints(const Fields& message);

/// The router that a create_router starts.
[[nodiscard]] Router read_router(const Fields& message);

/// How to understand the list of an endpoint_list.
[[nodiscard]] ListKind read_list_kind(const Fields& message);

/// The event of a message from `request` to `stream_started`; none for the other kinds.
[[nodiscard]] std::optional<Event> read_event(MessageKind kind, const Fields& message);

}  // namespace edge_proxy::simulator
