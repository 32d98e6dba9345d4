// SPDX-License-Identifier: MIT
// Text forms of the reducer's state for the model checker: equal for states that behave alike from here on.
#include <algorithm>

#include "consensus/lease_manager.h"
#include "consensus/reducer.h"

namespace edge_proxy::consensus {

std::string LeaseManager::debug_state(Time now, const std::map<std::string, std::uint64_t>& newest) const {
  const auto left = [now](Time until) {
    return std::to_string(std::max(Time{0}, until - now).count()) + " ";
  };
  std::string text = "T" + std::to_string(term_) + " e" + left(earlier_leases_expire_at_);
  for (const auto& [name, h] : holders_)
    text += name + left(h.expires_at) + left(h.requested_at + 2 * settings_.renew_interval);
  for (const auto& [name, w] : pending_grants_) {
    const auto found = newest.find(name);
    text += "w" + name + std::to_string((found == newest.end() ? 0 : found->second) - w.number) +
            (w.round > round_ ? "n " : "o ");
  }
  text += round_in_progress_ ? "r" + left(round_sent_at_ + settings_.urgent_interval) : "- ";
  for (const std::string& name : round_confirmed_) text += name;
  text += " c" + std::to_string(change_) + (decision_proposed_ ? "E" : "") + (revoking_ ? "S" : "") +
          (activation_proposed_ ? "A" : "");
  for (const std::string& name : ready_members_) text += name;
  if (change_ != 0)
    text += left(change_started_at_ + settings_.prepare_timeout) +
            left(announced_at_ + settings_.urgent_interval);
  return text + "p" + std::to_string(pending_proposals_.size());
}

std::string State::debug_state(const std::map<std::string, std::uint64_t>& newest) const {
  const auto left = [this](Time until) { return std::to_string(std::max(Time{0}, until - now_).count()); };
  const Snapshot w = state_machine_.snapshot();
  std::string text = "i" + std::to_string(w.index) + " n" + std::to_string(newest_index_) + " E" +
                     std::to_string(w.epoch) + w.key;
  for (const Change& c : w.change) text += " c" + std::to_string(c.id) + (c.committed ? "C" : "P");
  for (const ChangeOutcome& o : w.outcomes) text += " o" + o.key + std::to_string(static_cast<int>(o.result));
  text += " L" + std::to_string(lease_.epoch()) + ":" + left(lease_.expires_at());
  for (const auto& [number, at] : lease_.requested_at())
    text += " q" + std::to_string(lease_.newest_request() - number) + ":" + left(at + settings_.lease);
  text += " l" + leader_ + (is_voter_ ? "V" : "") + " a" + left(next_lease_request_) + " p" +
          left(next_catch_up_) + " k" + left(next_call_retry_) + "/" + std::to_string(pending_calls_.size());
  if (lease_manager_) text += " {" + lease_manager_->debug_state(now_, newest) + "}";
  return text;
}

}  // namespace edge_proxy::consensus
