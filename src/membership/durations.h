// SPDX-License-Identifier: MIT
/// @file
/// Arithmetic on durations.
#pragma once

#include "membership/types.h"

namespace edge_proxy::membership {

/// `duration` multiplied by `factor`, truncated to whole microseconds.
inline Time scaled(Time duration, double factor) {
  return Time{static_cast<Time::rep>(static_cast<double>(duration.count()) * factor)};
}

}  // namespace edge_proxy::membership
