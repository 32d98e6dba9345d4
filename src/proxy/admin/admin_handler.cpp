// SPDX-License-Identifier: MIT
#include "proxy/admin/admin_handler.h"

#include <utility>
#include <vector>

#include "proxy/admin/metrics.h"

namespace edge_proxy::proxy {
namespace {

void append_metrics(std::vector<Metric>& metrics, std::vector<Metric> added) {
  for (Metric& metric : added) metrics.push_back(std::move(metric));
}

bool changes_override(AdminOperation operation) {
  return operation == AdminOperation::suspend || operation == AdminOperation::resume;
}

}  // namespace

void AdminHandler::execute(ConnectionId connection, const AdminCall& call, bool ready) {
  if (const auto reply = reply_to(call, ready)) {
    dependencies_.admin_connections.reply(connection, reply->status, reply->body);
  } else if (changes_override(call.operation)) {
    change_override(connection, call);
  } else {
    change_policy(connection, call);
  }
}

/// The change takes effect once it is stored, so that the answer holds for all processes of this edge proxy.
void AdminHandler::change_override(ConnectionId connection, const AdminCall& call) {
  const OverrideAction action =
      call.operation == AdminOperation::suspend ? OverrideAction::suspend : OverrideAction::resume;
  Context& context = dependencies_.context;
  context.effects.emplace_back(StoreOverride{connection, {action, call.target, context.now}});
}

void AdminHandler::answer(const OverrideReply& reply) {
  const auto [status, body] = reply_to(reply);
  const std::string& id = reply.change.endpoint;
  if (reply.outcome == OverrideOutcome::stored) {
    const bool is_suspension = reply.change.action == OverrideAction::suspend;
    dependencies_.context.log((is_suspension ? "suspended member=" : "resumed member=") + id);
  } else {
    dependencies_.context.log("override not stored member=" + id + ": " + reply.reason);
  }
  AdminConnections& connections = dependencies_.admin_connections;
  if (connections.owns(reply.call)) connections.reply(reply.call, status, body);
}

AdminHandler::Reply AdminHandler::reply_to(const OverrideReply& reply) {
  switch (reply.outcome) {
    case OverrideOutcome::stored:
      return {kHttpOk, "done\n"};
    case OverrideOutcome::table_full:
      return {kHttpNotFound, "too many are suspended\n"};
    case OverrideOutcome::not_stored:
      break;
  }
  return {kHttpServiceUnavailable, "not stored: " + reply.reason + "\n"};
}

AdminHandler::Reply AdminHandler::report_reply(std::optional<std::string> report,
                                               std::string not_found_body) {
  if (!report) return {kHttpNotFound, std::move(not_found_body)};
  return {kHttpOk, *std::move(report)};
}

std::optional<AdminHandler::Reply> AdminHandler::reply_to(const AdminCall& call, bool ready) {
  switch (call.operation) {
    case AdminOperation::ready:
      return ready ? Reply{kHttpOk, "ready\n"} : Reply{kHttpServiceUnavailable, "not ready\n"};
    case AdminOperation::metrics:
      return Reply{kHttpOk, metrics()};
    case AdminOperation::suspend:
    case AdminOperation::resume:
      if (!dependencies_.endpoints.is_known(call.target)) return Reply{kHttpNotFound, "no such member\n"};
      break;
    case AdminOperation::peers:
      return report_reply(dependencies_.membership.report(), "no peers\n");
    case AdminOperation::forget:
      return forget_member(call.target);
    case AdminOperation::policy:
      return report_reply(dependencies_.policy.report(), "no policy is configured\n");
    case AdminOperation::unknown:
      return Reply{kHttpNotFound, "no such call\n"};
    case AdminOperation::wrong_method:
      return Reply{kHttpMethodNotAllowed, "not that way\n"};
    case AdminOperation::put_policy:
    case AdminOperation::abort_policy:
    case AdminOperation::add_voter:
    case AdminOperation::remove_voter:
      break;
  }
  return std::nullopt;
}

AdminHandler::Reply AdminHandler::forget_member(const std::string& name) {
  using ForgetResult = MembershipAdapter::ForgetResult;
  switch (dependencies_.membership.forget(name)) {
    case ForgetResult::forgotten:
      return {kHttpOk, "done\n"};
    case ForgetResult::unknown:
      return {kHttpNotFound, "no such member\n"};
    case ForgetResult::reachable:
      break;
  }
  return {kHttpConflict, "it is not dead: stop it first\n"};
}

void AdminHandler::change_policy(ConnectionId connection, const AdminCall& call) {
  PolicyController& policy = dependencies_.policy;
  if (call.operation == AdminOperation::put_policy) {
    policy.propose(connection, call.body);
  } else if (call.operation == AdminOperation::abort_policy) {
    policy.abort(connection);
  } else {
    policy.change_voter(connection, call.target, call.operation == AdminOperation::add_voter);
  }
}

std::string AdminHandler::metrics() const {
  std::vector<Metric> metrics =
      collect_request_metrics(dependencies_.pending_requests, dependencies_.upstream, dependencies_.router);
  append_metrics(metrics, dependencies_.membership.metrics());
  append_metrics(metrics, dependencies_.policy.metrics());
  return format_metrics(metrics);
}

}  // namespace edge_proxy::proxy
