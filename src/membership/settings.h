// SPDX-License-Identifier: MIT
/// @file
/// Settings of membership. For the reasons of the defaults see docs/membership.md, "Values".
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "membership/types.h"

namespace edge_proxy::membership {

struct Settings {
  std::string cluster;
  std::string name;                ///< name of this member
  std::string address;             ///< host:port at which other members reach this one
  std::vector<std::string> seeds;  ///< addresses to contact when no member is known there
  /// Maps announced addresses to the addresses to send to instead.
  std::map<std::string, std::string> address_overrides;
  int zone = 0;
  std::size_t max_members = 1024;         ///< registered members; as many tombstones are kept in addition
  std::size_t max_datagram_bytes = 1200;  ///< upper bound on one datagram
  Time probe_interval{200'000};
  Time probe_timeout{80'000};   ///< without an ack within it, others are asked to ping the target
  int indirect_ping_count = 3;  ///< number of members that are asked
  Time gossip_interval{100'000};
  int gossip_fanout = 3;         ///< members that receive a gossip message at each interval
  double retransmit_factor = 4;  ///< an update is sent this factor times log10(members + 1) times
  Time min_suspicion_timeout{800'000};
  /// The suspicion timeout is this factor times log10(members) times probe_interval, at least
  /// min_suspicion_timeout.
  double suspicion_factor = 1.5;
  double max_suspicion_multiple = 4;    ///< multiplies that timeout while there are no confirmations
  int max_confirmations = 2;            ///< independent confirmations that shorten it to that timeout
  int max_health_score = 8;             ///< each point adds one interval to the time between probes
  Time full_sync_interval{30'000'000};  ///< for up to 32 members; proportionally longer for more
  Time reconnect_interval{1'000'000};   ///< time between pings to one of the unreachable members
  Time quota_lease{60'000'000};         ///< admission/quota_leases.h
  std::size_t expected_members = 1;     ///< initial size of a new cluster
  bool lifeguard = true;                ///< false: plain SWIM, for comparison with Lifeguard's extensions
  bool operator==(const Settings&) const = default;
};

}  // namespace edge_proxy::membership
