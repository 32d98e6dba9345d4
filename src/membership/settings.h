// SPDX-License-Identifier: MIT
/// @file
/// Settings of membership. Defaults and their reasons: docs/membership.md, "Values".
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "membership/types.h"

namespace edge_proxy::membership {

struct Settings {
  std::string cluster;
  std::string name;                ///< of this member
  std::string address;             ///< host:port at which the other members reach it
  std::vector<std::string> seeds;  ///< addresses to contact while no other member is known
  /// Where to send what is meant for an address that a member announced, if not to that address.
  std::map<std::string, std::string> address_overrides;
  int zone = 0;
  std::size_t max_members = 1024;         ///< registered members; as many tombstones are kept beside them
  std::size_t max_datagram_bytes = 1200;  ///< upper bound of one datagram
  Time probe_interval{200'000};
  Time probe_timeout{80'000};   ///< without an ack by then, other members are asked to ping the target
  int indirect_ping_count = 3;  ///< how many are asked
  Time gossip_interval{100'000};
  int gossip_fanout = 3;         ///< members that get a gossip message at each interval
  double retransmit_factor = 4;  ///< an update is sent this many times log10(members + 1)
  Time min_suspicion_timeout{800'000};
  /// The timeout is this many times log10(members) times probe_interval, min_suspicion_timeout at the least.
  double suspicion_factor = 1.5;
  double max_suspicion_multiple = 4;    ///< times that timeout, without confirmations
  int max_confirmations = 2;            ///< independent ones that shorten it to the timeout itself
  int max_health_score = 8;             ///< each point makes probes slower by one more of their interval
  Time full_sync_interval{30'000'000};  ///< of up to 32 members; longer in proportion for more
  Time reconnect_interval{1'000'000};   ///< how often one unreachable member is pinged
  Time quota_lease{60'000'000};         ///< admission/quota_leases.h
  std::size_t expected_members = 1;     ///< initial size of a new cluster
  bool lifeguard = true;                ///< false: plain SWIM, to measure what Lifeguard's extensions bring
  bool operator==(const Settings&) const = default;
};

}  // namespace edge_proxy::membership
