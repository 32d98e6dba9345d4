// SPDX-License-Identifier: MIT
/// @file
/// The calls that operators can make at the admin address, and how each is read from its HTTP request.
#pragma once

#include <string>

#include "codec/http_call.h"

namespace edge_proxy::proxy {

/// What operators can ask for.
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
  unknown,      ///< no call has this path
  wrong_method  ///< the path is known, but not with this method
};

struct AdminCall {
  AdminOperation operation = AdminOperation::unknown;
  std::string target;  ///< the endpoint, member or voter that the path names
  std::string body;    ///< of put_policy
};

/// Finds the call in the table of admin calls.
[[nodiscard]] AdminCall read_admin_call(const codec::HttpCall& call);

}  // namespace edge_proxy::proxy
