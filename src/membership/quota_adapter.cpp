// SPDX-License-Identifier: MIT
#include "membership/quota_adapter.h"

#include <map>
#include <set>
#include <string>
#include <utility>

#include "membership/codec.h"

namespace edge_proxy::membership {
namespace {

using admission::QuotaLeases;

constexpr double kMaxClockDrift = 0.01;
constexpr double kReserveShare = 0.1;
/// Incarnation of a stored update that only records an unfenced holder. It is lower than that of all other
/// updates of the name.
constexpr std::uint64_t kHolderIncarnation = 0;

/// Stored members that were forgotten or replaced may still be running when this process starts.
std::vector<QuotaLeases::UnfencedHolder> unfenced_holders_of(const std::vector<MemberUpdate>& stored) {
  std::map<std::string, std::uint64_t> registered_disks;
  for (const MemberUpdate& update : stored) {
    if (is_registered(update.status)) registered_disks[update.name] = update.disk_id;
  }
  std::vector<QuotaLeases::UnfencedHolder> holders;
  for (const MemberUpdate& update : stored) {
    if (update.status != MemberStatus::forgotten) continue;
    const auto registered = registered_disks.find(update.name);
    const bool is_replaced = registered != registered_disks.end() && registered->second != update.disk_id;
    holders.push_back({update.name, {update.disk_id, update.zone}, is_replaced});
  }
  return holders;
}

QuotaLeases::Settings lease_settings_of(const Settings& settings) {
  return {.name = settings.name,
          .lease = settings.quota_lease,
          .max_clock_drift = kMaxClockDrift,
          .reserve_share = kReserveShare,
          .expected_members = settings.expected_members,
          .max_members = settings.max_members};
}

Time confirmed_not_before(const Context& context, const Identity& identity) {
  if (!identity.is_new_disk) return Time{0};
  return context.now + QuotaLeases::lease_expiry_bound(context.settings.quota_lease, kMaxClockDrift);
}

}  // namespace

QuotaAdapter::QuotaAdapter(Context& context, const Identity& identity)
    : context_(context),
      leases_(lease_settings_of(context.settings), confirmed_not_before(context, identity),
              unfenced_holders_of(identity.known_members)) {}

void QuotaAdapter::refresh() {
  if (!std::exchange(is_outdated_, false)) return;
  QuotaLeases::MemberTable registered;
  std::set<std::string> shut_down;
  for (const auto& [name, member] : context_.view.members()) {
    const MemberUpdate& update = member.update;
    if (is_registered(update.status)) registered[name] = {update.disk_id, update.zone};
    if (update.status == MemberStatus::left) shut_down.insert(name);
  }
  leases_.update_members(context_.now, registered, shut_down, context_.is_participating());
}

bool QuotaAdapter::take_unfenced_changed() {
  const std::size_t count = leases_.unfenced_count();
  return std::exchange(reported_unfenced_count_, count) != count;
}

std::uint64_t QuotaAdapter::add_announcements(Message& ping) const {
  std::size_t remaining = context_.settings.max_datagram_bytes / 2;
  for (const std::string& name : leases_.announced_names()) {
    const Member* member = context_.view.find(name);
    if (member == nullptr) continue;
    const std::size_t size = encoded_size(member->update);
    if (size > remaining) return 0;
    remaining -= size;
    ping.updates.push_back(member->update);
  }
  return leases_.announced_version();
}

void QuotaAdapter::fill_ack(Message& ack, const MemberUpdate& ping_sender) {
  refresh();
  const Member* member = context_.view.find(ping_sender.name);
  // Only the process that the table contains is counted, not another process of the same name or a forgotten
  // one.
  if (member != nullptr && member->update.disk_id == ping_sender.disk_id &&
      member->update.incarnation == ping_sender.incarnation) {
    ack.counted_disk = leases_.counted_disk_of(ping_sender.name);
  }
  ack.member_names_hash = leases_.member_names_hash();
  ack.confirmed = leases_.confirmed();
}

void QuotaAdapter::on_ack(const Message& ack, Time ping_sent, std::uint64_t announced_version) {
  leases_.on_ack(context_.now, {.from = ack.from.name,
                                .ping_sent = ping_sent,
                                .announced_version = announced_version,
                                .counted_disk = ack.counted_disk,
                                .member_names_hash = ack.member_names_hash,
                                .confirmed = ack.confirmed});
}

std::vector<MemberUpdate> QuotaAdapter::persistent_state() const {
  std::vector<MemberUpdate> state = context_.view.updates();
  for (const QuotaLeases::UnfencedHolder& holder : leases_.unfenced_holders()) {
    const Member* member = context_.view.find(holder.name);
    const bool is_in_table = member != nullptr && member->update.status == MemberStatus::forgotten &&
                             member->update.disk_id == holder.identity.disk;
    if (is_in_table) continue;
    state.push_back({.name = holder.name,
                     .address = context_.settings.address,  // not used, but must be valid
                     .disk_id = holder.identity.disk,
                     .incarnation = kHolderIncarnation,
                     .zone = holder.identity.zone,
                     .status = MemberStatus::forgotten});
  }
  return state;
}

bool QuotaAdapter::is_holder_only(const MemberUpdate& stored) {
  return stored.incarnation == kHolderIncarnation;
}

}  // namespace edge_proxy::membership
