// SPDX-License-Identifier: MIT
// The function tables that RaftNode passes to libraft. Writes are performed immediately. All callbacks are
// deferred until libraft has returned, because it is not reentrant.
#include <algorithm>
#include <chrono>

#include "consensus/raft_node.h"

namespace edge_proxy::consensus {

void RaftNode::set_lifecycle_functions() {
  io_.init = [](raft_io*, raft_id, const char*) { return 0; };
  io_.start = [](raft_io* io, unsigned, raft_io_tick_cb on_tick, raft_io_recv_cb on_receive) {
    from(io).tick_callback_ = on_tick;
    from(io).receive_callback_ = on_receive;
    return 0;
  };
  io_.close = [](raft_io* io, raft_io_close_cb done) {
    from(io).context_.deferred_callbacks.emplace_back([io, done] {
      if (done != nullptr) done(io);
    });
  };
}

void RaftNode::set_storage_functions() {
  io_.load = [](raft_io* io, raft_term* term, raft_id* vote, raft_snapshot** snapshot,
                raft_index* first_index, raft_entry** entries, std::size_t* count) {
    const RaftNode& node = from(io);
    *term = node.context_.storage.term();
    *vote = node.context_.storage.vote();
    *snapshot = node.load_snapshot();
    *first_index = node.context_.storage.first_index();
    return node.load_entries(entries, count);
  };
  io_.bootstrap = [](raft_io* io, const raft_configuration* servers) {
    return from(io).store_bootstrap(*servers);
  };
  // A log is never recreated from the remaining servers: docs/consensus.md, "What remains".
  io_.recover = [](raft_io*, const raft_configuration*) -> int { return RAFT_INVALID; };
  io_.set_term = [](raft_io* io, raft_term term) {
    return write_status(from(io).context_.storage.set_term(term));
  };
  io_.set_vote = [](raft_io* io, raft_id server) {
    return write_status(from(io).context_.storage.set_vote(server));
  };
  io_.append = [](raft_io* io, raft_io_append* request, const raft_entry* entries, unsigned count,
                  raft_io_append_cb done) {
    const int status = from(io).append(entries, count);
    if (status == 0) from(io).context_.deferred_callbacks.emplace_back([request, done] { done(request, 0); });
    return status;
  };
  io_.truncate = [](raft_io* io, raft_index first) { return from(io).truncate(first); };
}

void RaftNode::set_snapshot_functions() {
  io_.snapshot_put = [](raft_io* io, unsigned trailing_entries, raft_io_snapshot_put* request,
                        const raft_snapshot* snapshot, raft_io_snapshot_put_cb done) {
    const int status = from(io).store_snapshot(trailing_entries, *snapshot);
    from(io).context_.deferred_callbacks.emplace_back([request, done, status] { done(request, status); });
    return 0;
  };
  io_.snapshot_get = [](raft_io* io, raft_io_snapshot_get* request, raft_io_snapshot_get_cb done) {
    from(io).context_.deferred_callbacks.emplace_back([io, request, done] {
      raft_snapshot* snapshot = from(io).load_snapshot();
      done(request, snapshot, snapshot == nullptr ? RAFT_NOTFOUND : 0);
    });
    return 0;
  };
}

void RaftNode::set_environment_functions() {
  io_.send = [](raft_io* io, raft_io_send* request, const raft_message* message, raft_io_send_cb done) {
    from(io).send(*message);
    from(io).context_.deferred_callbacks.emplace_back([request, done] {
      if (done != nullptr) done(request, 0);
    });
    return 0;
  };
  io_.time = [](raft_io* io) {
    using std::chrono::milliseconds;
    const auto now = std::chrono::duration_cast<milliseconds>(from(io).context_.now);
    return static_cast<raft_time>(now.count());
  };
  io_.random = [](raft_io* io, int minimum, int end) {
    const auto count = static_cast<std::uint64_t>(std::max(1, end - minimum));
    return minimum + static_cast<int>(from(io).context_.random() % count);
  };
  io_.async_work = [](raft_io* io, raft_io_async_work* request, raft_io_async_work_cb done) {
    from(io).context_.deferred_callbacks.emplace_back(
        [request, done] { done(request, request->work(request)); });
    return 0;
  };
}

void RaftNode::set_state_machine_functions() {
  fsm_.apply = [](raft_fsm* fsm, const raft_buffer* command, void** result) {
    *result = nullptr;
    return from(fsm).apply(*command);
  };
  fsm_.snapshot = [](raft_fsm* fsm, raft_buffer** buffers, unsigned* count) {
    return from(fsm).take_snapshot(buffers, count);
  };
  fsm_.restore = [](raft_fsm* fsm, raft_buffer* data) {
    const int status = from(fsm).restore_snapshot(to_string(*data));
    if (status == 0) raft_free(data->base);
    return status;
  };
}

}  // namespace edge_proxy::consensus
