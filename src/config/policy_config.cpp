// SPDX-License-Identifier: MIT
#include "config/policy_config.h"

#include <algorithm>
#include <set>

#include "membership/codec.h"

namespace edge_proxy::config {
namespace {

constexpr std::array<std::string_view, 2> kCutOff{"refuse", "serve"};
constexpr Time kLeastLease = std::chrono::seconds(1);
constexpr Time kMostLease = std::chrono::minutes(5);

}  // namespace

PolicyConfig read_policy_config(const Fields& section, const std::string& name) {
  PolicyConfig policy;
  consensus::Settings& s = policy.settings;
  s.name = name;
  const Json& voters = section.need("voters");
  if (!voters.IsArray()) section.fail("voters", "should be a list");
  for (const auto& voter : voters.GetArray()) {
    if (!voter.IsString() || !membership::is_valid_name({voter.GetString(), voter.GetStringLength()}))
      section.fail("voters", "should hold names of edge proxies");
    s.voters.emplace_back(voter.GetString(), voter.GetStringLength());
  }
  const std::set<std::string> unlike(s.voters.begin(), s.voters.end());
  if (unlike.size() != s.voters.size() || (unlike.size() != 3 && unlike.size() != 5 && unlike.size() != 7))
    section.fail("voters", "should hold 3, 5 or 7 names, each once");
  policy.folder = section.text("folder");
  if (policy.folder.empty()) section.fail("folder", "should name a folder");
  s.lease = section.time("lease", s.lease);
  if (s.lease < kLeastLease || s.lease > kMostLease)
    section.fail("lease", "should be 1000000 to 300000000 microseconds");
  s.renew_interval = s.lease / 4;
  s.serve_when_partitioned = section.find("cut_off") != nullptr && section.word("cut_off", kCutOff) == 1;
  policy.trace = section.boolean("trace", false);
  return policy;
}

}  // namespace edge_proxy::config
