// SPDX-License-Identifier: MIT
#include "consensus/voter_changes.h"

#include <memory>
#include <set>
#include <span>
#include <utility>

namespace edge_proxy::consensus {
namespace {

/// Null if the server is not in the configuration.
const raft_server* find_server(const raft_configuration& configuration, std::uint64_t id) {
  for (const raft_server& server : std::span(configuration.servers, configuration.n)) {
    if (server.id == id) return &server;
  }
  return nullptr;
}

}  // namespace

void VoterChanges::queue_addition(const std::string& name, std::uint64_t id) {
  changes_.push_back({id, server_address(name, id), false, false});
}

void VoterChanges::queue_removal(const std::string& name, std::uint64_t id) {
  changes_.push_back({id, server_address(name, id), true, false});
}

void VoterChanges::advance(RaftNode& node) {
  while (!changes_.empty() && !changes_.front().in_progress) {
    const raft_server* server = find_server(node.configuration(), changes_.front().id);
    if (!is_done(changes_.front(), server)) {
      submit_front(node, server);
      return;
    }
    finish_front(node);
  }
}

bool VoterChanges::is_done(const Change& change, const raft_server* server) {
  if (change.is_removal) return server == nullptr;
  return server != nullptr && server->role == RAFT_VOTER;
}

void VoterChanges::finish_front(const RaftNode& node) {
  const Change change = std::move(changes_.front());
  changes_.pop_front();
  context_.log("policy voter " + std::string(change.is_removal ? "removed" : "added") + " " + change.address);
  VotersChanged changed;
  for (const auto& [name, id] : voters_of(node.configuration())) changed.names.insert(name);
  context_.output->inputs.emplace_back(std::move(changed));
}

void VoterChanges::submit_front(RaftNode& node, const raft_server* server) {
  auto request = std::make_unique<Request>();
  request->request.data = request.get();
  request->changes = this;
  changes_.front().in_progress = true;
  const int status = send_request(node, changes_.front(), server, &request->request);
  if (status == 0) {
    static_cast<void>(request.release());  // on_request_finished deletes it
  } else {
    fail(status);
  }
}

int VoterChanges::send_request(RaftNode& node, const Change& change, const raft_server* server,
                               raft_change* request) {
  if (change.is_removal) return raft_remove(node.handle(), request, change.id, on_request_finished);
  if (server == nullptr)
    return raft_add(node.handle(), request, change.id, change.address.c_str(), on_request_finished);
  return raft_assign(node.handle(), request, change.id, RAFT_VOTER, on_request_finished);
}

void VoterChanges::on_request_finished(raft_change* request, int status) {
  const std::unique_ptr<Request> finished(static_cast<Request*>(request->data));
  VoterChanges& self = *finished->changes;
  if (self.changes_.empty()) return;
  self.changes_.front().in_progress = false;
  if (status != 0) self.fail(status);
}

void VoterChanges::fail(int status) {
  context_.log("policy voter change failed: " + changes_.front().address + ": " + raft_strerror(status));
  changes_.clear();
}

}  // namespace edge_proxy::consensus
