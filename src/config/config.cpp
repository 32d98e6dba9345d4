// SPDX-License-Identifier: MIT
#include "config/config.h"

#include <rapidjson/error/en.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <fstream>
#include <sstream>
#include <utility>

#include "config/settings_check.h"
#include "config/settings_reader.h"

namespace edge_proxy::config {
namespace {

using Environment = std::map<std::string, std::string>;

constexpr int kMinMemoryMb = 16;
/// A smaller limit leaves no descriptors for clients beside the upstream connections.
constexpr int kMinSockets = 64;
constexpr unsigned kMbShift = 20;
constexpr int kMaxPort = 65535;
/// Number of policies of the largest size that one consensus message can hold.
constexpr std::size_t kPoliciesPerUserMessage = 4;

/// Returns the value of an environment variable; empty if it is not set.
std::string from_environment(const Environment& environment, const char* variable) {
  const auto found = environment.find(variable);
  return found == environment.end() ? std::string() : found->second;
}

/// Replaces characters that are unsafe in a file name, so that the path cannot leave its folder.
std::string to_file_name(std::string name) {
  const auto is_unsafe = [](unsigned char character) {
    return std::isalnum(character) == 0 && character != '-';
  };
  std::replace_if(name.begin(), name.end(), is_unsafe, '_');
  return name;
}

bool is_host_and_port(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0) return false;
  const char* const end = address.data() + address.size();
  int port = 0;
  const auto [parsed_end, error] = std::from_chars(address.data() + colon + 1, end, port);
  return error == std::errc{} && parsed_end == end && port > 0 && port <= kMaxPort;
}

void check_address(const std::string& key, const std::string& address) {
  if (!is_host_and_port(address)) throw FieldError(0, key, "should be host:port, not '" + address + "'");
}

/// Returns the listen address for clients: GW_LISTEN if set, otherwise the key `listen`.
std::string read_listen_address(const Fields& root, const Environment& environment) {
  const std::string environment_value = from_environment(environment, "GW_LISTEN");
  std::string address = environment_value.empty() ? root.text("listen") : environment_value;
  check_address(environment_value.empty() ? "listen" : "GW_LISTEN", address);
  return address;
}

/// Returns the admin address: GW_ADMIN_ADDR if set, otherwise the key `admin_addr`; empty if neither is set.
std::string read_admin_address(const Fields& root, const Environment& environment) {
  const std::string environment_value = from_environment(environment, "GW_ADMIN_ADDR");
  std::string address = environment_value.empty() ? root.text("admin_addr", "") : environment_value;
  if (!address.empty()) check_address(environment_value.empty() ? "admin_addr" : "GW_ADMIN_ADDR", address);
  return address;
}

void read_identity(const Fields& root, const Environment& environment, Config& config) {
  const std::string name = from_environment(environment, "GW_NAME");
  config.name = name.empty() ? root.text("name") : name;
  config.listen_address = read_listen_address(root, environment);
  config.discovery_address = root.text("bulletin");
  check_address("bulletin", config.discovery_address);
  config.admin_address = read_admin_address(root, environment);
  const std::string folder = from_environment(environment, "TMPDIR");
  if (!folder.empty()) config.overrides_path = folder + "/by-hand-" + to_file_name(config.name);
}

/// Reads the seed, which is a string of hexadecimal digits or an integer.
std::uint64_t read_seed(const Fields& root) {
  const Json* seed = root.find("seed");
  if (seed == nullptr) return 0;
  if (seed->IsString()) return root.object_id("seed");
  return static_cast<std::uint64_t>(root.integer("seed"));
}

void read_resource_limits(const Fields& limits, Config& config) {
  config.max_descriptors = limits.small_integer("sockets", config.max_descriptors);
  if (config.max_descriptors < kMinSockets) {
    limits.fail("sockets", "should be " + std::to_string(kMinSockets) + " or more");
  }
  const int memory_mb = limits.small_integer("memory_mb", static_cast<int>(config.memory_bytes >> kMbShift));
  if (memory_mb < kMinMemoryMb) {
    limits.fail("memory_mb", "should be " + std::to_string(kMinMemoryMb) + " or more");
  }
  config.memory_bytes = static_cast<std::size_t>(memory_mb) << kMbShift;
}

double read_rate(const Fields& root, const char* key) {
  const double bytes_per_s = root.number(key, 0);
  if (bytes_per_s < 0) root.fail(key, "should be 0 or more");
  return bytes_per_s;
}

Time read_positive_time(const Fields& fields, const char* name, Time default_value) {
  const Time value = fields.time(name, default_value);
  if (value <= Time{0}) fields.fail(name, "should be more than 0");
  return value;
}

void read_settings_section(const Fields& section, Config& config) {
  config.settings = read_settings(section);
  config.discovery_names.zones = section.strings("azs");
  config.discovery_names.kinds = section.strings("kinds");
  check_settings(section, config.settings);
  const Fields bounds = section.object_or_empty("bounds");
  config.connection_idle = read_positive_time(bounds, "conn_idle", config.connection_idle);
  config.connect_timeout = read_positive_time(bounds, "connect_timeout", config.connect_timeout);
  config.requests_per_connection = bounds.small_integer("multiplex", config.requests_per_connection);
  if (config.requests_per_connection < 1) bounds.fail("multiplex", "should be 1 or more");
}

void read_cluster_sections(const Fields& root, Config& config) {
  if (root.find("peers") != nullptr) {
    const ProxyProperties proxy{config.name, config.settings.zone, config.settings.router_count,
                                config.max_descriptors};
    config.membership = read_membership_config(root.object("peers"), proxy);
  }
  if (root.find("policy") == nullptr) return;
  if (!config.membership) root.fail("policy", "needs the section peers");
  config.policy = read_policy_config(root.object("policy"), config.name);
  config.membership->max_user_message_bytes =
      kPoliciesPerUserMessage * config.policy->settings.max_policy_bytes;
}

std::string to_json(const Json& value) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return buffer.GetString();
}

