// SPDX-License-Identifier: MIT
/// @file
/// The attempts that have not ended yet, and how those that have did: each attempt that was added gives
/// exactly one completion.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

#include "proxy/reducer.h"
#include "proxy/upstream/upstream_request.h"

namespace edge_proxy::proxy {

/// An attempt without an end so far.
struct OutstandingAttempt {
  UpstreamRequest request;
  std::optional<ConnectionId> connection;  ///< none: no connection could take it
  bool is_written = false;                 ///< it was handed to the connection's socket
};

/// Outstanding attempts by key, and two queues of completions: those to be taken and those held back.
class AttemptTable {
 public:
  void add(const AttemptKey& key, OutstandingAttempt attempt) { attempts_[key] = std::move(attempt); }
  /// Null where there is none of this key, or it has ended.
  [[nodiscard]] const OutstandingAttempt* find(const AttemptKey& key) const;
  [[nodiscard]] OutstandingAttempt& at(const AttemptKey& key) { return attempts_.at(key); }

  /// Guards against a response from a copy older than an invalidation: lowers the age that is allowed to
  /// attempts that were decided before it and are not written yet.
  void apply(const codec::Invalidation& invalidation, Time now);

  /// Ends the attempt, which has to be in the table.
  [[nodiscard]] AttemptCompletion remove(const AttemptKey& key, AttemptResult result, Time now);
  void add_completion(AttemptCompletion completion) { completions_.push_back(std::move(completion)); }
  /// Holds the completion back until the next call of release_delayed_completion() that finds it the oldest.
  void add_delayed_completion(AttemptCompletion completion) {
    delayed_completions_.push_back(std::move(completion));
  }
  void release_delayed_completion();
  /// Takes out the oldest completion that is not held back.
  [[nodiscard]] std::optional<AttemptCompletion> take_completion();

  /// Attempts without a completion, those with one that is held back included.
  [[nodiscard]] std::size_t in_flight() const { return attempts_.size() + delayed_completions_.size(); }

 private:
  std::map<AttemptKey, OutstandingAttempt> attempts_;
  std::deque<AttemptCompletion> completions_;
  std::deque<AttemptCompletion> delayed_completions_;
};

}  // namespace edge_proxy::proxy
