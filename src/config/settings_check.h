// SPDX-License-Identifier: MIT
/// @file
/// Validates settings: the range of each value and the consistency of all values.
#pragma once

#include "config/fields.h"

namespace edge_proxy::config {

/// Throws FieldError, which carries the invalid key, if settings contradict each other or a value is out of
/// range. `fields` is the object that `settings` was read from; it supplies the keys.
void check_settings(const Fields& fields, const Settings& settings);

}  // namespace edge_proxy::config
