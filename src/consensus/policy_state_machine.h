// SPDX-License-Identifier: MIT
/// @file
/// The replicated state: the active policy, the change in progress and the outcomes of earlier changes. It is
/// equal on all proxies that have applied the same entries. It uses no I/O and no clock.
#pragma once

#include <algorithm>
#include <deque>
#include <optional>
#include <string>

#include "consensus/types.h"

namespace edge_proxy::consensus {

class PolicyStateMachine {
 public:
  PolicyStateMachine() = default;
  explicit PolicyStateMachine(Snapshot snapshot);

  /// Applies an entry. Entries have to come in the order of the log; those up to index() are ignored.
  void apply(Index index, const Entry& entry);
  /// Sets index() to a log position that holds no policy entry.
  void advance_to(Index index) { index_ = std::max(index_, index); }

  [[nodiscard]] Index index() const { return index_; }
  [[nodiscard]] Epoch epoch() const { return epoch_; }
  [[nodiscard]] const std::string& key() const { return key_; }
  [[nodiscard]] const std::string& policy() const { return policy_; }
  [[nodiscard]] const std::optional<Change>& change() const { return change_; }
  /// The outcome of the change with that key. Null: the change is in progress, is unknown, or its outcome has
  /// been dropped.
  [[nodiscard]] const ChangeOutcome* outcome(const std::string& key) const;
  [[nodiscard]] bool knows_change(const std::string& key) const;
  [[nodiscard]] Snapshot snapshot() const;

 private:
  void finish_change(ChangeResult result, std::string reason);

  Index index_ = 0;
  Epoch epoch_ = 0;
  std::string key_, policy_;
  std::optional<Change> change_;
  std::deque<ChangeOutcome> outcomes_;  // newest last
};

}  // namespace edge_proxy::consensus
