// SPDX-License-Identifier: MIT
/// @file
/// The connections at the second address, where operators call: one call each.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "codec/http_call.h"
#include "proxy/context.h"

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
  unknown,
  wrong_method
};
struct AdminCall {
  AdminOperation operation = AdminOperation::unknown;
  std::string target;  ///< of suspend, resume, forget and the words on voters
  std::string body;    ///< of put_policy
};
AdminCall read_admin_call(const codec::HttpCall& call);

class Admin {
 public:
  explicit Admin(Context& context) : context_(context) {}

  void on_accepted(ConnectionId connection);
  [[nodiscard]] bool owns(ConnectionId connection) const { return connections_.count(connection) != 0; }
  /// The call, once it is whole. One that can't be read is answered here.
  std::optional<AdminCall> on_bytes(ConnectionId connection, std::string_view on_bytes);
  /// The answer; the connection ends once the other side has read it.
  void reply(ConnectionId connection, int status, std::string_view body);
  void end(ConnectionId connection, CloseReason reason, bool close_it);
  /// Ends connections that have stayed for too long.
  void sweep();
  void stop();

 private:
  struct AdminConnection {
    Time opened_at{0};
    std::uint64_t call_count = 0;
    std::optional<Time> answered_at;
    codec::HttpCallReader reader;
  };

  Context& context_;
  std::map<ConnectionId, AdminConnection> connections_;
};

}  // namespace edge_proxy::proxy
