// SPDX-License-Identifier: MIT
/// @file
/// The section `peers` of the configuration: membership among edge proxies. Without it there is none.
#pragma once

#include <string>

#include "config/fields.h"
#include "membership/settings.h"

namespace edge_proxy::config {

/// What the section says, and what is derived from it.
struct MembershipConfig {
  membership::Settings settings;
  std::string listen_address;              ///< host:port of datagrams and streams alike
  std::string folder;                      ///< holds this member's identity file; required
  int max_streams = 16;                    ///< streams of full syncs open at once
  int max_datagrams_per_s = 4000;          ///< more of them are dropped unread
  std::size_t max_user_message_bytes = 0;  ///< size of messages carried for other subsystems, at most
  bool operator==(const MembershipConfig&) const = default;
};

/// What the section's defaults and bounds depend on.
struct ProxyProperties {
  std::string name;
  int zone = 0;             ///< index in the settings' zones
  int fleet_size = 1;       ///< edge proxies of the fleet, as the settings say
  int max_descriptors = 0;  ///< that this proxy may hold
};

/// Reads and checks the section of the proxy that `proxy` describes. Throws FieldError, which carries the
/// key.
[[nodiscard]] MembershipConfig read_membership_config(const Fields& section, const ProxyProperties& proxy);

}  // namespace edge_proxy::config
