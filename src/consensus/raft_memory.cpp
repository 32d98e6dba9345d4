// SPDX-License-Identifier: MIT
#include "consensus/raft_memory.h"

#include <algorithm>
#include <cstring>
#include <span>

namespace edge_proxy::consensus {

raft_buffer make_buffer(const std::string& bytes) {
  raft_buffer buffer{};
  buffer.base = raft_malloc(std::max<std::size_t>(1, bytes.size()));
  buffer.len = bytes.size();
  if (buffer.base != nullptr) std::memcpy(buffer.base, bytes.data(), bytes.size());
  return buffer;
}

std::string to_string(const raft_buffer& buffer) {
  return {static_cast<const char*>(buffer.base), buffer.len};
}

std::string server_address(const std::string& name, std::uint64_t id) {
  return name + "#" + std::to_string(id);
}

std::string name_in_address(const std::string& address) { return address.substr(0, address.rfind('#')); }

std::map<std::string, std::uint64_t> voters_of(const raft_configuration& configuration) {
  std::map<std::string, std::uint64_t> voters;
  for (const raft_server& server : std::span(configuration.servers, configuration.n)) {
    if (server.role == RAFT_VOTER) voters[name_in_address(server.address)] = server.id;
  }
  return voters;
}

std::optional<RaftConfiguration> RaftConfiguration::from_servers(const Servers& servers) {
  RaftConfiguration result;
  for (const pb::Server& server : servers) {
    const int status = raft_configuration_add(&result.configuration_, server.id(), server.address().c_str(),
                                              static_cast<int>(server.role()));
    if (status != 0) return std::nullopt;
  }
  return result;
}

void RaftConfiguration::write_servers(const raft_configuration& from, Servers& servers) {
  for (const raft_server& server : std::span(from.servers, from.n)) {
    pb::Server& written = *servers.Add();
    written.set_id(server.id);
    written.set_address(server.address);
    written.set_role(static_cast<unsigned>(server.role));
  }
}

raft_configuration RaftConfiguration::release() {
  const raft_configuration released = configuration_;
  raft_configuration_init(&configuration_);
  return released;
}

}  // namespace edge_proxy::consensus
