// SPDX-License-Identifier: MIT
/// @file
/// The fields of an attempt's command to a cache that are known when the attempt is decided.
#pragma once

#include "codec/cache_lines.h"
#include "edge_proxy/router.h"
#include "proxy/client/pending_requests.h"

namespace edge_proxy::proxy {

/// Adds the fields of the request itself and of how the router wants it served.
void add_attempt_fields(codec::FieldList& fields, const PendingRequest& pending, const Attempt& attempt);

}  // namespace edge_proxy::proxy
