// SPDX-License-Identifier: MIT
/// @file
/// Connects the quota leases (admission/quota_leases.h) with membership: keeps them up to date with the
/// registered members, carries their acknowledgements in pings and acks, and restores unfenced holders.
#pragma once

#include <cstdint>
#include <vector>

#include "admission/quota_leases.h"
#include "membership/context.h"

namespace edge_proxy::membership {

class QuotaAdapter {
 public:
  QuotaAdapter(Context& context, const Identity& identity);

  /// Who is registered, or whether this member participates, has changed.
  void mark_outdated() { is_outdated_ = true; }
  /// Passes such a change on to the leases.
  void refresh();
  /// Whether the number of unfenced holders differs from the last call's.
  [[nodiscard]] bool take_unfenced_changed();

  /// Adds the unfenced holders that other members have to acknowledge. Returns the announced version, or 0 if
  /// they don't all fit.
  std::uint64_t add_announcements(Message& ping) const;
  /// Sets what the sender of `ping` needs for its lease.
  void fill_ack(Message& ack, const MemberUpdate& ping_sender);
  /// `ack`: an answer to a ping that was sent then with that announced version.
  void on_ack(const Message& ack, Time ping_sent, std::uint64_t announced_version);
  /// This member was forgotten.
  void on_forgotten() { leases_.on_forgotten(); }

  [[nodiscard]] const admission::QuotaLeases& leases() const { return leases_; }
  /// The table and the unfenced holders, as the next process needs them.
  [[nodiscard]] std::vector<MemberUpdate> persistent_state() const;
  /// Whether the stored update stands for an unfenced holder alone: it says nothing about the member that has
  /// the name.
  [[nodiscard]] static bool is_holder_only(const MemberUpdate& stored);

 private:
  Context& context_;
  admission::QuotaLeases leases_;
  std::size_t reported_unfenced_count_ = 0;
  bool is_outdated_ = true;
};

}  // namespace edge_proxy::membership
