// SPDX-License-Identifier: MIT
/// @file
/// Reads the settings object. The simulator's messages and the configuration of an edge proxy use the same
/// JSON for it.
#pragma once

#include "config/fields.h"

namespace edge_proxy {

/// Reads the settings from the object `fields`; an absent optional field gets its default. Throws FieldError
/// if a field is missing or invalid. check_settings() validates ranges and consistency.
[[nodiscard]] Settings read_settings(const Fields& fields);

}  // namespace edge_proxy
