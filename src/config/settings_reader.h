// SPDX-License-Identifier: MIT
/// @file
/// Reads the settings object, which is the same JSON in the simulator's messages and in an edge proxy's
/// configuration.
#pragma once

#include "config/fields.h"

namespace edge_proxy {

/// Reads the settings out of the object `fields`; an absent optional field keeps its default.
/// Throws FieldError where a field is missing or can't be read; contradictions are not looked for.
[[nodiscard]] Settings read_settings(const Fields& fields);

}  // namespace edge_proxy
