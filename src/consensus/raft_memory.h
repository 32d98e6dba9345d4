// SPDX-License-Identifier: MIT
/// @file
/// Ownership of memory and configurations that libraft allocates or frees with its own allocator, and the
/// addresses of the servers in its configuration.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "consensus.pb.h"

extern "C" {
#include <raft.h>
}

namespace edge_proxy::consensus {

struct RaftDeleter {
  void operator()(void* memory) const { raft_free(memory); }
};
/// Memory of libraft's allocator; release() passes the ownership to libraft.
template <typename T>
using RaftPtr = std::unique_ptr<T, RaftDeleter>;

/// Allocates `count` zeroed values. Null if there is not enough memory.
template <typename T>
[[nodiscard]] RaftPtr<T> allocate_zeroed(std::size_t count) {
  return RaftPtr<T>(static_cast<T*>(raft_calloc(count, sizeof(T))));
}

/// Returns a copy that libraft frees; if libraft does not take the buffer, the caller frees it with
/// raft_free(). `base` is null if there is not enough memory.
[[nodiscard]] raft_buffer make_buffer(const std::string& bytes);
[[nodiscard]] std::string to_string(const raft_buffer& buffer);

/// The address of a server in the configuration: its name and id. The id keeps the addresses of two servers
/// with the same name distinct while one replaces the other.
[[nodiscard]] std::string server_address(const std::string& name, std::uint64_t id);
[[nodiscard]] std::string name_in_address(const std::string& address);

/// Names of the voters and their server ids.
[[nodiscard]] std::map<std::string, std::uint64_t> voters_of(const raft_configuration& configuration);

/// A list of servers with ownership of its memory.
class RaftConfiguration {
 public:
  using Servers = google::protobuf::RepeatedPtrField<pb::Server>;

  RaftConfiguration() { raft_configuration_init(&configuration_); }
  ~RaftConfiguration() { raft_configuration_close(&configuration_); }
  RaftConfiguration(RaftConfiguration&& other) noexcept : configuration_(other.release()) {}
  RaftConfiguration(const RaftConfiguration&) = delete;
  RaftConfiguration& operator=(const RaftConfiguration&) = delete;

  /// Returns none if two servers have the same id or address, or if a role is unknown.
  [[nodiscard]] static std::optional<RaftConfiguration> from_servers(const Servers& servers);
  static void write_servers(const raft_configuration& from, Servers& servers);

  [[nodiscard]] const raft_configuration& get() const { return configuration_; }
  /// Passes the ownership to a configuration that libraft closes.
  [[nodiscard]] raft_configuration release();

 private:
  raft_configuration configuration_{};
};

}  // namespace edge_proxy::consensus
