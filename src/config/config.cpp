// SPDX-License-Identifier: MIT
#include "config/config.h"

#include <rapidjson/error/en.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cctype>
#include <fstream>
#include <sstream>

#include "config/settings_check.h"
#include "config/settings_reader.h"

namespace edge_proxy::config {
namespace {

constexpr int kLeastMemoryMb = 16;
constexpr int kLeastSockets = 64;  // fewer leave no room for clients beside the connections to the caches

std::string from_environment(const std::map<std::string, std::string>& environment, const char* key) {
  const auto found = environment.find(key);
  return found == environment.end() ? std::string() : found->second;
}

/// Guards the folder against a name that would lead out of it.
std::string file_name(std::string name) {
  std::replace_if(
      name.begin(), name.end(), [](unsigned char c) { return std::isalnum(c) == 0 && c != '-'; }, '_');
  return name;
}

void check_address(const std::string& key, const std::string& address) {
  const std::size_t colon = address.rfind(':');
  int port = 0;
  bool good = colon != std::string::npos && colon > 0;
  if (good) {
    const char* end = address.data() + address.size();
    const auto [stop, problem] = std::from_chars(address.data() + colon + 1, end, port);
    good = problem == std::errc{} && stop == end && port > 0 && port < 65536;
  }
  if (!good) throw FieldError("field '" + key + "': should be host:port, not '" + address + "'");
}

std::vector<std::string> texts(const Fields& fields, const char* name) {
  std::vector<std::string> all;
  const rapidjson::Value& list = fields.need(name);
  if (!list.IsArray()) fields.fail(name, "should be a list");
  for (const auto& item : list.GetArray()) {
    if (!item.IsString()) fields.fail(name, "should hold strings");
    all.emplace_back(item.GetString(), item.GetStringLength());
  }
  return all;
}

Time positive(const Fields& fields, const char* name, Time absent) {
  const Time value = fields.time(name, absent);
  if (value <= Time{0}) fields.fail(name, "should be more than 0");
  return value;
}

void read_own_settings(Config& config, const Fields& settings) {
  config.settings = read_settings(settings);
  config.discovery_names.zones = texts(settings, "azs");
  config.discovery_names.kinds = texts(settings, "kinds");
  check_settings(settings, config.settings);
  const Fields bounds = settings.object_or_empty("bounds");
  config.connection_idle = positive(bounds, "conn_idle", config.connection_idle);
  config.connect_timeout = positive(bounds, "connect_timeout", config.connect_timeout);
  config.requests_per_connection = bounds.small("multiplex", config.requests_per_connection);
  if (config.requests_per_connection < 1) bounds.fail("multiplex", "should be 1 or more");
}

std::uint64_t read_seed(const Fields& root) {
  if (root.find("seed") == nullptr) return 0;
  return root.need("seed").IsString() ? object_id(root, "seed")
                                      : static_cast<std::uint64_t>(root.integer("seed"));
}

}  // namespace

Config parse(const std::string& json, const std::map<std::string, std::string>& environment) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(json.data(), json.size());
  if (document.HasParseError()) {
    throw FieldError("field '': not JSON at byte " + std::to_string(document.GetErrorOffset()) + ": " +
                     rapidjson::GetParseError_En(document.GetParseError()));
  }
  const Fields root(document, 0);
  Config config;
  const std::string name = from_environment(environment, "GW_NAME");
  const std::string listen = from_environment(environment, "GW_LISTEN");
  config.name = name.empty() ? root.text("name") : name;
  config.listen_address = listen.empty() ? root.text("listen") : listen;
  check_address(listen.empty() ? "listen" : "GW_LISTEN", config.listen_address);
  config.discovery_address = root.text("bulletin");
  check_address("bulletin", config.discovery_address);
  const std::string admin = from_environment(environment, "GW_ADMIN_ADDR");
  config.admin_address = admin.empty() ? root.text("admin_addr", "") : admin;
  if (!config.admin_address.empty())
    check_address(admin.empty() ? "admin_addr" : "GW_ADMIN_ADDR", config.admin_address);
  const std::string folder = from_environment(environment, "TMPDIR");
  if (!folder.empty()) config.overrides_path = folder + "/by-hand-" + file_name(config.name);
  config.seed = read_seed(root);
  const Fields limits = root.object_or_empty("limits");
  config.max_descriptors = limits.small("sockets", config.max_descriptors);
  if (config.max_descriptors < kLeastSockets)
    limits.fail("sockets", "should be " + std::to_string(kLeastSockets) + " or more");
  const int memory_mb = limits.small("memory_mb", static_cast<int>(config.memory_bytes >> 20U));
  if (memory_mb < kLeastMemoryMb)
    limits.fail("memory_mb", "should be " + std::to_string(kLeastMemoryMb) + " or more");
  config.memory_bytes = static_cast<std::size_t>(memory_mb) << 20U;
  for (const auto& [key, value] : {std::pair{"flow_bytes_per_s", &config.flow_bytes_per_s},
                                   std::pair{"link_bytes_per_s", &config.link_bytes_per_s}}) {
    *value = root.number(key, 0);
    if (*value < 0) root.fail(key, "should be 0 or more");
  }
  read_own_settings(config, root.object("settings"));
  if (root.find("peers") != nullptr)
    config.membership = read_membership_config(root.object("peers"), config.name, config.settings.zone,
                                               config.settings.router_count, config.max_descriptors);
  if (root.find("policy") != nullptr) {
    if (!config.membership) root.fail("policy", "needs the section peers");
    config.policy = read_policy_config(root.object("policy"), config.name);
    config.membership->max_user_message_bytes = 4 * config.policy->settings.max_policy_bytes;
  }
  rapidjson::StringBuffer text;
  rapidjson::Writer<rapidjson::StringBuffer> writer(text);
  root.need("settings").Accept(writer);
  config.settings_text = text.GetString();
  const Fields known = root.object_or_empty("known");
  config.last_known_event = known.integer("no", 0);
  if (known.find("items") != nullptr) {
    for (const Fields& item : known.objects("items"))
      config.known_events.push_back(codec::read_discovery_event(item, config.discovery_names));
  }
  return config;
}

std::vector<std::string> restart_only_keys(const Config& running, const Config& read) {
  std::vector<std::string> keys;
  if (running.name != read.name) keys.emplace_back("name");
  if (running.listen_address != read.listen_address) keys.emplace_back("listen");
  if (running.admin_address != read.admin_address) keys.emplace_back("admin_addr");
  if (running.flow_bytes_per_s != read.flow_bytes_per_s) keys.emplace_back("flow_bytes_per_s");
  if (running.link_bytes_per_s != read.link_bytes_per_s) keys.emplace_back("link_bytes_per_s");
  if (running.membership != read.membership) keys.emplace_back("peers");
  if (running.policy != read.policy) keys.emplace_back("policy");
  if (running.settings_text != read.settings_text) keys.emplace_back("settings");
  return keys;
}

Config load(const std::map<std::string, std::string>& environment) {
  const std::string path = from_environment(environment, "GW_CONFIG");
  if (path.empty()) throw FieldError("field 'GW_CONFIG': is missing");
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw FieldError("field 'GW_CONFIG': can't read '" + path + "'");
  return parse(text.str(), environment);
}

}  // namespace edge_proxy::config
