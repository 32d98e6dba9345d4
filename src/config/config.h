// SPDX-License-Identifier: MIT
/// @file
/// Configuration of the program edge-proxy. Only this directory reads it, checks it and sets its defaults.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "codec/discovery_events.h"
#include "config/membership_config.h"
#include "config/policy_config.h"

namespace edge_proxy::config {

/// Configuration that an edge proxy is started with.
struct Config {
  std::string name;
  std::string listen_address;     ///< host:port that accepts client connections
  std::string discovery_address;  ///< host:port of the discovery service
  std::string admin_address;      ///< host:port for admin calls; empty: none
  std::string overrides_path;     ///< file that stores the admin overrides; empty: not stored
  std::uint64_t seed = 0;
  int max_descriptors = 1024;
  std::size_t memory_bytes = std::size_t{192} << 20U;
  Settings settings;
  codec::DiscoveryNames discovery_names;
  Time connection_idle{std::chrono::seconds(30)};  ///< closes an upstream connection after this idle time
  Time connect_timeout{std::chrono::milliseconds(400)};
  int requests_per_connection = 32;   ///< maximum multiplexed on one upstream connection
  double flow_bytes_per_s = 0;        ///< rate of one response from the local cache; 0: no local cache
  double link_bytes_per_s = 0;        ///< total rate of all responses from the local cache
  std::int64_t last_known_event = 0;  ///< number of the last discovery event before the start
  std::vector<codec::DiscoveryEvent> known_events;  ///< discovery events before the start, in order
  std::optional<MembershipConfig> membership;       ///< none: no membership with other edge proxies
  std::optional<PolicyConfig> policy;               ///< none: only the settings apply
  std::string settings_text;                        ///< settings as JSON, to detect changes on reload
};

/// Returns the keys that differ between `running` and `loaded` and take effect only after a restart. The seed
/// and the known discovery events are excluded, as they apply to the start alone.
[[nodiscard]] std::vector<std::string> restart_only_keys(const Config& running, const Config& loaded);

/// Loads the file that GW_CONFIG names. GW_NAME, GW_LISTEN and GW_ADMIN_ADDR, if set, override its values.
/// Throws FieldError, which carries the invalid key.
[[nodiscard]] Config load(const std::map<std::string, std::string>& environment);

/// Parses the text of a configuration file; otherwise as load().
[[nodiscard]] Config parse(const std::string& json, const std::map<std::string, std::string>& environment);

}  // namespace edge_proxy::config
