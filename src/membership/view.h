// SPDX-License-Identifier: MIT
/// @file
/// What one proxy believes of all others: merges news, keeps marks of those that have gone, tells where it
/// stands. No I/O, no clock.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "membership/types.h"

namespace edge_proxy::membership {

/// How this proxy and a member reach each other.
enum class Reachability : std::uint8_t {
  unknown,  ///< nothing heard yet
  direct,
  indirect,  ///< only by way of others: cut off from each other, and yet no death
  one_way,   ///< what it sends comes here, but it does not hear from here
  unreachable
};
std::string_view name_of(Reachability way);

struct Member {
  MemberUpdate update;
  Time status_since{0};                ///< of its state
  std::set<std::string> suspected_by;  ///< who suspects it, independently
  Time suspicion_deadline{0};          ///< of suspect: then it counts as dead
  Time suspected_since{0};             ///< when that began
  Reachability reachability = Reachability::unknown;
  Time last_heard{0};  ///< its last datagram
  Time reachability_since{0};
};

/// Where a proxy stands.
enum class PartitionStatus : std::uint8_t {
  majority,  ///< it reaches more than half of the registered members, itself counted
  minority,  ///< it reaches some, but not more than half
  isolated,  ///< others are registered and it reaches none
  disputed   ///< another process uses its name: it takes no part
};
std::string_view name_of(PartitionStatus standing);

class View {
 public:
  /// What became of an item of news.
  enum class MergeResult {
    outdated,     ///< known already, or overtaken
    changed,      ///< the state or the record changed
    confirmation  ///< a suspicion that is known, from one more member
  };
  struct Merged {
    MergeResult result = MergeResult::outdated;
    bool is_new = false;                          ///< the name was not known before
    std::optional<MemberUpdate> replaced;         ///< another member under that name
    std::optional<MemberStatus> previous_status;  ///< the state before, where it changed
    std::optional<std::string> previous_address;  ///< the address before
  };

  View(std::string self, std::size_t most) : self_(std::move(self)), max_members_(most) {}

  /// Takes one item in. Nothing where it is about a name that no room is left for (`full`).
  Merged merge(const MemberUpdate& news, Time now);
  [[nodiscard]] bool has_no_room_for(const std::string& name) const;

  [[nodiscard]] const Member* find(const std::string& name) const;
  Member* find(const std::string& name);
  [[nodiscard]] const std::unordered_map<std::string, Member>& members() const { return members_; }

  [[nodiscard]] std::size_t registered() const { return registered_; }
  [[nodiscard]] std::size_t reachable() const { return reachable_; }
  [[nodiscard]] PartitionStatus partition_status() const;
  /// Alike at two proxies whose views are alike, whatever the order in which they came to them.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  /// Another one where a member came, went or changed.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

 private:
  void add_to_counts(const Member& member, int sign);
  void add_tombstone(const std::string& name);

  std::string self_;
  std::size_t max_members_;
  std::unordered_map<std::string, Member> members_;
  std::deque<std::string> tombstones_;  // marks of those that are not registered any more, oldest first
  std::size_t registered_ = 0, reachable_ = 0;
  std::uint64_t digest_ = 0, revision_ = 0;
};

}  // namespace edge_proxy::membership
