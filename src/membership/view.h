// SPDX-License-Identifier: MIT
/// @file
/// The member table of one proxy. It merges updates, keeps tombstones of former members, and determines on
/// which side of a partition the proxy is. No I/O, no clock.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "membership/types.h"

namespace edge_proxy::membership {

/// How this proxy reaches a member.
enum class Reachability : std::uint8_t {
  unknown,   ///< not probed yet
  direct,    ///< the member answers this proxy's pings
  indirect,  ///< only relayed pings reach it: the link to this proxy is cut, the member is not dead
  one_way,   ///< its datagrams reach this proxy, but pings of this proxy do not reach it
  unreachable
};
/// The text used in the log and in the report.
std::string_view name_of(Reachability reachability);

/// A member and this proxy's observations of it.
struct Member {
  MemberUpdate update;
  Time status_since{0};
  std::set<std::string> suspected_by;  ///< members that suspect it independently of each other
  Time suspicion_deadline{0};          ///< when a suspect is declared dead
  Time suspected_since{0};
  Reachability reachability = Reachability::unknown;
  Time reachability_since{0};
  Time last_heard{0};  ///< arrival of its latest message
};

/// On which side of a partition this proxy is.
enum class PartitionStatus : std::uint8_t {
  majority,  ///< the proxy reaches more than half of the registered members, itself included
  minority,  ///< the proxy reaches other members, but not more than half
  isolated,  ///< other members are registered, but the proxy reaches none
  disputed   ///< another process uses its name: the proxy does not participate
};
/// The text used in the log and in the report.
std::string_view name_of(PartitionStatus status);

class View {
 public:
  enum class MergeResult {
    outdated,     ///< already known or superseded
    changed,      ///< the table changed
    confirmation  ///< another reporter confirms a known suspicion
  };
  /// The changes made by a merge.
  struct Merged {
    MergeResult result = MergeResult::outdated;
    bool is_new = false;                     ///< the table did not contain the name
    std::optional<MemberUpdate> replaced{};  ///< the previous member of the name, which had another disk
    std::optional<MemberStatus> previous_status{};  ///< set if the status changed or the member was replaced
    std::optional<std::string> previous_address{};  ///< set if the address changed
  };

  /// `self`: the name of this member.
  View(std::string self, std::size_t max_members) : self_(std::move(self)), max_members_(max_members) {}

  /// Ignores an update of a new name while the table is full.
  Merged merge(const MemberUpdate& update, Time now);
  /// Whether the name is new and the table already contains `max_members` registered members.
  [[nodiscard]] bool has_no_room_for(const std::string& name) const;

  [[nodiscard]] const Member* find(const std::string& name) const;
  Member* find(const std::string& name);
  /// Registered members and tombstones.
  [[nodiscard]] const std::unordered_map<std::string, Member>& members() const { return members_; }
  /// The whole table as updates, in the order of members().
  [[nodiscard]] std::vector<MemberUpdate> updates() const;

  /// Number of registered members, this one included.
  [[nodiscard]] std::size_t registered() const { return registered_; }
  /// Number of reachable members, this one included.
  [[nodiscard]] std::size_t reachable() const { return reachable_; }
  [[nodiscard]] PartitionStatus partition_status() const;
  /// Two members with equal views have equal digests, regardless of the order of their updates.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  /// Increases whenever a member is added, removed or changed.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

 private:
  Merged add(const MemberUpdate& update, Time now);
  Merged replace(Member& member, const MemberUpdate& update, Time now);
  void include_in_totals(const Member& member);
  void exclude_from_totals(const Member& member);
  void add_tombstone(const std::string& name);

  std::string self_;
  std::size_t max_members_;
  std::unordered_map<std::string, Member> members_;
  std::deque<std::string> tombstones_;  // names that are no longer registered, oldest first
  std::size_t registered_ = 0;
  std::size_t reachable_ = 0;
  std::uint64_t digest_ = 0;
  std::uint64_t revision_ = 0;
};

}  // namespace edge_proxy::membership