void read_known_events(const Fields& known, Config& config) {
  config.last_known_event = known.integer("no", 0);
  if (known.find("items") == nullptr) return;
  for (const Fields& item : known.objects("items")) {
    config.known_events.push_back(codec::read_discovery_event(item, config.discovery_names));
  }
}

rapidjson::Document parse_json(const std::string& json) {
  rapidjson::Document document;
  // Iterative parsing keeps deeply nested input from overflowing the stack.
  document.Parse<rapidjson::kParseIterativeFlag>(json.data(), json.size());
  if (document.HasParseError()) {
    const std::string problem = "not JSON at byte " + std::to_string(document.GetErrorOffset());
    throw FieldError(0, "", problem + ": " + rapidjson::GetParseError_En(document.GetParseError()));
  }
  return document;
}

}  // namespace

Config parse(const std::string& json, const Environment& environment) {
  const rapidjson::Document document = parse_json(json);
  const Fields root(document, 0);
  Config config;
  read_identity(root, environment, config);
  config.seed = read_seed(root);
  read_resource_limits(root.object_or_empty("limits"), config);
  config.flow_bytes_per_s = read_rate(root, "flow_bytes_per_s");
  config.link_bytes_per_s = read_rate(root, "link_bytes_per_s");
  read_settings_section(root.object("settings"), config);
  read_cluster_sections(root, config);
  config.settings_text = to_json(root.required("settings"));
  read_known_events(root.object_or_empty("known"), config);
  return config;
}

std::vector<std::string> restart_only_keys(const Config& running, const Config& loaded) {
  std::vector<std::string> keys;
  if (running.name != loaded.name) keys.emplace_back("name");
  if (running.listen_address != loaded.listen_address) keys.emplace_back("listen");
  if (running.admin_address != loaded.admin_address) keys.emplace_back("admin_addr");
  if (running.flow_bytes_per_s != loaded.flow_bytes_per_s) keys.emplace_back("flow_bytes_per_s");
  if (running.link_bytes_per_s != loaded.link_bytes_per_s) keys.emplace_back("link_bytes_per_s");
  if (running.membership != loaded.membership) keys.emplace_back("peers");
  if (running.policy != loaded.policy) keys.emplace_back("policy");
  if (running.settings_text != loaded.settings_text) keys.emplace_back("settings");
  return keys;
}

Config load(const Environment& environment) {
  const std::string path = from_environment(environment, "GW_CONFIG");
  if (path.empty()) throw FieldError(0, "GW_CONFIG", "is missing");
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw FieldError(0, "GW_CONFIG", "can't read '" + path + "'");
  return parse(text.str(), environment);
}

}  // namespace edge_proxy::config
