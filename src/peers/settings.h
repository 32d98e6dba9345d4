// SPDX-License-Identifier: MIT
/// @file
/// What the peers' decisions are set by. Defaults and their reasons: docs/peers.md, "Values".
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "peers/types.h"

namespace dahliahall::peers {

struct Settings {
  std::string cluster;
  std::string name;
  std::string address;             ///< host:port that the others reach it at
  std::vector<std::string> seeds;  ///< addresses asked by one that knows nobody
  /// Where to send what is for an address that members tell of themselves, if it is not that address.
  std::map<std::string, std::string> book;
  int zone = 0;
  std::size_t max_members = 1024;  ///< names known at once, marks of those that have gone counted apart
  std::size_t datagram = 1200;     ///< bytes of one at most
  Time probe_every{200'000};
  Time probe_timeout{80'000};  ///< then others are asked to reach the target
  int indirect = 3;            ///< how many are asked
  Time gossip_every{100'000};
  int gossip_to = 3;
  double news_factor = 4;  ///< an item goes out this many times log10(members + 1)
  Time suspicion_least{800'000};
  double suspicion_factor = 1.5;    ///< times log10(members), times probe_every; suspicion_least at the least
  double suspicion_most = 4;        ///< times the least, with no confirmation
  int confirmations = 2;            ///< independent ones that bring it down to the least
  int most_doubt = 8;               ///< of itself: probes slow down up to this many times more
  Time exchange_every{30'000'000};  ///< for 32 members; longer in proportion for more
  Time seek_every{1'000'000};       ///< one that is not reached is asked whether it is back
  Time share_lease{60'000'000};     ///< limits/shares.h
  std::size_t expected = 1;         ///< members that a new fleet begins with
  bool lifeguard = true;            ///< false only to measure what the refinements bring
  bool operator==(const Settings&) const = default;
};

}  // namespace dahliahall::peers
