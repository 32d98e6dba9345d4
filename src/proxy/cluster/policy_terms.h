// SPDX-License-Identifier: MIT
/// @file
/// What a policy says: those settings that a running proxy takes over whole (docs/consensus.md, "The
/// policy").
#pragma once

#include <set>
#include <string>

#include "edge_proxy/router.h"

namespace edge_proxy::proxy {

struct PolicyTerms {
  Settings settings;  ///< those of the start, with what the policy says in their place
  std::set<std::size_t> refused_classes;
  std::set<std::string> suspended_endpoints;  ///< caches out for the whole fleet
};

/// Throws FieldError, which names the key, where this proxy could not run it. An empty text says nothing.
PolicyTerms read_policy_terms(const std::string& text, const Settings& start);

}  // namespace edge_proxy::proxy
