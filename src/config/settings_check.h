// SPDX-License-Identifier: MIT
/// @file
/// What settings can't mean, one by one and together.
#pragma once

#include "fields.h"

namespace dahliahall::config {

/// Throws FieldError, whose text names the key, where settings that can be read contradict each other or hold
/// a figure that means nothing: `fields` is the object that `settings` was read from.
void check_settings(const Fields& fields, const Settings& settings);

}  // namespace dahliahall::config
