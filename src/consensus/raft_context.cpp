// SPDX-License-Identifier: MIT
#include "consensus/raft_context.h"

#include <utility>

namespace edge_proxy::consensus {

RaftContext::RaftContext(std::string own_name, Time lease_duration, storage::Journal& journal, Time start,
                         std::uint64_t seed)
    : name(std::move(own_name)),
      lease(lease_duration),
      now(start),
      random(seed),
      storage(journal, [this](RaftStorage::Failure failure, const std::string& storage_error) {
        on_storage_failure(failure, storage_error);
      }) {}

void RaftContext::log(std::string line) {
  if (output != nullptr) output->log_lines.push_back(std::move(line));
}

void RaftContext::on_storage_failure(RaftStorage::Failure failure, const std::string& storage_error) {
  if (!error.empty()) return;
  error = storage_error;
  const bool was_participating = failure == RaftStorage::Failure::io;
  log("policy storage failed: " + error + "; this proxy takes no part in the log" +
      (was_participating ? " from now on" : ""));
}

void RaftContext::run_deferred_callbacks() {
  while (!deferred_callbacks.empty()) {
    const auto callback = std::move(deferred_callbacks.front());
    deferred_callbacks.pop_front();
    callback();
  }
}

}  // namespace edge_proxy::consensus
