// SPDX-License-Identifier: MIT
#include "config/membership_config.h"

#include <algorithm>

#include "membership/codec.h"

namespace edge_proxy::config {
namespace {

constexpr int kMinDatagramBytes = 512;
constexpr int kMaxDatagramBytes = 8192;
constexpr int kMinMembers = 2;
constexpr int kMaxMembers = 4096;
constexpr int kMinDatagramsPerS = 100;
constexpr int kMaxDatagramsPerS = 1'000'000;
constexpr int kProbeRoundsPerQuotaLease = 3;
constexpr int kMinDescriptorsPerStream = 32;
constexpr Time kMinInterval = std::chrono::milliseconds(1);
constexpr Time kMaxInterval = std::chrono::hours(1);
constexpr Time kMinQuotaLease = std::chrono::seconds(2);

std::string checked_address(const Fields& fields, const char* name, const std::string& value) {
  if (!membership::is_valid_address(value)) {
    fields.fail(name, "should be an IPv4 address and a port, not '" + value + "'");
  }
  return value;
}

struct IntRange {
  int min;
  int max;
};

int read_in_range(const Fields& fields, const char* name, int default_value, IntRange range) {
  const int value = fields.small_integer(name, default_value);
  if (value < range.min || value > range.max) {
    fields.fail(name, "should be " + std::to_string(range.min) + " to " + std::to_string(range.max));
  }
  return value;
}

/// Like read_in_range(), for sizes; the range must not contain negative values.
std::size_t read_size(const Fields& fields, const char* name, std::size_t default_value, IntRange range) {
  return static_cast<std::size_t>(read_in_range(fields, name, static_cast<int>(default_value), range));
}

Time read_interval(const Fields& fields, const char* name, Time default_value) {
  const Time value = fields.time(name, default_value);
  if (value < kMinInterval || value > kMaxInterval) {
    fields.fail(name, "should be 1000 to 3600000000 microseconds");
  }
  return value;
}

void read_identity(const Fields& section, const ProxyProperties& proxy, MembershipConfig& config) {
  membership::Settings& settings = config.settings;
  settings.cluster = section.text("cluster");
  if (!membership::is_valid_name(settings.cluster)) {
    section.fail("cluster", "should be 1 to 64 of letters, digits, '-', '_', '.'");
  }
  settings.name = proxy.name;
  if (!membership::is_valid_name(proxy.name)) {
    section.fail("", "the proxy's name should be 1 to 64 of letters, digits, '-', '_', '.'");
  }
  settings.zone = proxy.zone;
  config.listen_address = checked_address(section, "listen", section.text("listen"));
  const std::string advertised = section.text("address", config.listen_address.c_str());
  settings.address = checked_address(section, "address", advertised);
  config.folder = section.text("folder");
  if (config.folder.empty()) section.fail("folder", "should name a folder");
}

void read_seeds(const Fields& section, membership::Settings& settings) {
  if (section.find("seeds") == nullptr) return;
  section.for_each_string("seeds", [&](const std::string& seed) {
    settings.seeds.push_back(checked_address(section, "seeds", seed));
  });
}

std::string to_string(const Json& text) { return {text.GetString(), text.GetStringLength()}; }

void read_address_overrides(const Fields& section, membership::Settings& settings) {
  const Json* routes = section.find("routes");
  if (routes == nullptr) return;
  if (!routes->IsObject()) section.fail("routes", "should be an object");
  for (const auto& route : routes->GetObject()) {
    if (!route.value.IsString()) section.fail("routes", "should hold strings");
    const std::string override_address = checked_address(section, "routes", to_string(route.value));
    const std::string address = checked_address(section, "routes", to_string(route.name));
    settings.address_overrides[address] = override_address;
  }
}

void read_sizes(const Fields& section, membership::Settings& settings) {
  settings.max_members = read_size(section, "max_members", settings.max_members, {kMinMembers, kMaxMembers});
  settings.max_datagram_bytes =
      read_size(section, "datagram", settings.max_datagram_bytes, {kMinDatagramBytes, kMaxDatagramBytes});
}

void read_intervals(const Fields& section, membership::Settings& settings) {
  settings.probe_interval = read_interval(section, "probe_every", settings.probe_interval);
  settings.probe_timeout = read_interval(section, "probe_timeout", settings.probe_timeout);
  // Indirect probes start after probe_timeout; they need at least as much time before the probe interval
  // ends.
  if (settings.probe_timeout * 2 > settings.probe_interval) {
    section.fail("probe_timeout", "should be half of probe_every at most");
  }
  settings.min_suspicion_timeout = read_interval(section, "suspicion_least", settings.min_suspicion_timeout);
  settings.full_sync_interval = read_interval(section, "exchange_every", settings.full_sync_interval);
  settings.reconnect_interval = read_interval(section, "seek_every", settings.reconnect_interval);
  // The default lease does not expire between two probe rounds, even with max_members members.
  const Time probe_rounds_duration =
      kProbeRoundsPerQuotaLease * settings.probe_interval * static_cast<int>(settings.max_members);
  settings.quota_lease =
      read_interval(section, "share_lease", std::max(settings.quota_lease, probe_rounds_duration));
  if (settings.quota_lease < kMinQuotaLease) {
    section.fail("share_lease", "should be 2000000 microseconds or more");
  }
}

}  // namespace

MembershipConfig read_membership_config(const Fields& section, const ProxyProperties& proxy) {
  MembershipConfig config;
  membership::Settings& settings = config.settings;
  read_identity(section, proxy, config);
  read_seeds(section, settings);
  read_address_overrides(section, settings);
  read_sizes(section, settings);
  read_intervals(section, settings);
  const auto fleet_size = static_cast<std::size_t>(std::max(1, proxy.fleet_size));
  settings.expected_members =
      read_size(section, "expected", fleet_size, {1, static_cast<int>(settings.max_members)});
  // Streams may use only a small part of the descriptors: those are not available to the upstream pool
  // (proxy/resource_limits.h).
  const int max_streams = std::max(1, proxy.max_descriptors / kMinDescriptorsPerStream);
  config.max_streams =
      read_in_range(section, "streams", std::min(config.max_streams, max_streams), {1, max_streams});
  config.max_datagrams_per_s = read_in_range(section, "datagrams_per_s", config.max_datagrams_per_s,
                                             {kMinDatagramsPerS, kMaxDatagramsPerS});
  return config;
}

}  // namespace edge_proxy::config
