// SPDX-License-Identifier: MIT
/// @file
/// Spans in proportion.
#pragma once

#include "peers/types.h"

namespace dahliahall::peers {

inline Time scaled(Time span, double factor) {
  return Time{static_cast<Time::rep>(static_cast<double>(span.count()) * factor)};
}

}  // namespace dahliahall::peers
