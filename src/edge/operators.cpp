// SPDX-License-Identifier: MIT
#include "edge/operators.h"

namespace dahliahall::edge {

codec::Roster Operators::act(const AdminCall& call, Time now) {
  if (call.word != AdminWord::suspend && call.word != AdminWord::resume) return {};
  const bool out = call.word == AdminWord::suspend;
  const auto changed =
      out ? parts_.membership.suspend(call.member, now) : parts_.membership.resume(call.member, now);
  known_ = changed.has_value();
  if (!changed) return {};
  parts_.context.log(std::string(out ? "suspended" : "resumed") + " member=" + call.member);
  // A process started later knows.
  parts_.context.effects.emplace_back(Keep{parts_.membership.kept()});
  return *changed;
}

void Operators::answer(ConnectionId connection, const AdminCall& call, bool ready) {
  Admin& admin = parts_.admin;
  switch (call.word) {
    case AdminWord::ready:
      admin.answer(connection, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
      break;
    case AdminWord::metrics:
      admin.answer(connection, 200, metrics());
      break;
    case AdminWord::suspend:
    case AdminWord::resume:
      admin.answer(connection, known_ ? 200 : 404, known_ ? "done\n" : "no such member\n");
      break;
    case AdminWord::peers: {
      const auto report = parts_.peering.report();
      admin.answer(connection, report ? 200 : 404, report ? *report : "no peers\n");
      break;
    }
    case AdminWord::forget: {
      const Peering::Forgot forgot = parts_.peering.forget(call.member);
      admin.answer(connection,
                   forgot == Peering::Forgot::done      ? 200
                   : forgot == Peering::Forgot::unknown ? 404
                                                        : 409,
                   forgot == Peering::Forgot::done      ? "done\n"
                   : forgot == Peering::Forgot::unknown ? "no such member\n"
                                                        : "it is not dead: stop it first\n");
      break;
    }
    case AdminWord::policy: {
      const auto report = parts_.agreeing.report();
      admin.answer(connection, report ? 200 : 404, report ? *report : "no policy is configured\n");
      break;
    }
    // Answered once it is known what became of it.
    case AdminWord::put_policy:
      parts_.agreeing.put(connection, call.body);
      break;
    case AdminWord::abort_policy:
      parts_.agreeing.abort(connection);
      break;
    case AdminWord::add_voter:
    case AdminWord::remove_voter:
      parts_.agreeing.voter(connection, call.member, call.word == AdminWord::add_voter);
      break;
    case AdminWord::unknown:
      admin.answer(connection, 404, "no such call\n");
      break;
    case AdminWord::wrong_method:
      admin.answer(connection, 405, "not that way\n");
      break;
  }
}

std::string Operators::metrics() const {
  std::string text;
  const auto& counted = parts_.requests.counted();
  const auto tell_of = [&text](const std::string& name, std::size_t value, const char* kind) {
    text.append("svc.").append(name).append(":").append(std::to_string(value)).append(kind).append("\n");
  };
  std::uint64_t written = 0;
  for (std::size_t c = 0; c < counted.size(); ++c) {
    const std::string calls = "calls." + parts_.requests.class_name(c) + ".";
    tell_of(calls + "success", counted[c].served, "|c");
    tell_of(calls + "busy", counted[c].refused, "|c");
    tell_of(calls + "failure", counted[c].failed, "|c");
    written += parts_.pool.written()[c];
  }
  tell_of("backend_calls", written, "|c");
  tell_of("inflight", parts_.requests.open(), "|g");
  tell_of("hosts_listed", parts_.pool.members(), "|g");
  tell_of("hosts_down", parts_.pool.not_running() + parts_.router.stats().ejected, "|g");
  return text + parts_.peering.figures() + parts_.agreeing.figures();
}

}  // namespace dahliahall::edge
