// SPDX-License-Identifier: MIT
// The snapshot functions of RaftNode: taking and restoring snapshots of the state machine, and storing and
// loading them on the disk.
#include <span>
#include <string>

#include "consensus/codec.h"
#include "consensus/raft_node.h"

namespace edge_proxy::consensus {
namespace {

struct SnapshotDeleter {
  void operator()(raft_snapshot* snapshot) const {
    raft_configuration_close(&snapshot->configuration);
    raft_free(snapshot);
  }
};

}  // namespace

int RaftNode::store_snapshot(unsigned trailing_entries, const raft_snapshot& snapshot) {
  pb::RaftSnapshot stored;
  stored.set_index(snapshot.index);
  stored.set_term(snapshot.term);
  RaftConfiguration::write_servers(snapshot.configuration, *stored.mutable_servers());
  stored.set_servers_index(snapshot.configuration_index);
  std::string data;
  for (const raft_buffer& buffer : std::span(snapshot.bufs, snapshot.n_bufs)) data += to_string(buffer);
  stored.set_data(data);
  return write_status(context_.storage.store_snapshot(stored, trailing_entries));
}

raft_snapshot* RaftNode::load_snapshot() const {
  const auto stored = context_.storage.snapshot();
  if (!stored) return nullptr;
  auto servers = RaftConfiguration::from_servers(stored->servers());
  if (!servers) return nullptr;
  std::unique_ptr<raft_snapshot, SnapshotDeleter> snapshot(allocate_zeroed<raft_snapshot>(1).release());
  if (!snapshot) return nullptr;
  snapshot->index = stored->index();
  snapshot->term = stored->term();
  snapshot->configuration = servers->release();
  snapshot->configuration_index = stored->servers_index();
  snapshot->bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
  if (snapshot->bufs == nullptr) return nullptr;
  *snapshot->bufs = make_buffer(stored->data());
  snapshot->n_bufs = 1;
  return snapshot.release();
}

int RaftNode::take_snapshot(raft_buffer** buffers, unsigned* count) const {
  pb::PolicySnapshot snapshot;
  consensus::write_snapshot(context_.state_machine.snapshot(), snapshot);
  *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
  if (*buffers == nullptr) return RAFT_NOMEM;
  **buffers = make_buffer(snapshot.SerializeAsString());
  *count = 1;
  return 0;
}

int RaftNode::restore_snapshot(const std::string& data) {
  pb::PolicySnapshot stored;
  const auto snapshot = stored.ParseFromString(data) ? consensus::read_snapshot(stored) : std::nullopt;
  if (!snapshot) return RAFT_CORRUPT;
  context_.state_machine = PolicyStateMachine(*snapshot);
  context_.reported_index = snapshot->index;
  if (context_.output != nullptr) context_.output->inputs.emplace_back(SnapshotRestored{*snapshot});
  return 0;
}

}  // namespace edge_proxy::consensus
