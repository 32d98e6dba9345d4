// SPDX-License-Identifier: MIT
/// @file
/// The section `policy` of the configuration: consensus of the edge proxies on one policy. Without it each
/// proxy decides by its settings alone.
#pragma once

#include <string>

#include "config/fields.h"
#include "consensus/settings.h"

namespace edge_proxy::config {

/// What the section says, and what is derived from it.
struct PolicyConfig {
  consensus::Settings settings;
  std::string folder;  ///< on a disk of this proxy alone; required
  bool trace = false;  ///< a log line for each decision
  bool operator==(const PolicyConfig& other) const {
    return settings.voters == other.settings.voters && settings.lease == other.settings.lease &&
           settings.serve_when_partitioned == other.settings.serve_when_partitioned &&
           folder == other.folder && trace == other.trace;
  }
};

/// Reads and checks the section of the proxy called `name`. Throws FieldError, which carries the key.
[[nodiscard]] PolicyConfig read_policy_config(const Fields& section, const std::string& name);

}  // namespace edge_proxy::config
