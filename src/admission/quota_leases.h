// SPDX-License-Identifier: MIT
/// @file
/// Divides a budget of the whole cluster (requests that a just-started cache or parent can handle) among its
/// members by leases, so that they never exceed the budget in total, even during a network partition:
/// docs/membership.md, "Quota leases". No I/O, no clock.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace edge_proxy::admission {

/// One member's lease on its share of the cluster's budget.
///
/// Invariant: the shares that all processes use at any moment, on all sides of any partition, never add up to
/// more than the budget. Each member divides the budget by the number of members that it counts: the
/// registered members, including itself, and the unfenced holders.
///
/// Confirmation: a member uses its share only while it is *confirmed*: every member that it counts has
/// acknowledged that it counts this member and the same names. Each user of a share is therefore counted by
/// all other users.
///
/// Lease: a member stops using its share when fewer than a majority of the members that it counts have
/// acknowledged a ping that it sent within the last `Settings::lease` of its own clock. Only the member
/// itself and confirmed members contribute to the majority.
///
/// Unfenced holders: a member that shut down gracefully has stopped using its share and is no longer counted.
/// A member that an operator forgot, or whose name now belongs to another disk, may still send on the other
/// side of a partition. It is counted until it is fenced: every registered member, and confirmed members that
/// are half of all counted ones, have acknowledged that they no longer renew its lease, and one lease plus
/// the drift of two clocks has passed since the last of these acknowledgements.
class QuotaLeases {
 public:
  /// Time of the monotonic clock of this process.
  using Time = std::chrono::microseconds;

  struct Settings {
    std::string name;  ///< name of this member
    Time lease{60'000'000};
    double max_clock_drift = 0.01;     ///< fraction by which a clock may be faster or slower than real time
    double reserve_share = 0.1;        ///< fraction of the budget that members without a lease divide
    std::size_t expected_members = 1;  ///< initial size of a new cluster: more than half must be found
    std::size_t max_members = 1024;    ///< upper bound on the size of the cluster
  };
  /// The member behind a name: after its disk is replaced, it is another member of the same name.
  struct MemberIdentity {
    std::uint64_t disk = 0;
    int zone = 0;
    bool operator==(const MemberIdentity&) const = default;
  };
  /// The registered members by name, this one included.
  using MemberTable = std::map<std::string, MemberIdentity>;
  /// A former member that may still use its lease.
  struct UnfencedHolder {
    std::string name;
    MemberIdentity identity;
    /// The name now belongs to another disk. The name is counted once, and its new owner cannot be confirmed
    /// before this holder is fenced.
    bool replaced = false;
    bool operator==(const UnfencedHolder&) const = default;
  };
  /// The contents of another member's ack to a ping of this member.
  struct QuotaAck {
    std::string from;
    Time ping_sent{0};  ///< when this member sent the ping
    /// `QuotaLeases::announced_version()` at that time if the ping contained all announced names, otherwise
    /// 0.
    std::uint64_t announced_version = 0;
    std::uint64_t counted_disk = 0;       ///< disk under which the sender counts this member; 0: not counted
    std::uint64_t member_names_hash = 0;  ///< hash of the names that the sender counts
    bool confirmed = false;               ///< the sender is confirmed
  };
  /// The fractions of the budgets that this member may use.
  struct QuotaShare {
    double of_cluster = 0;   ///< fraction of the budget of all members
    double of_zone = 0;      ///< fraction of the budget of its zone
    bool has_lease = false;  ///< true: a full share; false: a fraction of the reserve
    Time expires_at{0};      ///< latest time at which the share must be computed again
    bool operator==(const QuotaShare&) const = default;
  };

  /// @param confirmed_not_before earliest time of confirmation. With an empty disk, this is one lease after
  /// the start: many members with new disks might otherwise divide the budget without counting a member
  /// behind a partition that they do not know.
  /// @param unfenced the unfenced holders that an earlier process with this disk stored.
  QuotaLeases(Settings settings, Time confirmed_not_before, const std::vector<UnfencedHolder>& unfenced);
  /// The longest time for which another member's lease can last by this member's clock.
  static Time lease_expiry_bound(Time lease, double drift);

  /// Replaces the registered members. `shut_down`: names that left gracefully. `participates`: false while
  /// this member's own name is disputed, and after it left or was forgotten.
  void update_members(Time now, const MemberTable& members, const std::set<std::string>& shut_down,
                      bool participates);
  /// Processes an acknowledgement. It is ignored if its sender is not registered.
  void on_ack(Time now, const QuotaAck& ack);
  /// This member was forgotten and rejoins: no other member has to count it any more.
  void on_forgotten();

  [[nodiscard]] QuotaShare share(Time now) const;
  /// Whether all counted members count this one.
  [[nodiscard]] bool confirmed() const { return confirmed_; }
  /// The disk under which this member counts `name`, to be sent in acks to that member; 0: not counted (yet).
  [[nodiscard]] std::uint64_t counted_disk_of(const std::string& name) const;
  /// Two members that count the same names have equal hashes.
  [[nodiscard]] std::uint64_t member_names_hash() const { return member_names_hash_; }
  /// Names of the unfenced holders that not all members have acknowledged yet. Pings must contain them.
  [[nodiscard]] std::vector<std::string> announced_names() const;
  /// Increases with each new unfenced holder. An ack to a ping with all announced names acknowledges this
  /// version.
  [[nodiscard]] std::uint64_t announced_version() const { return announced_version_; }
  [[nodiscard]] std::size_t unfenced_count() const { return unfenced_.size(); }
  [[nodiscard]] std::vector<UnfencedHolder> unfenced_holders() const;

 private:
  struct UnfencedRecord {
    UnfencedHolder holder;
    std::uint64_t announced_in = 0;  // first announced_version() that includes the holder
    std::set<std::string> acknowledged_by;
    std::set<std::string> acknowledged_by_confirmed;
    Time fenced_at{0};  // 0: not scheduled yet
  };

  void track_unfenced(UnfencedHolder holder);
  void track_departed(const MemberTable& before, const std::set<std::string>& shut_down);
  void drop_rejoined_holders();
  void drop_acks_of(const std::string& name);

  void update_state(Time now);
  void schedule_fencing(Time now);
  [[nodiscard]] bool acknowledged_by_all(const UnfencedRecord& record) const;
  [[nodiscard]] std::size_t confirmed_acknowledgements(const UnfencedRecord& record) const;
  void drop_fenced(Time now);
  void update_confirmation(Time now);

  [[nodiscard]] bool is_replaced_holder_unfenced(const std::string& name) const;
  [[nodiscard]] std::size_t counted_members() const { return members_.size() + unregistered_holders(); }
  [[nodiscard]] std::size_t unregistered_holders() const;
  [[nodiscard]] std::size_t counted_members_in_zone(int zone) const;
  [[nodiscard]] Time lease_end(std::size_t counted) const;
  [[nodiscard]] QuotaShare reserve_share(std::size_t counted) const;

  Settings settings_;
  Time confirmed_not_before_;
  MemberTable members_;
  std::uint64_t member_names_hash_ = 0;
  bool confirmed_ = false;
  bool participates_ = true;
  std::set<std::string> counted_by_;        // members that count this one and the same names
  std::map<std::string, Time> renewed_at_;  // send time of the latest ping that each confirmed member acked
  std::vector<UnfencedRecord> unfenced_;
  std::uint64_t announced_version_ = 1;
};

}  // namespace edge_proxy::admission
