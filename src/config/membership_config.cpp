// SPDX-License-Identifier: MIT
#include "config/membership_config.h"

#include <algorithm>

#include "membership/codec.h"

namespace edge_proxy::config {
namespace {

constexpr int kLeastDatagram = 512;
constexpr int kMostDatagram = 8192;
constexpr int kMostMembers = 4096;
constexpr Time kMostSpan = std::chrono::hours(1);

std::string address(const Fields& fields, const char* name, const std::string& value) {
  if (!membership::is_valid_address(value))
    fields.fail(name, "should be an IPv4 address and a port, not '" + value + "'");
  return value;
}

int within(const Fields& fields, const char* name, int absent, int least, int most) {
  const int value = fields.small(name, absent);
  if (value < least || value > most)
    fields.fail(name, "should be " + std::to_string(least) + " to " + std::to_string(most));
  return value;
}

Time span(const Fields& fields, const char* name, Time absent) {
  const Time value = fields.time(name, absent);
  if (value < std::chrono::milliseconds(1) || value > kMostSpan)
    fields.fail(name, "should be 1000 to 3600000000 microseconds");
  return value;
}

}  // namespace

MembershipConfig read_membership_config(const Fields& section, const std::string& name, int zone, int members,
                                        int sockets) {
  MembershipConfig peers;
  membership::Settings& s = peers.settings;
  s.cluster = section.text("cluster");
  if (!membership::is_valid_name(s.cluster))
    section.fail("cluster", "should be 1 to 64 of letters, digits, '-', '_', '.'");
  s.name = name;
  if (!membership::is_valid_name(name))
    section.fail("", "the proxy's name should be 1 to 64 of letters, digits, '-', '_', '.'");
  s.zone = zone;
  peers.listen_address = address(section, "listen", section.text("listen"));
  s.address = address(section, "address", section.text("address", peers.listen_address.c_str()));
  peers.folder = section.text("folder");
  if (peers.folder.empty()) section.fail("folder", "should name a folder");
  if (section.find("seeds") != nullptr) {
    const Json& seeds = section.need("seeds");
    if (!seeds.IsArray()) section.fail("seeds", "should be a list");
    for (const auto& seed : seeds.GetArray()) {
      if (!seed.IsString()) section.fail("seeds", "should hold strings");
      s.seeds.push_back(address(section, "seeds", {seed.GetString(), seed.GetStringLength()}));
    }
  }
  if (section.find("routes") != nullptr) {
    const Json& routes = section.need("routes");
    if (!routes.IsObject()) section.fail("routes", "should be an object");
    for (const auto& route : routes.GetObject()) {
      if (!route.value.IsString()) section.fail("routes", "should hold strings");
      s.address_overrides[address(section, "routes",
                                  {route.name.GetString(), route.name.GetStringLength()})] =
          address(section, "routes", {route.value.GetString(), route.value.GetStringLength()});
    }
  }
  s.max_members = static_cast<std::size_t>(
      within(section, "max_members", static_cast<int>(s.max_members), 2, kMostMembers));
  s.max_datagram_bytes = static_cast<std::size_t>(
      within(section, "datagram", static_cast<int>(s.max_datagram_bytes), kLeastDatagram, kMostDatagram));
  s.probe_interval = span(section, "probe_every", s.probe_interval);
  s.probe_timeout = span(section, "probe_timeout", s.probe_timeout);
  // Guards against asking others when the probe is over already.
  if (s.probe_timeout * 2 > s.probe_interval)
    section.fail("probe_timeout", "should be half of probe_every at most");
  s.min_suspicion_timeout = span(section, "suspicion_least", s.min_suspicion_timeout);
  s.full_sync_interval = span(section, "exchange_every", s.full_sync_interval);
  s.reconnect_interval = span(section, "seek_every", s.reconnect_interval);
  // Guards the lease against running out between two rounds of probes, at the largest size.
  const Time rounds = 3 * s.probe_interval * static_cast<int>(s.max_members);
  s.quota_lease = span(section, "share_lease", std::max(s.quota_lease, rounds));
  if (s.quota_lease < std::chrono::seconds(2))
    section.fail("share_lease", "should be 2000000 microseconds or more");
  s.expected_members = static_cast<std::size_t>(
      within(section, "expected", std::max(1, members), 1, static_cast<int>(s.max_members)));
  // What is left to caches gives these up (proxy/resource_limits.h): a small part.
  const int most_streams = std::max(1, sockets / 32);
  peers.max_streams = within(section, "streams", std::min(peers.max_streams, most_streams), 1, most_streams);
  peers.max_datagrams_per_s = within(section, "datagrams_per_s", peers.max_datagrams_per_s, 100, 1'000'000);
  return peers;
}

}  // namespace edge_proxy::config
