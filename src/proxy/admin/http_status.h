// SPDX-License-Identifier: MIT
/// @file
/// The HTTP status codes of the admin interface.
#pragma once

namespace edge_proxy::proxy {

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpMethodNotAllowed = 405;
constexpr int kHttpConflict = 409;
constexpr int kHttpServiceUnavailable = 503;

}  // namespace edge_proxy::proxy
