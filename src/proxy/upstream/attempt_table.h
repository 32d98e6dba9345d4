// SPDX-License-Identifier: MIT
/// @file
/// The outstanding attempts and the completions of ended ones. Each added attempt has exactly one completion.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

#include "proxy/memory_account.h"
#include "proxy/reducer.h"
#include "proxy/resource_limits.h"
#include "proxy/upstream/upstream_request.h"

namespace edge_proxy::proxy {

/// An attempt that has not ended.
struct OutstandingAttempt {
  UpstreamRequest request;
  std::optional<ConnectionId> connection;  ///< none: no connection was available
  bool is_written = false;                 ///< passed to the connection's socket
};

/// Outstanding attempts by key, and two queues of completions: those ready to be taken and the delayed ones.
class AttemptTable {
 public:
  explicit AttemptTable(MemoryAccount& memory) : memory_(memory, MemoryUse::requests) {}

  void add(const AttemptKey& key, OutstandingAttempt attempt);
  /// Returns null if there is no attempt with this key or it has ended.
  [[nodiscard]] const OutstandingAttempt* find(const AttemptKey& key) const;
  [[nodiscard]] OutstandingAttempt& at(const AttemptKey& key) { return attempts_.at(key); }

  /// Lowers the maximum copy age of the attempts that are not written yet, so that none of them is answered
  /// from a copy older than the invalidation.
  void apply(const codec::Invalidation& invalidation, Time now);

  /// Removes the attempt, which must be in the table, and returns its completion.
  [[nodiscard]] AttemptCompletion remove(const AttemptKey& key, AttemptResult result, Time now);
  void add_completion(AttemptCompletion completion) { completions_.push_back(std::move(completion)); }
  /// Adds a completion that a later call of release_delayed_completion() makes available.
  void add_delayed_completion(AttemptCompletion completion);
  /// Makes the oldest delayed completion available.
  void release_delayed_completion();
  /// Removes and returns the oldest available completion.
  [[nodiscard]] std::optional<AttemptCompletion> take_completion();

  /// Number of attempts without an available completion.
  [[nodiscard]] std::size_t in_flight() const { return attempts_.size() + delayed_completions_.size(); }

 private:
  void update_memory() { memory_.set(in_flight() * kOutstandingAttemptBytes); }

  std::map<AttemptKey, OutstandingAttempt> attempts_;
  std::deque<AttemptCompletion> completions_;
  std::deque<AttemptCompletion> delayed_completions_;
  MemoryCharge memory_;  // of all outstanding attempts, also of those whose request has ended
};

}  // namespace edge_proxy::proxy
