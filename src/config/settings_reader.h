// SPDX-License-Identifier: MIT
/// @file
/// The settings object, which is the same JSON on the simulator's wire and in an edge proxy's configuration.
#pragma once

#include "config/fields.h"

namespace edge_proxy {

/// Throws FieldError where a field is missing or cannot be used.
Settings read_settings(const Fields& env);

}  // namespace edge_proxy
