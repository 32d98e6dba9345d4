// SPDX-License-Identifier: MIT
/// @file
/// The section `peers` of the configuration: membership among edge proxies. Without it there is none.
#pragma once

#include <string>

#include "config/fields.h"
#include "membership/settings.h"

namespace edge_proxy::config {

struct MembershipConfig {
  membership::Settings settings;
  std::string listen_address;              ///< host:port, of datagrams and streams alike
  std::string folder;                      ///< on the disk whose mark names this member; there has to be one
  int max_streams = 16;                    ///< whole exchanges open at once
  int max_datagrams_per_s = 4000;          ///< read in a second; more are thrown away unread
  std::size_t max_user_message_bytes = 0;  ///< bytes of what another subsystem has carried, at most
  bool operator==(const MembershipConfig&) const = default;
};

/// Reads and checks the section. `name` and `zone`: the proxy's own; `members`: proxies of the fleet, as the
/// settings tell; `sockets`: descriptors it may hold.
/// Throws FieldError, which names the key.
MembershipConfig read_membership_config(const Fields& section, const std::string& name, int zone, int members,
                                        int sockets);

}  // namespace edge_proxy::config
