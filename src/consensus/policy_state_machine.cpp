// SPDX-License-Identifier: MIT
#include "consensus/policy_state_machine.h"

#include <algorithm>

namespace edge_proxy::consensus {
namespace {

constexpr std::size_t kMaxOutcomes = 64;

}  // namespace

PolicyStateMachine::PolicyStateMachine(Snapshot snapshot)
    : index_(snapshot.index),
      epoch_(snapshot.epoch),
      key_(std::move(snapshot.key)),
      policy_(std::move(snapshot.policy)),
      outcomes_(snapshot.outcomes.begin(), snapshot.outcomes.end()) {
  if (!snapshot.change.empty()) change_ = std::move(snapshot.change.front());
}

Snapshot PolicyStateMachine::snapshot() const {
  Snapshot snapshot{index_, epoch_, key_, policy_, {}, {outcomes_.begin(), outcomes_.end()}};
  if (change_) snapshot.change.push_back(*change_);
  return snapshot;
}

void PolicyStateMachine::apply(Index index, const Entry& entry) {
  if (index <= index_) return;
  index_ = index;
  const bool is_current = change_ && change_->id == entry.change;
  switch (entry.step) {
    case Step::propose:
      // A key identifies one change, so a repeated call, or one that was forwarded twice, has no effect.
      if (knows_change(entry.key)) return;
      if (change_ || entry.base_epoch != epoch_) {
        outcomes_.push_back({entry.key, ChangeResult::rejected, epoch_,
                             change_ ? "another change is under way: " + change_->key
                                     : "builds on " + std::to_string(entry.base_epoch)});
        break;
      }
      change_ = Change{index, epoch_ + 1, entry.key, entry.policy, false};
      return;
    case Step::commit:
      if (is_current) change_->committed = true;
      return;
    case Step::activate:
      if (!is_current || !change_->committed) return;
      epoch_ = change_->epoch;
      key_ = change_->key;
      policy_ = change_->policy;
      finish_change(ChangeResult::active, "");
      break;
    case Step::abort:
      // A committed change is not aborted: members rely on its activation.
      if (!is_current || change_->committed) return;
      finish_change(ChangeResult::aborted, entry.reason);
      break;
  }
  // Bounds the memory: outcomes of old changes are dropped.
  if (outcomes_.size() > kMaxOutcomes) outcomes_.pop_front();
}

void PolicyStateMachine::finish_change(ChangeResult result, std::string reason) {
  outcomes_.push_back({change_->key, result, epoch_, std::move(reason)});
  change_.reset();
}

const ChangeOutcome* PolicyStateMachine::outcome(const std::string& key) const {
  const auto found = std::find_if(outcomes_.begin(), outcomes_.end(),
                                  [&key](const ChangeOutcome& outcome) { return outcome.key == key; });
  return found == outcomes_.end() ? nullptr : &*found;
}

bool PolicyStateMachine::knows_change(const std::string& key) const {
  return (change_ && change_->key == key) || outcome(key) != nullptr;
}

}  // namespace edge_proxy::consensus
