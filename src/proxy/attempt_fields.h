// SPDX-License-Identifier: MIT
/// @file
/// The fields of a command to a cache that are known when the router decides on the attempt.
#pragma once

#include "codec/cache_lines.h"
#include "edge_proxy/router.h"
#include "proxy/client/pending_requests.h"

namespace edge_proxy::proxy {

/// Adds the fields that describe the request and the way in which the router wants it served.
void add_attempt_fields(codec::FieldList& fields, const PendingRequest& pending, const Attempt& attempt);

}  // namespace edge_proxy::proxy
