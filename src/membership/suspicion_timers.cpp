// SPDX-License-Identifier: MIT
#include "membership/suspicion_timers.h"

#include <algorithm>
#include <cmath>

#include "membership/durations.h"

namespace edge_proxy::membership {

void SuspicionTimers::set_deadline(Member& suspect) {
  const Time timeout = timeout_of(suspect);
  cancel(suspect);
  suspect.suspicion_deadline = suspect.suspected_since + timeout;
  deadlines_.emplace(suspect.suspicion_deadline, suspect.update.name);
}

/// The shortest timeout applies once enough reporters have confirmed the suspicion independently, or if there
/// are too few members to do so. Without confirmations it is multiplied by `max_suspicion_multiple`.
Time SuspicionTimers::timeout_of(const Member& suspect) const {
  const Settings& settings = context_.settings;
  const Time shortest =
      std::max(settings.min_suspicion_timeout,
               scaled(settings.probe_interval, settings.suspicion_factor * context_.log_cluster_size()));
  const int possible_reporters =
      static_cast<int>(context_.view.reachable()) - 2;  // without this member and the suspect
  const int confirmations = std::min(settings.max_confirmations, possible_reporters);
  if (!settings.lifeguard || confirmations <= 0) return shortest;
  const Time longest = scaled(shortest, settings.max_suspicion_multiple);
  const auto reporters = static_cast<double>(suspect.suspected_by.size());
  const double confirmed = std::log(reporters) / std::log(confirmations + 1.0);
  return std::max(shortest, longest - scaled(longest - shortest, confirmed));
}

void SuspicionTimers::cancel(const Member& member) {
  deadlines_.erase({member.suspicion_deadline, member.update.name});
}

void SuspicionTimers::postpone(Time gap) {
  std::set<std::pair<Time, std::string>> postponed;
  for (const auto& [deadline, name] : deadlines_) {
    Member& suspect = *context_.view.find(name);
    suspect.suspicion_deadline += gap;
    postponed.emplace(suspect.suspicion_deadline, name);
  }
  deadlines_ = std::move(postponed);
}

std::optional<std::string> SuspicionTimers::next_expired() const {
  if (empty() || next_due() > context_.now) return std::nullopt;
  return deadlines_.begin()->second;
}

std::vector<std::string> SuspicionTimers::past_half_time(std::size_t max_count) const {
  std::vector<std::string> names;
  for (const auto& [deadline, name] : deadlines_) {
    if (names.size() == max_count) break;
    const Time elapsed = context_.now - context_.view.find(name)->suspected_since;
    if (deadline - context_.now <= elapsed) names.push_back(name);
  }
  return names;
}

std::size_t SuspicionTimers::entries() const {
  std::size_t reporters = 0;
  for (const auto& [deadline, name] : deadlines_) reporters += context_.view.find(name)->suspected_by.size();
  return deadlines_.size() + reporters;
}

}  // namespace edge_proxy::membership
