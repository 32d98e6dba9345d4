// SPDX-License-Identifier: MIT
/// @file
/// What the peers' decisions are set by. Defaults and their reasons: docs/membership.md, "Values".
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "membership/types.h"

namespace edge_proxy::membership {

struct Settings {
  std::string cluster;
  std::string name;
  std::string address;             ///< host:port that the others reach it at
  std::vector<std::string> seeds;  ///< addresses asked by one that knows nobody
  /// Where to send what is for an address that members tell of themselves, if it is not that address.
  std::map<std::string, std::string> address_overrides;
  int zone = 0;
  std::size_t max_members = 1024;  ///< names known at once, marks of those that have gone counted apart
  std::size_t max_datagram_bytes = 1200;  ///< bytes of one at most
  Time probe_interval{200'000};
  Time probe_timeout{80'000};   ///< then others are asked to reach the target
  int indirect_ping_count = 3;  ///< how many are asked
  Time gossip_interval{100'000};
  int gossip_fanout = 3;
  double retransmit_factor = 4;  ///< an item goes out this many times log10(members + 1)
  Time min_suspicion_timeout{800'000};
  double suspicion_factor = 1.5;  ///< times log10(members), times probe_every; suspicion_least at the least
  double max_suspicion_multiple = 4;    ///< times the least, with no confirmation
  int max_confirmations = 2;            ///< independent ones that bring it down to the least
  int max_health_score = 8;             ///< of itself: probes slow down up to this many times more
  Time full_sync_interval{30'000'000};  ///< for 32 members; longer in proportion for more
  Time reconnect_interval{1'000'000};   ///< one that is not reached is asked whether it is back
  Time quota_lease{60'000'000};         ///< admission/quota_leases.h
  std::size_t expected_members = 1;     ///< members that a new fleet begins with
  bool lifeguard = true;                ///< false only to measure what the refinements bring
  bool operator==(const Settings&) const = default;
};

}  // namespace edge_proxy::membership
