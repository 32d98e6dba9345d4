// SPDX-License-Identifier: MIT
/// @file
/// Parses socket addresses in the format of the configuration.
#pragma once

#include <cstdlib>
#include <string>

#include "event_loop/glib_ptr.h"

namespace edge_proxy::event_loop {

/// Parses `host:port`; returns null if the host is not an IP address.
inline ObjectPtr<GSocketAddress> parse_address(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  const std::string host = text.substr(0, colon);
  const auto port = static_cast<guint>(std::strtoul(text.c_str() + colon + 1, nullptr, 10));
  return ObjectPtr<GSocketAddress>(g_inet_socket_address_new_from_string(host.c_str(), port));
}

}  // namespace edge_proxy::event_loop
