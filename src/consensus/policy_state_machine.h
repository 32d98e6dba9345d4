// SPDX-License-Identifier: MIT
/// @file
/// The state that the log leads to: the active policy, the change under way, the outcomes of earlier ones.
/// Equal on all proxies that have applied the same entries. No I/O, no clock.
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

  /// Entries in the order of the log; entries up to index() are ignored.
  void apply(Index index, const Entry& entry);
  /// The log has come that far without an entry of this kind.
  void advance_to(Index index) { index_ = std::max(index_, index); }

  [[nodiscard]] Index index() const { return index_; }
  [[nodiscard]] Epoch epoch() const { return epoch_; }
  [[nodiscard]] const std::string& key() const { return key_; }
  [[nodiscard]] const std::string& policy() const { return policy_; }
  [[nodiscard]] const std::optional<Change>& change() const { return change_; }
  /// What became of the change with that key; none: it is under way, was never heard of, or is too long ago.
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
