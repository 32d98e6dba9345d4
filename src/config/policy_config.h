// SPDX-License-Identifier: MIT
/// @file
/// The section `policy` of the configuration: consensus of the edge proxies on one policy. Without it, each
/// proxy applies only its own settings.
#pragma once

#include <string>

#include "config/fields.h"
#include "consensus/settings.h"

namespace edge_proxy::config {

/// Values of the section, and values derived from them.
struct PolicyConfig {
  consensus::Settings settings;
  std::string folder;  ///< must be on a disk that only this proxy uses; required
  bool trace = false;  ///< true: writes a log line for each decision
  bool operator==(const PolicyConfig& other) const {
    return settings.voters == other.settings.voters && settings.lease == other.settings.lease &&
           settings.serve_when_partitioned == other.settings.serve_when_partitioned &&
           folder == other.folder && trace == other.trace;
  }
};

/// Reads and validates the section for the proxy called `name`. Throws FieldError, which carries the invalid
/// key.
[[nodiscard]] PolicyConfig read_policy_config(const Fields& section, const std::string& name);

}  // namespace edge_proxy::config
