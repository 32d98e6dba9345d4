// SPDX-License-Identifier: MIT
#include "edge/admin.h"

namespace dahliahall::edge {
namespace {

constexpr std::string_view kMembers = "/v1/pop-caches/";
constexpr std::string_view kPeers = "/v1/peers/";
constexpr std::string_view kVoters = "/v1/policy/voters/";

}  // namespace

AdminCall read_admin_call(const codec::HttpCall& call) {
  const auto word = [&call](std::string_view method, AdminWord meant) {
    return call.method == method ? meant : AdminWord::wrong_method;
  };
  const std::string_view path = call.path;
  if (path == "/v1/readyz") return {word("GET", AdminWord::ready), {}, {}};
  if (path == "/v1/metrics") return {word("GET", AdminWord::metrics), {}, {}};
  if (path == "/v1/policy" && call.method == "PUT") return {AdminWord::put_policy, {}, call.body};
  if (path == "/v1/policy") return {word("GET", AdminWord::policy), {}, {}};
  if (path == "/v1/policy/abort") return {word("POST", AdminWord::abort_policy), {}, {}};
  if (path == "/v1/peers") return {word("GET", AdminWord::peers), {}, {}};
  // A member's name and what is done to it, where the path begins with `front`.
  const auto named =
      [&path](std::string_view front) -> std::optional<std::pair<std::string, std::string_view>> {
    if (!path.starts_with(front)) return std::nullopt;
    const std::string_view rest = path.substr(front.size());
    const std::size_t slash = rest.rfind('/');
    if (slash == std::string_view::npos || slash == 0) return std::nullopt;
    return std::pair{std::string(rest.substr(0, slash)), rest.substr(slash + 1)};
  };
  if (const auto cache = named(kMembers)) {
    if (cache->second == "suspend") return {word("POST", AdminWord::suspend), cache->first, {}};
    if (cache->second == "resume") return {word("POST", AdminWord::resume), cache->first, {}};
  }
  if (const auto peer = named(kPeers); peer && peer->second == "forget")
    return {word("POST", AdminWord::forget), peer->first, {}};
  if (const auto voter = named(kVoters); voter && voter->second == "add")
    return {word("POST", AdminWord::add_voter), voter->first, {}};
  if (const auto voter = named(kVoters); voter && voter->second == "remove")
    return {word("POST", AdminWord::remove_voter), voter->first, {}};
  return {};
}

void Admin::accepted(ConnectionId connection) {
  ++context_.sockets;
  // Guards the descriptors against callers that connect and say nothing: the oldest makes room for a new one.
  if (links_.size() >= static_cast<std::size_t>(context_.bounds.operators)) {
    auto oldest = links_.begin();  // ids rise with time
    for (auto link = links_.begin(); link != links_.end(); ++link) {
      if (!link->second.answered) {
        oldest = link;
        break;
      }
    }
    end(oldest->first, CloseReason::too_many, true);
  }
  links_[connection].opened = context_.now;
}

std::optional<AdminCall> Admin::bytes(ConnectionId connection, std::string_view bytes) {
  Link& link = links_.at(connection);
  link.reader.feed(bytes);
  if (const auto call = link.reader.next()) return read_admin_call(*call);
  if (link.reader.broken() && !link.answered) answer(connection, 400, "unreadable\n");
  return std::nullopt;
}

void Admin::answer(ConnectionId connection, int status, std::string_view body) {
  Link& link = links_.at(connection);
  ++link.calls;
  link.answered = context_.now;
  context_.write(connection, codec::write_http_answer(status, body));
  context_.finish(connection);
}

void Admin::end(ConnectionId connection, CloseReason reason, bool close_it) {
  const auto found = links_.find(connection);
  if (found == links_.end()) return;
  context_.ended({"admin", connection, found->second.opened, found->second.calls, {}}, reason, close_it);
  links_.erase(found);
}

void Admin::sweep() {
  std::vector<std::pair<ConnectionId, CloseReason>> due;
  for (const auto& [id, link] : links_) {
    if (link.answered && context_.now - *link.answered >= kLeaveWithin) {
      due.emplace_back(id, CloseReason::idle);
    } else if (!link.answered && context_.now - link.opened >= kAdminCallWithin) {
      due.emplace_back(id, CloseReason::no_message);
    }
  }
  for (const auto& [id, reason] : due) end(id, reason, true);
}

void Admin::stop() {
  while (!links_.empty()) end(links_.begin()->first, CloseReason::stopping, true);
}

}  // namespace dahliahall::edge
