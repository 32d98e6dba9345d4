// SPDX-License-Identifier: MIT
/// @file
/// Which part of what all proxies share (the budget of a just-started cache or parent) this one may use,
/// whatever is cut off from what: docs/membership.md, "Shares". No I/O, no clock.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace edge_proxy::admission {

/// Invariant: the parts that all processes use at one moment, on all sides of any cut, never exceed the
/// whole.
///
/// Each holds the whole over the number of members that it counts. A member uses its share only while it is
/// *sure*: every member that it counts has said that it counts this one, from a list of the same names; so
/// each of those that use a share is counted by all others that do. One that left in order has stopped, and
/// is not counted any more. One that an operator forgot, or whose name another disk has now, is a *ghost*: it
/// may still send on the other side of a cut, and is counted until its lease has run out on both sides. The
/// holder stops when more than half of those it counts, all of them sure, have not renewed its lease within
/// `lease` of its own clock; the others hand its share on only when half of all and every one that is
/// registered have said that they renew it no more, `lease` and the drift of two clocks after the last of
/// them did.
class QuotaLeases {
 public:
  using Time = std::chrono::microseconds;

  struct Settings {
    std::string name;
    Time lease{60'000'000};
    double max_clock_drift = 0.01;  ///< how much faster one clock may go than another, at most
    double reserve_share = 0.1;     ///< part of the whole that those without a share divide
    std::size_t expected_members =
        1;  ///< members that a new fleet begins with: half of them have to be found first
    std::size_t max_members = 1024;  ///< members that there may be, at most
  };
  struct MemberIdentity {
    std::uint64_t disk = 0;
    int zone = 0;
    bool operator==(const MemberIdentity&) const = default;
  };
  using MemberTable = std::map<std::string, MemberIdentity>;  ///< registered members, itself too
  struct UnfencedHolder {
    std::string name;
    MemberIdentity identity;
    bool replaced =
        false;  ///< another disk has the name: that one is not counted as well, but not sure until then
    bool operator==(const UnfencedHolder&) const = default;
  };
  /// What a member has said in its answer to a ping of this one.
  struct QuotaAck {
    std::string from;
    Time ping_sent{0};                    ///< when the ping went
    std::uint64_t announced_version = 0;  ///< told() when it went, where all marks went with it; else 0
    std::uint64_t counted_disk = 0;       ///< the disk under which it counts this one; 0: it does not
    std::uint64_t member_names_hash = 0;  ///< of the names that it counts
    bool confirmed = false;
  };
  /// What may be used, as parts of the whole.
  struct QuotaShare {
    double of_cluster = 0;   ///< of what all members share
    double of_zone = 0;      ///< of what those of its zone share
    bool has_lease = false;  ///< its share; else a little of the reserve
    Time expires_at{0};      ///< by its own clock: then it has to be asked for anew
    bool operator==(const QuotaShare&) const = default;
  };

  /// `ghosts`: those that an earlier process with this disk knew of.
  /// `not_before`: sure at that time at the earliest, of one with an empty disk: a lease after its start.
  /// Guards against many whose disks are new at once, and who know nothing of one that is cut off from them.
  QuotaLeases(Settings settings, Time confirmed_not_before, const std::vector<UnfencedHolder>& unfenced);
  /// A lease of the other side, by this side's clock.
  static Time lease_expiry_bound(Time lease, double drift);

  /// The registered members as they are now; `gone_in_order`: those of the ones missing that left in order.
  /// `takes_part`: false while its own name is disputed, after it left or was forgotten.
  void update_members(Time now, const MemberTable& roster, const std::set<std::string>& gone_in_order,
                      bool takes_part);
  void update_members(Time now, const QuotaAck& acked);
  /// It was forgotten, and joins anew: nobody is bound to count it.
  void on_forgotten();

  [[nodiscard]] QuotaShare share(Time now) const;
  [[nodiscard]] bool confirmed() const { return confirmed_; }
  /// The disk under which a member is counted, to be told to it; 0: not yet.
  [[nodiscard]] std::uint64_t counted_disk_of(const std::string& name) const;
  [[nodiscard]] std::uint64_t member_names_hash() const {
    return member_names_hash_;
  }  ///< of those counted: alike for the same ones
  /// Names of ghosts that others have to hear of, and the mark of what they then have heard.
  [[nodiscard]] std::vector<std::string> announced_names() const;
  [[nodiscard]] std::uint64_t announced_version() const { return announced_version_; }
  [[nodiscard]] std::size_t unfenced_count() const { return unfenced_.size(); }
  [[nodiscard]] std::vector<UnfencedHolder> unfenced_holders() const;

 private:
  struct UnfencedRecord {
    UnfencedHolder holder;
    std::uint64_t announced_in = 0;  // as told() counts
    std::set<std::string> heard_by, heard_by_confirmed;
    Time fenced_at{0};  // 0: not all have heard of it
  };

  void track_unfenced(UnfencedHolder ghost);
  void update(Time now);
  void drop_unfenced(const std::string& name);
  [[nodiscard]] std::size_t counted_members() const { return members_.size() + unregistered_unfenced(); }
  [[nodiscard]] std::size_t unregistered_unfenced() const;

  Settings settings_;
  Time confirmed_not_before_;
  MemberTable members_;
  std::uint64_t member_names_hash_ = 0;
  bool confirmed_ = false, participates_ = true;
  std::set<std::string> counted_by_members_;
  std::map<std::string, Time> renewed_at_;  // when the ping went that a sure member answered last
  std::vector<UnfencedRecord> unfenced_;
  std::uint64_t announced_version_ = 1;
};

}  // namespace edge_proxy::admission
