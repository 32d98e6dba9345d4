// SPDX-License-Identifier: MIT
/// @file
/// The simulator's wire: JSON lines to events, actions to JSON lines. No decision is made here.
#pragma once

#include <iosfwd>

#include "config/fields.h"

namespace edge_proxy::simulator {

/// What is wrong with an input line; the text names the line and the field.
using WireError = FieldError;

/// Reads batches from `in` and answers them on `out` until the input ends; one Router per instance.
/// Throws WireError where the input is malformed.
void serve(std::istream& in, std::ostream& out);

}  // namespace edge_proxy::simulator
