// SPDX-License-Identifier: MIT
/// @file
/// Spans in proportion.
#pragma once

#include "membership/types.h"

namespace edge_proxy::membership {

inline Time scaled(Time span, double factor) {
  return Time{static_cast<Time::rep>(static_cast<double>(span.count()) * factor)};
}

}  // namespace edge_proxy::membership
