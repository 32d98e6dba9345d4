// SPDX-License-Identifier: MIT
#include "admission/quota_leases.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace edge_proxy::admission {
namespace {

/// A holder stops using its lease this long before its end, so that requests admitted under the lease have
/// been sent by then.
constexpr std::chrono::milliseconds kLeaseMargin{500};

/// 2^64 divided by the golden ratio: spreads the sum of the name hashes over all bits.
constexpr std::uint64_t kHashMultiplier = 0x9e3779b97f4a7c15U;

std::uint64_t hash_of(const std::string& name) { return fnv1a(name) * kHashMultiplier; }

std::uint64_t hash_of_names(const QuotaLeases::MemberTable& members) {
  std::uint64_t hash = 0;
  for (const auto& [name, identity] : members) hash += hash_of(name);
  return hash;
}

}  // namespace

QuotaLeases::QuotaLeases(Settings settings, Time confirmed_not_before,
                         const std::vector<UnfencedHolder>& unfenced)
    : settings_(std::move(settings)), confirmed_not_before_(confirmed_not_before) {
  for (const UnfencedHolder& holder : unfenced) track_unfenced(holder);
}

QuotaLeases::Time QuotaLeases::lease_expiry_bound(Time lease, double drift) {
  return std::chrono::duration_cast<Time>(std::chrono::duration<double, std::micro>(lease) * (1 + 2 * drift));
}

// ---- Registered members and unfenced holders ----

void QuotaLeases::update_members(Time now, const MemberTable& members, const std::set<std::string>& shut_down,
                                 bool participates) {
  const MemberTable before = std::exchange(members_, members);
  member_names_hash_ = hash_of_names(members_);
  track_departed(before, shut_down);
  drop_rejoined_holders();
  participates_ = participates;
  if (!participates) on_forgotten();
  update_state(now);
}

/// Members of `before` that are now missing or replaced may still use their leases, unless they shut down.
void QuotaLeases::track_departed(const MemberTable& before, const std::set<std::string>& shut_down) {
  for (const auto& [name, identity] : before) {
    const auto current = members_.find(name);
    const bool is_registered = current != members_.end();
    if (is_registered && current->second.disk == identity.disk) continue;
    drop_acks_of(name);
    if (name == settings_.name) continue;
    if (is_registered) {
      track_unfenced({name, identity, true});
    } else if (!shut_down.contains(name)) {
      track_unfenced({name, identity, false});
    }
  }
}

void QuotaLeases::track_unfenced(UnfencedHolder holder) {
  const auto is_same = [&holder](const UnfencedRecord& record) { return record.holder == holder; };
  if (std::any_of(unfenced_.begin(), unfenced_.end(), is_same)) return;
  // Only the newest replaced holder of a name is kept, so that memory stays bounded if a disk is replaced
  // again and again while a member is missing. A member that has acknowledged the newest holder does not
  // renew the earlier ones either, so all of them are fenced together.
  if (holder.replaced) {
    std::erase_if(unfenced_, [&holder](const UnfencedRecord& record) {
      return record.holder.replaced && record.holder.name == holder.name;
    });
  }
  unfenced_.push_back({std::move(holder), ++announced_version_, {}, {}, Time{0}});
}

/// A forgotten member that still runs learns of it and stops using its share before it rejoins.
void QuotaLeases::drop_rejoined_holders() {
  std::erase_if(unfenced_, [this](const UnfencedRecord& record) {
    if (record.holder.replaced) return false;
    const auto current = members_.find(record.holder.name);
    return current != members_.end() && current->second.disk == record.holder.identity.disk;
  });
}

void QuotaLeases::drop_acks_of(const std::string& name) {
  counted_by_.erase(name);
  renewed_at_.erase(name);
}

void QuotaLeases::on_forgotten() {
  confirmed_ = false;
  counted_by_.clear();
  renewed_at_.clear();
}

// ---- Acknowledgements, confirmation and fencing ----

void QuotaLeases::on_ack(Time now, const QuotaAck& ack) {
  const auto self = members_.find(settings_.name);
  if (self == members_.end() || !members_.contains(ack.from) || ack.from == settings_.name) return;
  for (UnfencedRecord& record : unfenced_) {
    if (ack.announced_version < record.announced_in) continue;
    record.acknowledged_by.insert(ack.from);
    if (ack.confirmed) record.acknowledged_by_confirmed.insert(ack.from);
  }
  if (ack.counted_disk == self->second.disk) {
    if (ack.member_names_hash == member_names_hash_) counted_by_.insert(ack.from);
    if (ack.confirmed) renewed_at_[ack.from] = std::max(renewed_at_[ack.from], ack.ping_sent);
  }
  update_state(now);
}

void QuotaLeases::update_state(Time now) {
  schedule_fencing(now);
  drop_fenced(now);
  update_confirmation(now);
}

/// Sets the time at which a holder is fenced, once enough members have acknowledged that they no longer renew
/// its lease.
void QuotaLeases::schedule_fencing(Time now) {
  for (UnfencedRecord& record : unfenced_) {
    if (record.fenced_at > Time{0} || !acknowledged_by_all(record)) continue;
    // A minority that forgets the majority must not fence it, since the majority continues to renew its own
    // leases.
    if (confirmed_acknowledgements(record) * 2 < counted_members()) continue;
    record.fenced_at = now + lease_expiry_bound(settings_.lease, settings_.max_clock_drift);
  }
}

