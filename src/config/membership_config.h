// SPDX-License-Identifier: MIT
/// @file
/// The section `peers` of the configuration: membership among edge proxies, which is off without it.
#pragma once

#include <string>

#include "config/fields.h"
#include "membership/settings.h"

namespace edge_proxy::config {

/// Values of the section, and values derived from them.
struct MembershipConfig {
  membership::Settings settings;
  std::string listen_address;              ///< host:port for both datagrams and streams
  std::string folder;                      ///< folder of this member's identity file; required
  int max_streams = 16;                    ///< full-sync streams open at the same time
  int max_datagrams_per_s = 4000;          ///< datagrams above this rate are dropped unread
  std::size_t max_user_message_bytes = 0;  ///< limit for messages of other subsystems
  bool operator==(const MembershipConfig&) const = default;
};

/// Properties of the proxy that the section's defaults and bounds depend on.
struct ProxyProperties {
  std::string name;
  int zone = 0;             ///< index into the zones of the settings
  int fleet_size = 1;       ///< number of edge proxies in the fleet, from the settings
  int max_descriptors = 0;  ///< file descriptors that this proxy may hold
};

/// Reads and validates the section for the proxy that `proxy` describes. Throws FieldError, which carries the
/// invalid key.
[[nodiscard]] MembershipConfig read_membership_config(const Fields& section, const ProxyProperties& proxy);

}  // namespace edge_proxy::config
