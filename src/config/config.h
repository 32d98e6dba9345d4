// SPDX-License-Identifier: MIT
/// @file
/// The one place where configuration is read, checked and given defaults.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "codec/discovery_events.h"
#include "config/membership_config.h"
#include "config/policy_config.h"

namespace edge_proxy::config {

struct Config {
  std::string name;
  std::string listen_address;     ///< host:port
  std::string discovery_address;  ///< host:port
  std::string admin_address;      ///< host:port of the second address; empty: there is none
  std::string overrides_path;     ///< file for what outlives the process; empty: nothing does
  std::uint64_t seed = 0;
  int max_descriptors = 1024;
  std::size_t memory_bytes = std::size_t{192} << 20U;  ///< bytes
  Settings settings;
  codec::DiscoveryNames discovery_names;
  Time connection_idle{std::chrono::seconds(30)};
  Time connect_timeout{std::chrono::milliseconds(400)};
  int requests_per_connection = 32;
  double flow_bytes_per_s = 0;  ///< of one answer from a copy of its own; 0: none are kept
  double link_bytes_per_s = 0;  ///< of all of them
  std::int64_t last_known_event = 0;
  std::vector<codec::DiscoveryEvent> known_events;
  std::optional<MembershipConfig> membership;  ///< none: it knows of no other edge proxy
  std::optional<PolicyConfig> policy;          ///< none: the settings alone hold
  std::string settings_text;  ///< the settings as JSON, to tell whether another file has others
};

/// The keys whose values differ and that only a new start takes over. The seed, and the bulletin's events so
/// far, are those of a start by nature.
std::vector<std::string> restart_only_keys(const Config& running, const Config& read);

/// Reads the file that GW_CONFIG names; GW_NAME and GW_LISTEN, where set, stand above it.
/// Throws FieldError, whose text names the faulty key.
Config load(const std::map<std::string, std::string>& environment);
/// The same from the text of such a file.
Config parse(const std::string& json, const std::map<std::string, std::string>& environment);

}  // namespace edge_proxy::config
