// SPDX-License-Identifier: MIT
/// @file
/// What settings can't mean, one by one and together.
#pragma once

#include "config/fields.h"

namespace edge_proxy::config {

/// Throws FieldError, whose text names the key, where settings that can be read contradict each other or hold
/// a figure that means nothing: `fields` is the object that `settings` was read from.
void check_settings(const Fields& fields, const Settings& settings);

}  // namespace edge_proxy::config
