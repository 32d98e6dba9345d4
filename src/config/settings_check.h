// SPDX-License-Identifier: MIT
/// @file
/// Checks that settings make sense, one by one and together.
#pragma once

#include "config/fields.h"

namespace edge_proxy::config {

/// Throws FieldError, which carries the key, where settings contradict each other or a figure is out of its
/// range. `fields` is the object that `settings` was read from; it supplies the keys.
void check_settings(const Fields& fields, const Settings& settings);

}  // namespace edge_proxy::config