bool QuotaLeases::acknowledged_by_all(const UnfencedRecord& record) const {
  // Only this member and the one that has the holder's name do not have to acknowledge. Comparing the sizes
  // first avoids the search below for each ack in a large cluster with many holders.
  if (record.acknowledged_by.size() + 2 < members_.size()) return false;
  return std::all_of(members_.begin(), members_.end(), [&](const auto& member) {
    return member.first == settings_.name || member.first == record.holder.name ||
           record.acknowledged_by.contains(member.first);
  });
}

/// Number of registered confirmed members that acknowledged the holder, including this one.
std::size_t QuotaLeases::confirmed_acknowledgements(const UnfencedRecord& record) const {
  std::size_t count = confirmed_ ? 1 : 0;
  for (const std::string& name : record.acknowledged_by_confirmed) count += members_.count(name);
  return count;
}

void QuotaLeases::drop_fenced(Time now) {
  std::erase_if(unfenced_, [now](const UnfencedRecord& record) {
    return record.fenced_at > Time{0} && record.fenced_at <= now;
  });
}

void QuotaLeases::update_confirmation(Time now) {
  if (confirmed_ || !participates_ || now < confirmed_not_before_) return;
  // `counted_by_` contains only registered members other than this one, so comparing the sizes is sufficient.
  const bool counted_by_all = counted_by_.size() + 1 == members_.size() && members_.contains(settings_.name);
  // Requires a majority of the expected size: otherwise two halves of a new cluster that have not met would
  // each use the whole budget.
  confirmed_ = counted_by_all && members_.size() * 2 > settings_.expected_members;
}

// ---- Share of the budget ----

QuotaLeases::QuotaShare QuotaLeases::share(Time now) const {
  const std::size_t counted = std::max<std::size_t>(1, counted_members());
  const auto self = members_.find(settings_.name);
  const Time expires_at = lease_end(counted);
  if (!confirmed_ || !participates_ || self == members_.end() || expires_at <= now) {
    return reserve_share(counted);
  }
  const std::size_t in_zone = std::max<std::size_t>(1, counted_members_in_zone(self->second.zone));
  return {(1 - settings_.reserve_share) / static_cast<double>(counted),
          (1 - settings_.reserve_share) / static_cast<double>(in_zone), true, expires_at};
}

/// When the lease ends unless a majority of `counted`, including this member, renews it. 0: a majority has
/// never renewed it. Time::max(): no other member is needed.
QuotaLeases::Time QuotaLeases::lease_end(std::size_t counted) const {
  const std::size_t others_needed = counted / 2;
  if (others_needed == 0) return Time::max();
  if (renewed_at_.size() < others_needed) return Time{0};
  std::vector<Time> renewals;
  for (const auto& [name, sent_at] : renewed_at_) renewals.push_back(sent_at);
  std::sort(renewals.rbegin(), renewals.rend());
  return renewals[others_needed - 1] + settings_.lease - kLeaseMargin;
}

/// An equal fraction of the reserve, regardless of how many members have no lease.
QuotaLeases::QuotaShare QuotaLeases::reserve_share(std::size_t counted) const {
  const std::size_t member_capacity = std::max(settings_.max_members, counted);
  const double fraction = settings_.reserve_share / static_cast<double>(member_capacity);
  return {fraction, fraction, false, Time::max()};
}

std::size_t QuotaLeases::unregistered_holders() const {
  return static_cast<std::size_t>(
      std::count_if(unfenced_.begin(), unfenced_.end(),
                    [](const UnfencedRecord& record) { return !record.holder.replaced; }));
}

std::size_t QuotaLeases::counted_members_in_zone(int zone) const {
  std::size_t count = 0;
  for (const auto& [name, identity] : members_) count += identity.zone == zone ? 1 : 0;
  for (const UnfencedRecord& record : unfenced_) {
    count += !record.holder.replaced && record.holder.identity.zone == zone ? 1 : 0;
  }
  return count;
}

// ---- Data for other members and for the next process ----

std::uint64_t QuotaLeases::counted_disk_of(const std::string& name) const {
  const auto found = members_.find(name);
  // The new disk of a name is counted only after the previous holder is fenced.
  if (found == members_.end() || is_replaced_holder_unfenced(name)) return 0;
  return found->second.disk;
}

bool QuotaLeases::is_replaced_holder_unfenced(const std::string& name) const {
  return std::any_of(unfenced_.begin(), unfenced_.end(), [&name](const UnfencedRecord& record) {
    return record.holder.replaced && record.holder.name == name;
  });
}

std::vector<QuotaLeases::UnfencedHolder> QuotaLeases::unfenced_holders() const {
  std::vector<UnfencedHolder> holders;
  for (const UnfencedRecord& record : unfenced_) holders.push_back(record.holder);
  return holders;
}

std::vector<std::string> QuotaLeases::announced_names() const {
  std::vector<std::string> names;
  for (const UnfencedRecord& record : unfenced_) {
    if (record.fenced_at == Time{0}) names.push_back(record.holder.name);
  }
  return names;
}

}  // namespace edge_proxy::admission
