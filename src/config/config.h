// SPDX-License-Identifier: MIT
/// @file
/// The configuration of the program edge-proxy: read, checked and given its defaults in this directory alone.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "codec/discovery_events.h"
#include "config/membership_config.h"
#include "config/policy_config.h"

namespace edge_proxy::config {

/// Everything that an edge proxy is started with.
struct Config {
  std::string name;
  std::string listen_address;     ///< host:port for clients
  std::string discovery_address;  ///< host:port of the discovery service
  std::string admin_address;      ///< host:port for operators; empty: there is none
  std::string overrides_path;     ///< file of the admin overrides; empty: they are not stored
  std::uint64_t seed = 0;
  int max_descriptors = 1024;
  std::size_t memory_bytes = std::size_t{192} << 20U;
  Settings settings;
  codec::DiscoveryNames discovery_names;
  Time connection_idle{std::chrono::seconds(30)};  ///< an upstream connection unused this long is closed
  Time connect_timeout{std::chrono::milliseconds(400)};
  int requests_per_connection = 32;   ///< multiplexed on one upstream connection, at most
  double flow_bytes_per_s = 0;        ///< rate of one response from the local cache; 0: nothing is cached
  double link_bytes_per_s = 0;        ///< rate of all responses from the local cache together
  std::int64_t last_known_event = 0;  ///< number of the last discovery event before the start
  std::vector<codec::DiscoveryEvent> known_events;  ///< discovery events before the start, in order
  std::optional<MembershipConfig> membership;       ///< none: it knows of no other edge proxy
  std::optional<PolicyConfig> policy;               ///< none: the settings alone hold
  std::string settings_text;  ///< the settings as JSON, to compare with those of another file
};

/// The keys whose values differ and that take effect with a restart only. The seed and the known discovery
/// events are left out: they describe a start.
[[nodiscard]] std::vector<std::string> restart_only_keys(const Config& running, const Config& loaded);

/// Reads the file that GW_CONFIG names. GW_NAME, GW_LISTEN and GW_ADMIN_ADDR, where set, override it.
/// Throws FieldError, which carries the faulty key.
[[nodiscard]] Config load(const std::map<std::string, std::string>& environment);

/// The same from the text of such a file.
[[nodiscard]] Config parse(const std::string& json, const std::map<std::string, std::string>& environment);

}  // namespace edge_proxy::config
