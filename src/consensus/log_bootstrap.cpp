// SPDX-License-Identifier: MIT
#include "consensus/log_bootstrap.h"

#include <algorithm>
#include <utility>

#include "consensus/codec.h"

namespace edge_proxy::consensus {
namespace {

constexpr Time kRequestInterval{300'000};

}  // namespace

LogBootstrap::LogBootstrap(RaftContext& context, std::vector<std::string> initial_voters)
    : context_(context), initial_voters_(std::move(initial_voters)) {}

bool LogBootstrap::is_initial_voter(const std::string& name) const {
  return std::find(initial_voters_.begin(), initial_voters_.end(), name) != initial_voters_.end();
}

LogBootstrap::Servers LogBootstrap::poll() {
  if (context_.now < next_request_ || !is_initial_voter(context_.name)) return {};
  next_request_ = context_.now + kRequestInterval;
  send_requests();
  set_without_log(context_.name, context_.server_id);
  return without_log_.size() < initial_voters_.size() ? Servers() : initial_servers();
}

void LogBootstrap::send_requests() {
  pb::BootstrapMessage request;
  request.set_is_request(true);
  request.set_id(context_.server_id);
  for (const std::string& name : initial_voters_) {
    if (name != context_.name) context_.output->messages.push_back({name, encode(request, context_.lease)});
  }
}

LogBootstrap::Servers LogBootstrap::initial_servers() const {
  Servers servers;
  for (const auto& [name, id] : without_log_) {
    pb::Server& server = *servers.Add();
    server.set_id(id);
    server.set_address(server_address(name, id));
    server.set_role(RAFT_VOTER);
  }
  return servers;
}

}  // namespace edge_proxy::consensus
