// SPDX-License-Identifier: MIT
/// @file
/// The calls that operators can make at the admin address, and their parsing from HTTP requests.
#pragma once

#include <string>

#include "codec/http_call.h"

namespace edge_proxy::proxy {

/// The operations of the admin interface.
enum class AdminOperation {
  ready,
  metrics,
  suspend,
  resume,
  peers,
  forget,
  policy,
  put_policy,
  abort_policy,
  add_voter,
  remove_voter,
  unknown,      ///< no operation has this path
  wrong_method  ///< the path exists, but not with this method
};

struct AdminCall {
  AdminOperation operation = AdminOperation::unknown;
  std::string target;  ///< name of the endpoint, member or voter in the path
  std::string body;    ///< set for put_policy
};

/// Looks up the operation by path and method.
[[nodiscard]] AdminCall read_admin_call(const codec::HttpCall& call);

}  // namespace edge_proxy::proxy
