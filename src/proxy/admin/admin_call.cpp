// SPDX-License-Identifier: MIT
#include "proxy/admin/admin_call.h"

#include <array>
#include <optional>
#include <string_view>

namespace edge_proxy::proxy {
namespace {

/// Matches the name of an endpoint, member or voter in a path; the name may contain slashes.
constexpr char kTargetPlaceholder = '*';

/// The method and path of an admin operation.
struct AdminRoute {
  std::string_view method;
  std::string_view path;
  AdminOperation operation;
};

constexpr std::array<AdminRoute, 11> kAdminRoutes{{
    {"GET", "/v1/readyz", AdminOperation::ready},
    {"GET", "/v1/metrics", AdminOperation::metrics},
    {"POST", "/v1/pop-caches/*/suspend", AdminOperation::suspend},
    {"POST", "/v1/pop-caches/*/resume", AdminOperation::resume},
    {"GET", "/v1/peers", AdminOperation::peers},
    {"POST", "/v1/peers/*/forget", AdminOperation::forget},
    {"GET", "/v1/policy", AdminOperation::policy},
    {"PUT", "/v1/policy", AdminOperation::put_policy},
    {"POST", "/v1/policy/abort", AdminOperation::abort_policy},
    {"POST", "/v1/policy/voters/*/add", AdminOperation::add_voter},
    {"POST", "/v1/policy/voters/*/remove", AdminOperation::remove_voter},
}};

/// Returns the part of the path that matches the placeholder of the pattern; empty if the pattern has none,
/// and nullopt if the path does not match.
std::optional<std::string_view> match_path(std::string_view path, std::string_view pattern) {
  const std::size_t placeholder = pattern.find(kTargetPlaceholder);
  if (placeholder == std::string_view::npos) {
    return path == pattern ? std::optional(std::string_view()) : std::nullopt;
  }
  const std::string_view prefix = pattern.substr(0, placeholder);
  const std::string_view suffix = pattern.substr(placeholder + 1);
  if (!path.starts_with(prefix) || !path.ends_with(suffix)) return std::nullopt;
  if (path.size() <= prefix.size() + suffix.size()) return std::nullopt;
  return path.substr(prefix.size(), path.size() - prefix.size() - suffix.size());
}

}  // namespace

AdminCall read_admin_call(const codec::HttpCall& call) {
  AdminCall admin_call;
  for (const AdminRoute& route : kAdminRoutes) {
    const auto target = match_path(call.path, route.path);
    if (!target) continue;
    admin_call.target = *target;
    admin_call.operation = call.method == route.method ? route.operation : AdminOperation::wrong_method;
    if (admin_call.operation != AdminOperation::wrong_method) break;
  }
  if (admin_call.operation == AdminOperation::put_policy) admin_call.body = call.body;
  return admin_call;
}

}  // namespace edge_proxy::proxy
