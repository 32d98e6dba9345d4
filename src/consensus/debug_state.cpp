// SPDX-License-Identifier: MIT
// Text forms of the reducer's state for the model checker. Two states with equal texts behave the same from
// now on.
#include <algorithm>

#include "consensus/lease_manager.h"
#include "consensus/reducer.h"

namespace edge_proxy::consensus {

std::string LeaseManager::debug_state(Time now,
                                      const std::map<std::string, std::uint64_t>& newest_requests) const {
  const auto remaining_us = [now](Time until) {
    return std::to_string(std::max(Time{0}, until - now).count()) + " ";
  };
  std::string text = "T" + std::to_string(term_) + " e" + remaining_us(earlier_leases_expire_at_);
  for (const auto& [name, holder] : holders_)
    text += name + remaining_us(holder.expires_at) +
            remaining_us(holder.requested_at + 2 * settings_.renew_interval);
  for (const auto& [name, pending] : pending_grants_) {
    const auto found = newest_requests.find(name);
    text += "w" + name +
            std::to_string((found == newest_requests.end() ? 0 : found->second) - pending.number) +
            (pending.round > round_ ? "n " : "o ");
  }
  text += round_in_progress_ ? "r" + remaining_us(round_sent_at_ + settings_.urgent_interval) : "- ";
  for (const std::string& name : round_confirmed_) text += name;
  text += " c" + std::to_string(change_) + (decision_proposed_ ? "E" : "") + (revoking_ ? "S" : "") +
          (activation_proposed_ ? "A" : "");
  for (const std::string& name : ready_members_) text += name;
  if (change_ != 0)
    text += remaining_us(change_started_at_ + settings_.prepare_timeout) +
            remaining_us(announced_at_ + settings_.urgent_interval);
  return text + "p" + std::to_string(pending_proposals_.size());
}

std::string State::debug_state(const std::map<std::string, std::uint64_t>& newest_requests) const {
  const auto remaining_us = [this](Time until) {
    return std::to_string(std::max(Time{0}, until - now_).count());
  };
  const Snapshot snapshot = state_machine_.snapshot();
  std::string text = "i" + std::to_string(snapshot.index) + " n" + std::to_string(newest_index_) + " E" +
                     std::to_string(snapshot.epoch) + snapshot.key;
  for (const Change& change : snapshot.change)
    text += " c" + std::to_string(change.id) + (change.committed ? "C" : "P");
  for (const ChangeOutcome& outcome : snapshot.outcomes)
    text += " o" + outcome.key + std::to_string(static_cast<int>(outcome.result));
  text += " L" + std::to_string(lease_.epoch()) + ":" + remaining_us(lease_.expires_at());
  for (const auto& [number, requested_at] : lease_.requested_at())
    text += " q" + std::to_string(lease_.newest_request() - number) + ":" +
            remaining_us(requested_at + settings_.lease);
  text += " l" + leader_ + (is_voter_ ? "V" : "") + " a" + remaining_us(next_lease_request_) + " p" +
          remaining_us(next_catch_up_) + " k" + remaining_us(next_call_retry_) + "/" +
          std::to_string(pending_calls_.size());
  if (lease_manager_) text += " {" + lease_manager_->debug_state(now_, newest_requests) + "}";
  return text;
}

}  // namespace edge_proxy::consensus
