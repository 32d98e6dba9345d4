// SPDX-License-Identifier: MIT
#include "edge/membership.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "edge/bounds.h"

namespace dahliahall::edge {

codec::ListedMember Membership::as_told(const codec::ListedMember& listed) const {
  const auto found = by_hand_.find(listed.member.id);
  const bool agreed_out = agreed_out_.count(listed.member.id) != 0;
  if (found == by_hand_.end() && !agreed_out) return listed;
  codec::ListedMember told = listed;
  if (agreed_out || found->second.out) {
    if (told.member.state == EndpointState::running) told.member.state = EndpointState::draining;
  } else {
    // Guards against pushing over a member that was restarted while it was out, of which the bulletin may not
    // have told yet: it counts as cold from the moment it was put back. Harm: one that was not restarted is
    // asked less than it could bear for a while.
    told.member.started = std::max(told.member.started, found->second.at);
  }
  return told;
}

codec::Roster Membership::take(const codec::Roster& told, Time now) {
  const auto gone = [this](const std::string& id) {
    left_.push_back(id);
    if (left_.size() > kMostLeftKnown) left_.pop_front();
  };
  if (told.complete) {
    for (const auto& [id, listed] : std::exchange(listed_, {})) gone(id);
  }
  codec::Roster out{told.complete, {}};
  for (const codec::ListedMember& news : told.members) {
    codec::ListedMember listed = news;
    const auto before = listed_.find(news.member.id);
    if (listed.address.empty() && before != listed_.end()) listed.address = before->second.address;
    if (news.member.state != EndpointState::removed) {
      listed_[news.member.id] = listed;
    } else if (before != listed_.end()) {
      listed_.erase(before);
      gone(news.member.id);
    }
    out.members.push_back(as_told(listed));
  }
  forget_old(now);
  return out;
}

bool Membership::known(const std::string& id) const {
  return listed_.count(id) != 0 || by_hand_.count(id) != 0 ||
         std::find(left_.begin(), left_.end(), id) != left_.end();
}

codec::Roster Membership::change_of(const std::string& id) const {
  const auto listed = listed_.find(id);
  if (listed == listed_.end()) return {};
  return {false, {as_told(listed->second)}};
}

codec::Roster Membership::set_agreed(std::set<std::string> out, Time now) {
  const std::set<std::string> before = std::exchange(agreed_out_, std::move(out));
  for (const std::string& id : before) {
    if (agreed_out_.count(id) == 0 && !suspended(id) && by_hand_.size() < kMostByHand)
      by_hand_[id] = {false, now};
  }
  codec::Roster changed;
  for (const auto& [id, listed] : listed_) {
    if (before.count(id) != agreed_out_.count(id)) changed.members.push_back(as_told(listed));
  }
  return changed;
}

std::optional<codec::Roster> Membership::suspend(const std::string& id, Time now) {
  if (!known(id) || (by_hand_.size() >= kMostByHand && by_hand_.count(id) == 0)) return std::nullopt;
  if (!suspended(id)) by_hand_[id] = {true, now};  // said again, it changes nothing
  return change_of(id);
}

std::optional<codec::Roster> Membership::resume(const std::string& id, Time now) {
  if (!known(id)) return std::nullopt;
  if (suspended(id)) by_hand_[id] = {false, now};
  return change_of(id);
}

/// Guards the memory: once a member that was put back would be warm anyway, that it was out tells nothing.
void Membership::forget_old(Time now) {
  std::erase_if(by_hand_, [now](const auto& e) { return !e.second.out && now - e.second.at >= kByHandKept; });
}

std::string Membership::kept() const {
  std::string text;
  for (const auto& [id, said] : by_hand_) {
    text.append(said.out ? "out " : "in ").append(std::to_string(said.at.count()));
    text.append(" ").append(id).append("\n");
  }
  return text;
}

codec::Roster Membership::read_kept(std::string_view text) {
  std::map<std::string, ByHand> read;
  while (!text.empty() && read.size() < kMostByHand) {
    std::string_view line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(line.size() + 1, text.size()));
    const bool out = line.substr(0, 4) == "out ";
    if (!out && line.substr(0, 3) != "in ") continue;
    line.remove_prefix(out ? 4 : 3);
    std::int64_t at = 0;
    const auto [end, problem] = std::from_chars(line.data(), line.data() + line.size(), at);
    const auto used = static_cast<std::size_t>(end - line.data());
    // Guards against a file that was cut off: a line that can't be read is passed over.
    if (problem != std::errc{} || used + 1 >= line.size() || line[used] != ' ') continue;
    read[std::string(line.substr(used + 1))] = {out, Time{at}};
  }
  std::map<std::string, ByHand> before = std::exchange(by_hand_, std::move(read));
  codec::Roster changed;
  for (const auto& [id, listed] : listed_) {
    const auto was = before.find(id), is = by_hand_.find(id);
    const ByHand none{};
    if ((was == before.end() ? none : was->second) != (is == by_hand_.end() ? none : is->second))
      changed.members.push_back(as_told(listed));
  }
  return changed;
}

}  // namespace dahliahall::edge
