// SPDX-License-Identifier: MIT
#include "config/policy_config.h"

#include <algorithm>
#include <set>

#include "membership/codec.h"

namespace edge_proxy::config {
namespace {

/// Behavior of a proxy that holds no lease on the policy.
enum class PartitionMode { refuse, serve };
constexpr std::array<std::string_view, 2> kPartitionModeWords{"refuse", "serve"};

constexpr Time kMinLease = std::chrono::seconds(1);
constexpr Time kMaxLease = std::chrono::minutes(5);
constexpr int kRenewalsPerLease = 4;
constexpr std::array<std::size_t, 3> kVoterCounts{3, 5, 7};

std::vector<std::string> read_voters(const Fields& section) {
  const Json& list = section.required("voters");
  if (!list.IsArray()) section.fail("voters", "should be a list");
  std::vector<std::string> voters;
  for (const auto& voter : list.GetArray()) {
    if (!voter.IsString() || !membership::is_valid_name({voter.GetString(), voter.GetStringLength()})) {
      section.fail("voters", "should hold names of edge proxies");
    }
    voters.emplace_back(voter.GetString(), voter.GetStringLength());
  }
  const std::set<std::string> distinct(voters.begin(), voters.end());
  const bool is_valid_count =
      std::find(kVoterCounts.begin(), kVoterCounts.end(), voters.size()) != kVoterCounts.end();
  if (distinct.size() != voters.size() || !is_valid_count) {
    section.fail("voters", "should hold 3, 5 or 7 names, each once");
  }
  return voters;
}

Time read_lease(const Fields& section, Time default_value) {
  const Time lease = section.time("lease", default_value);
  if (lease < kMinLease || lease > kMaxLease) {
    section.fail("lease", "should be 1000000 to 300000000 microseconds");
  }
  return lease;
}

}  // namespace

PolicyConfig read_policy_config(const Fields& section, const std::string& name) {
  PolicyConfig config;
  consensus::Settings& settings = config.settings;
  settings.name = name;
  settings.voters = read_voters(section);
  config.folder = section.text("folder");
  if (config.folder.empty()) section.fail("folder", "should name a folder");
  settings.lease = read_lease(section, settings.lease);
  settings.renew_interval = settings.lease / kRenewalsPerLease;
  const auto mode = section.enumerator("cut_off", kPartitionModeWords, PartitionMode::refuse);
  settings.serve_when_partitioned = mode == PartitionMode::serve;
  config.trace = section.boolean("trace", false);
  return config;
}

}  // namespace edge_proxy::config
