// SPDX-License-Identifier: MIT
/// @file
/// The section `policy` of the configuration: agreement on what all edge proxies decide by. Without it there
/// is none.
#pragma once

#include <string>

#include "config/fields.h"
#include "consensus/settings.h"

namespace edge_proxy::config {

struct PolicyConfig {
  consensus::Settings settings;
  std::string folder;  ///< on the disk of this proxy alone; there has to be one
  bool trace = false;  ///< a log line for each decision
  bool operator==(const PolicyConfig& other) const {
    return settings.voters == other.settings.voters && settings.lease == other.settings.lease &&
           settings.serve_when_partitioned == other.settings.serve_when_partitioned &&
           folder == other.folder && trace == other.trace;
  }
};

/// Reads and checks the section. Throws FieldError, which names the key.
PolicyConfig read_policy_config(const Fields& section, const std::string& name);

}  // namespace edge_proxy::config
