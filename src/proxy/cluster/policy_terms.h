// SPDX-License-Identifier: MIT
/// @file
/// The terms of a policy: the settings that a running proxy replaces in one step (docs/consensus.md, "The
/// policy").
#pragma once

#include <cstddef>
#include <set>
#include <string>

#include "edge_proxy/router.h"

namespace edge_proxy::proxy {

struct PolicyTerms {
  Settings settings;                          ///< the startup settings with the changes of the policy
  std::set<std::size_t> refused_classes;      ///< indexes into the settings
  std::set<std::string> suspended_endpoints;  ///< suspended on all proxies of the cluster
};

/// Parses a policy. Throws FieldError, which names the key, if this proxy can't apply the policy. An empty
/// text changes no settings.
PolicyTerms read_policy_terms(const std::string& text, const Settings& startup_settings);

}  // namespace edge_proxy::proxy
