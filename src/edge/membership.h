// SPDX-License-Identifier: MIT
/// @file
/// The list of members as the bulletin tells it, with what operators took out by hand laid over it.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "codec/bulletin.h"

namespace dahliahall::edge {

class Membership {
 public:
  /// Takes in the bulletin's news; what is to be told of it to all others.
  codec::Roster take(const codec::Roster& told, Time now);

  /// Takes a member out, or in again. What is to be told of it; none where no such member was ever listed.
  std::optional<codec::Roster> suspend(const std::string& id, Time now);
  std::optional<codec::Roster> resume(const std::string& id, Time now);

  /// Those that the policy of the whole fleet takes out; what is to be told of the differences. One that
  /// comes back counts as started at that moment, as where an operator puts it back.
  codec::Roster set_agreed(std::set<std::string> out, Time now);

  /// What outlives the process, and what another process has kept meanwhile. The latter gives what is to be
  /// told of the differences.
  [[nodiscard]] std::string kept() const;
  codec::Roster read_kept(std::string_view text);

  [[nodiscard]] bool suspended(const std::string& id) const {
    const auto found = by_hand_.find(id);
    return found != by_hand_.end() && found->second.out;
  }

 private:
  /// What operators said of a member last.
  struct ByHand {
    bool out = false;
    Time at{0};
    bool operator==(const ByHand&) const = default;
  };

  [[nodiscard]] codec::ListedMember as_told(const codec::ListedMember& listed) const;
  [[nodiscard]] codec::Roster change_of(const std::string& id) const;
  [[nodiscard]] bool known(const std::string& id) const;
  void forget_old(Time now);

  std::map<std::string, codec::ListedMember> listed_;
  std::map<std::string, ByHand> by_hand_;
  std::set<std::string> agreed_out_;
  std::deque<std::string> left_;  // the ids that left last
};

}  // namespace dahliahall::edge
