// SPDX-License-Identifier: MIT
/// @file
/// Decodes the simulator's messages, each a JSON object on one line. The simulator's names of fields and
/// values appear only in message_reader.cpp and action_writer.cpp.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "config/fields.h"

namespace edge_proxy::simulator {

enum class MessageKind {
  set_clock,
  end_of_batch,
  define_list,     ///< defines a numbered endpoint list for later messages
  create_router,   ///< starts a router instance
  destroy_router,  ///< ends a router instance
  endpoint_list,   ///< this kind and the following ones are events for one instance
  request,
  timer_fired,
  outcome,
  health_checked,
  invalidation,
  request_cancelled,
  stream_started,
  gossip  ///< message from another router; ignored
};

/// Reads the kind of a message. Throws FieldError if the kind is unknown.
[[nodiscard]] MessageKind read_kind(const Fields& message);

/// Reads the new time from a set_clock message.
[[nodiscard]] Time read_clock(const Fields& message);

/// Reads the number of the instance that a message addresses, starts or ends.
[[nodiscard]] std::int64_t read_instance(const Fields& message);

/// Reads the number of the list that a define_list message defines or an endpoint_list message refers to.
[[nodiscard]] std::int64_t read_list_number(const Fields& message);

/// Reads the endpoints from a define_list message.
[[nodiscard]] std::vector<Endpoint> read_endpoints(const Fields& message);

/// Creates the router that a create_router message describes.
[[nodiscard]] Router read_router(const Fields& message);

/// Reads how the list of an endpoint_list message was obtained and whether it is complete.
[[nodiscard]] ListKind read_list_kind(const Fields& message);

/// Reads the event from a message of the kinds `request` to `stream_started`; none for the other kinds.
[[nodiscard]] std::optional<Event> read_event(MessageKind kind, const Fields& message);

}  // namespace edge_proxy::simulator
