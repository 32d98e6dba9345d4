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

}  // namespace

codec::EndpointUpdate AdminHandler::execute(const AdminCall& call, Time now) {
  const bool is_suspension = call.operation == AdminOperation::suspend;
  if (!is_suspension && call.operation != AdminOperation::resume) return {};
  EndpointDirectory& endpoints = dependencies_.endpoints;
  const auto changed =
      is_suspension ? endpoints.suspend(call.target, now) : endpoints.resume(call.target, now);
  is_target_known_ = changed.has_value();
  if (!changed) return {};
  dependencies_.context.log(std::string(is_suspension ? "suspended" : "resumed") + " member=" + call.target);
  // Processes that start later load the overrides from disk.
  dependencies_.context.effects.emplace_back(PersistOverrides{endpoints.serialized_overrides()});
  return *changed;
}

void AdminHandler::reply(ConnectionId connection, const AdminCall& call, bool ready) {
  if (const auto reply = reply_to(call, ready)) {
    dependencies_.admin_connections.reply(connection, reply->status, reply->body);
  } else {
    change_policy(connection, call);
  }
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
      return is_target_known_ ? Reply{kHttpOk, "done\n"} : Reply{kHttpNotFound, "no such member\n"};
    case AdminOperation::peers:
      return report_reply(dependencies_.membership.report(), "no peers\n");
    case AdminOperation::forget:
      return forget_member(call.target);
    case AdminOperation::policy:
      return report_reply(dependencies_.policy.report(), "no policy is configured\n");
    case AdminOperation::unknown:
      return Reply{kHttpNotFound, "no such call\n"};
    case AdminOperation::wrong_method:
      return Reply{kHttpMethodNotAllowed, "method not allowed\n"};
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
  return {kHttpConflict, "the member is not dead: stop its process first\n"};
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
