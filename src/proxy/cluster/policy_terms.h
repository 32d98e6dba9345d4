// SPDX-License-Identifier: MIT
/// @file
/// The terms of a policy: those settings that a running proxy takes over together (docs/consensus.md, "The
/// policy").
#pragma once

#include <cstddef>
#include <set>
#include <string>

#include "edge_proxy/router.h"

namespace edge_proxy::proxy {

struct PolicyTerms {
  Settings settings;  ///< those of the start, with what the policy sets in their place
  std::set<std::size_t> refused_classes;
  std::set<std::string> suspended_endpoints;  ///< by the whole cluster
};

/// Throws FieldError, which names the key, where this proxy could not apply the policy. An empty text sets
/// nothing.
PolicyTerms read_policy_terms(const std::string& text, const Settings& startup_settings);

}  // namespace edge_proxy::proxy
