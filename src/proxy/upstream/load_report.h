// SPDX-License-Identifier: MIT
/// @file
/// Reads the load report that an endpoint sends with the answer to a health check.
#pragma once

#include <string_view>

#include "edge_proxy/router.h"

namespace edge_proxy::proxy {

/// `name:value;name:value`. Items that are unknown or can't be read are passed over, and keep the default.
[[nodiscard]] LoadReport read_load_report(std::string_view text);

}  // namespace edge_proxy::proxy
