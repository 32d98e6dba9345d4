// SPDX-License-Identifier: MIT
/// @file
/// Connects the quota leases (admission/quota_leases.h) with membership: updates them with the registered
/// members, carries their acknowledgements in pings and acks, and restores unfenced holders.
#pragma once

#include <cstdint>
#include <vector>

#include "admission/quota_leases.h"
#include "membership/context.h"

namespace edge_proxy::membership {

class QuotaAdapter {
 public:
  QuotaAdapter(Context& context, const Identity& identity);

  /// Marks the leases as outdated: the registered members, or whether this member participates, have changed.
  void mark_outdated() { is_outdated_ = true; }
  /// Updates the leases if they are outdated.
  void refresh();
  /// Whether the number of unfenced holders has changed since the last call.
  [[nodiscard]] bool take_unfenced_changed();

  /// Adds the unfenced holders that other members have to acknowledge. Returns the announced version, or 0 if
  /// not all of them fit.
  std::uint64_t add_announcements(Message& ping) const;
  /// Sets the fields of `ack` that the ping's sender needs for its lease.
  void fill_ack(Message& ack, const MemberUpdate& ping_sender);
  /// `ack` answers a ping that was sent at `ping_sent` with `announced_version`.
  void on_ack(const Message& ack, Time ping_sent, std::uint64_t announced_version);
  /// This member was forgotten.
  void on_forgotten() { leases_.on_forgotten(); }

  [[nodiscard]] const admission::QuotaLeases& leases() const { return leases_; }
  /// The member table and the unfenced holders, to be restored by the next process.
  [[nodiscard]] std::vector<MemberUpdate> persistent_state() const;
  /// Whether the stored update only records an unfenced holder, and says nothing about the member that has
  /// the name now.
  [[nodiscard]] static bool is_holder_only(const MemberUpdate& stored);

 private:
  Context& context_;
  admission::QuotaLeases leases_;
  std::size_t reported_unfenced_count_ = 0;
  bool is_outdated_ = true;
};

}  // namespace edge_proxy::membership
