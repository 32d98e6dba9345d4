// SPDX-License-Identifier: MIT
#include "proxy/admin/admin_connections.h"

namespace edge_proxy::proxy {
namespace {

constexpr std::string_view kMembers = "/v1/pop-caches/";
constexpr std::string_view kPeers = "/v1/peers/";
constexpr std::string_view kVoters = "/v1/policy/voters/";

}  // namespace

AdminCall read_admin_call(const codec::HttpCall& call) {
  const auto word = [&call](std::string_view method, AdminOperation meant) {
    return call.method == method ? meant : AdminOperation::wrong_method;
  };
  const std::string_view path = call.path;
  if (path == "/v1/readyz") return {word("GET", AdminOperation::ready), {}, {}};
  if (path == "/v1/metrics") return {word("GET", AdminOperation::metrics), {}, {}};
  if (path == "/v1/policy" && call.method == "PUT") return {AdminOperation::put_policy, {}, call.body};
  if (path == "/v1/policy") return {word("GET", AdminOperation::policy), {}, {}};
  if (path == "/v1/policy/abort") return {word("POST", AdminOperation::abort_policy), {}, {}};
  if (path == "/v1/peers") return {word("GET", AdminOperation::peers), {}, {}};
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
    if (cache->second == "suspend") return {word("POST", AdminOperation::suspend), cache->first, {}};
    if (cache->second == "resume") return {word("POST", AdminOperation::resume), cache->first, {}};
  }
  if (const auto peer = named(kPeers); peer && peer->second == "forget")
    return {word("POST", AdminOperation::forget), peer->first, {}};
  if (const auto voter = named(kVoters); voter && voter->second == "add")
    return {word("POST", AdminOperation::add_voter), voter->first, {}};
  if (const auto voter = named(kVoters); voter && voter->second == "remove")
    return {word("POST", AdminOperation::remove_voter), voter->first, {}};
  return {};
}

void Admin::on_accepted(ConnectionId connection) {
  ++context_.open_connections;
  // Guards the descriptors against callers that connect and say nothing: the oldest makes room for a new one.
  if (connections_.size() >= static_cast<std::size_t>(context_.limits.admin_connections)) {
    auto oldest = connections_.begin();  // ids rise with time
    for (auto link = connections_.begin(); link != connections_.end(); ++link) {
      if (!link->second.answered_at) {
        oldest = link;
        break;
      }
    }
    end(oldest->first, CloseReason::too_many, true);
  }
  connections_[connection].opened_at = context_.now;
}

std::optional<AdminCall> Admin::on_bytes(ConnectionId connection, std::string_view on_bytes) {
  AdminConnection& link = connections_.at(connection);
  link.reader.feed(on_bytes);
  if (const auto call = link.reader.next()) return read_admin_call(*call);
  if (link.reader.is_broken() && !link.answered_at) reply(connection, 400, "unreadable\n");
  return std::nullopt;
}

void Admin::reply(ConnectionId connection, int status, std::string_view body) {
  AdminConnection& link = connections_.at(connection);
  ++link.call_count;
  link.answered_at = context_.now;
  context_.write(connection, codec::write_http_response(status, body));
  context_.shutdown_write(connection);
}

void Admin::end(ConnectionId connection, CloseReason reason, bool close_it) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  context_.log_closed({"admin", connection, found->second.opened_at, found->second.call_count, {}}, reason,
                      close_it);
  connections_.erase(found);
}

void Admin::sweep() {
  std::vector<std::pair<ConnectionId, CloseReason>> due;
  for (const auto& [id, link] : connections_) {
    if (link.answered_at && context_.now - *link.answered_at >= kDrainTimeout) {
      due.emplace_back(id, CloseReason::idle);
    } else if (!link.answered_at && context_.now - link.opened_at >= kAdminCallTimeout) {
      due.emplace_back(id, CloseReason::no_message);
    }
  }
  for (const auto& [id, reason] : due) end(id, reason, true);
}

void Admin::stop() {
  while (!connections_.empty()) end(connections_.begin()->first, CloseReason::stopping, true);
}

}  // namespace edge_proxy::proxy
