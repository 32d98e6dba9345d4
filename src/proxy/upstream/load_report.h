// SPDX-License-Identifier: MIT
/// @file
/// Reads the load report that an endpoint sends with its response to a health check.
#pragma once

#include <string_view>

#include "edge_proxy/router.h"

namespace edge_proxy::proxy {

/// Reads a report of the form `name:value;name:value`. Unknown and malformed items are ignored; their fields
/// keep the default values.
[[nodiscard]] LoadReport read_load_report(std::string_view text);

}  // namespace edge_proxy::proxy
