// SPDX-License-Identifier: MIT
#include "proxy/admin/admin_handler.h"

namespace edge_proxy::proxy {

codec::EndpointUpdate AdminHandler::execute(const AdminCall& call, Time now) {
  if (call.operation != AdminOperation::suspend && call.operation != AdminOperation::resume) return {};
  const bool out = call.operation == AdminOperation::suspend;
  const auto changed = out ? dependencies_.endpoints.suspend(call.target, now)
                           : dependencies_.endpoints.resume(call.target, now);
  target_known_ = changed.has_value();
  if (!changed) return {};
  dependencies_.context.log(std::string(out ? "suspended" : "resumed") + " member=" + call.target);
  // A process started later knows.
  dependencies_.context.effects.emplace_back(
      PersistOverrides{dependencies_.endpoints.serialized_overrides()});
  return *changed;
}

void AdminHandler::reply(ConnectionId connection, const AdminCall& call, bool ready) {
  Admin& admin = dependencies_.admin;
  switch (call.operation) {
    case AdminOperation::ready:
      admin.reply(connection, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
      break;
    case AdminOperation::metrics:
      admin.reply(connection, 200, metrics());
      break;
    case AdminOperation::suspend:
    case AdminOperation::resume:
      admin.reply(connection, target_known_ ? 200 : 404, target_known_ ? "done\n" : "no such member\n");
      break;
    case AdminOperation::peers: {
      const auto report = dependencies_.membership.report();
      admin.reply(connection, report ? 200 : 404, report ? *report : "no peers\n");
      break;
    }
    case AdminOperation::forget: {
      const MembershipAdapter::ForgetResult forgot = dependencies_.membership.forget(call.target);
      admin.reply(connection,
                  forgot == MembershipAdapter::ForgetResult::forgotten ? 200
                  : forgot == MembershipAdapter::ForgetResult::unknown ? 404
                                                                       : 409,
                  forgot == MembershipAdapter::ForgetResult::forgotten ? "done\n"
                  : forgot == MembershipAdapter::ForgetResult::unknown ? "no such member\n"
                                                                       : "it is not dead: stop it first\n");
      break;
    }
    case AdminOperation::policy: {
      const auto report = dependencies_.policy.report();
      admin.reply(connection, report ? 200 : 404, report ? *report : "no policy is configured\n");
      break;
    }
    // Answered once it is known what became of it.
    case AdminOperation::put_policy:
      dependencies_.policy.propose(connection, call.body);
      break;
    case AdminOperation::abort_policy:
      dependencies_.policy.abort(connection);
      break;
    case AdminOperation::add_voter:
    case AdminOperation::remove_voter:
      dependencies_.policy.change_voter(connection, call.target, call.operation == AdminOperation::add_voter);
      break;
    case AdminOperation::unknown:
      admin.reply(connection, 404, "no such call\n");
      break;
    case AdminOperation::wrong_method:
      admin.reply(connection, 405, "not that way\n");
      break;
  }
}

std::string AdminHandler::metrics() const {
  std::string text;
  const auto& counted = dependencies_.pending_requests.answer_counts();
  const auto tell_of = [&text](const std::string& name, std::size_t value, const char* kind) {
    text.append("svc.").append(name).append(":").append(std::to_string(value)).append(kind).append("\n");
  };
  std::uint64_t written = 0;
  for (std::size_t c = 0; c < counted.size(); ++c) {
    const std::string calls = "calls." + dependencies_.pending_requests.class_name(c) + ".";
    tell_of(calls + "success", counted[c].served, "|c");
    tell_of(calls + "busy", counted[c].rejected, "|c");
    tell_of(calls + "failure", counted[c].failed, "|c");
    written += dependencies_.upstream.written_by_class()[c];
  }
  tell_of("backend_calls", written, "|c");
  tell_of("inflight", dependencies_.pending_requests.open_count(), "|g");
  tell_of("hosts_listed", dependencies_.upstream.endpoint_count(), "|g");
  tell_of("hosts_down", dependencies_.upstream.not_running_count() + dependencies_.router.stats().ejected,
          "|g");
  return text + dependencies_.membership.metrics() + dependencies_.policy.metrics();
}

}  // namespace edge_proxy::proxy
