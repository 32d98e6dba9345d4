// SPDX-License-Identifier: MIT
#include "admission/quota_leases.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace edge_proxy::admission {
namespace {

/// The holder ends its lease this much earlier: what was decided by then has gone out by its end.
constexpr std::chrono::milliseconds kMargin{500};

std::uint64_t hash_of(const std::string& name) { return fnv1a(name) * 0x9e3779b97f4a7c15U; }

}  // namespace

QuotaLeases::QuotaLeases(Settings settings, Time confirmed_not_before,
                         const std::vector<UnfencedHolder>& unfenced)
    : settings_(std::move(settings)), confirmed_not_before_(confirmed_not_before) {
  for (const UnfencedHolder& ghost : unfenced) track_unfenced(ghost);
}

QuotaLeases::Time QuotaLeases::lease_expiry_bound(Time lease, double drift) {
  return std::chrono::duration_cast<Time>(std::chrono::duration<double, std::micro>(lease) * (1 + 2 * drift));
}

void QuotaLeases::track_unfenced(UnfencedHolder ghost) {
  const auto same = [&ghost](const UnfencedRecord& h) { return h.holder == ghost; };
  if (std::any_of(unfenced_.begin(), unfenced_.end(), same)) return;
  // Guards the memory against a name whose disk is new again and again while somebody is missing. Who has
  // heard of the newest one renews none of those before any more, so its end is theirs as well.
  if (ghost.replaced) {
    std::erase_if(unfenced_, [&ghost](const UnfencedRecord& h) {
      return h.holder.replaced && h.holder.name == ghost.name;
    });
  }
  unfenced_.push_back({std::move(ghost), ++announced_version_, {}, {}, Time{0}});
}

void QuotaLeases::drop_unfenced(const std::string& name) {
  counted_by_members_.erase(name);
  renewed_at_.erase(name);
}

void QuotaLeases::update_members(Time now, const MemberTable& roster,
                                 const std::set<std::string>& gone_in_order, bool takes_part) {
  const auto before = std::exchange(members_, roster);
  member_names_hash_ = 0;
  for (const auto& [name, holder] : members_) member_names_hash_ += hash_of(name);
  for (const auto& [name, holder] : before) {
    const auto is = members_.find(name);
    if (is != members_.end() && is->second.disk == holder.disk) continue;
    drop_unfenced(name);
    if (name == settings_.name) continue;
    if (is != members_.end()) {
      track_unfenced({name, holder, true});
    } else if (gone_in_order.count(name) == 0) {
      track_unfenced({name, holder, false});
    }
  }
  // One that was forgotten and lives has heard so by the time it joins anew, and has stopped.
  std::erase_if(unfenced_, [&](const UnfencedRecord& h) {
    const auto is = members_.find(h.holder.name);
    return !h.holder.replaced && is != members_.end() && is->second.disk == h.holder.identity.disk;
  });
  participates_ = takes_part;
  if (!takes_part) on_forgotten();
  update(now);
}

void QuotaLeases::on_forgotten() {
  confirmed_ = false;
  counted_by_members_.clear();
  renewed_at_.clear();
}

void QuotaLeases::update_members(Time now, const QuotaAck& acked) {
  const auto self = members_.find(settings_.name);
  if (self == members_.end() || members_.count(acked.from) == 0 || acked.from == settings_.name) return;
  for (UnfencedRecord& h : unfenced_) {
    if (acked.announced_version < h.announced_in) continue;
    h.heard_by.insert(acked.from);
    if (acked.confirmed) h.heard_by_confirmed.insert(acked.from);
  }
  if (acked.counted_disk == self->second.disk) {
    if (acked.member_names_hash == member_names_hash_) counted_by_members_.insert(acked.from);
    if (acked.confirmed) renewed_at_[acked.from] = std::max(renewed_at_[acked.from], acked.ping_sent);
  }
  update(now);
}

void QuotaLeases::update(Time now) {
  for (UnfencedRecord& h : unfenced_) {
    // Itself and the one whose name it is are the only ones that need not have heard: with fewer it is not
    // worth to look at each, as at each answer in a fleet of many with ghosts.
    if (h.fenced_at > Time{0} || h.heard_by.size() + 2 < members_.size()) continue;
    std::size_t sure = confirmed_ ? 1 : 0;
    const bool all = std::all_of(members_.begin(), members_.end(), [&](const auto& member) {
      return member.first == settings_.name || member.first == h.holder.name ||
             h.heard_by.count(member.first) != 0;
    });
    for (const std::string& name : h.heard_by_confirmed) sure += members_.count(name);
    // Guards against a smaller side that forgets a larger one: that one goes on renewing its own leases.
    if (!all || sure * 2 < counted_members()) continue;
    h.fenced_at = now + lease_expiry_bound(settings_.lease, settings_.max_clock_drift);
  }
  std::erase_if(unfenced_,
                [now](const UnfencedRecord& h) { return h.fenced_at > Time{0} && h.fenced_at <= now; });
  if (confirmed_ || !participates_ || now < confirmed_not_before_) return;
  // All others: those in `counted_by_` are registered, and itself is not among them.
  const bool all = counted_by_members_.size() + 1 == members_.size() && members_.count(settings_.name) != 0;
  // Guards against halves of a new fleet that never met: each would take the whole for its own.
  confirmed_ = all && members_.size() * 2 > settings_.expected_members;
}

std::size_t QuotaLeases::unregistered_unfenced() const {
  return static_cast<std::size_t>(std::count_if(unfenced_.begin(), unfenced_.end(),
                                                [](const UnfencedRecord& h) { return !h.holder.replaced; }));
}

QuotaLeases::QuotaShare QuotaLeases::share(Time now) const {
  const std::size_t all = std::max<std::size_t>(1, counted_members());
  const auto self = members_.find(settings_.name);
  // More than half, itself one of them, renew it: the least recent of the newest that make up that many.
  Time until = Time::max();
  if (const std::size_t others = all / 2; others > 0) {
    std::vector<Time> renewed;
    for (const auto& [name, sent] : renewed_at_) renewed.push_back(sent);
    std::sort(renewed.rbegin(), renewed.rend());
    until = renewed.size() < others ? Time{0} : renewed[others - 1] + settings_.lease - kMargin;
  }
  if (!confirmed_ || !participates_ || self == members_.end() || until <= now) {
    const double little = settings_.reserve_share / static_cast<double>(std::max(settings_.max_members, all));
    return {little, little, false, Time::max()};
  }
  std::size_t zone = 0;
  for (const auto& [name, holder] : members_) zone += holder.zone == self->second.zone ? 1 : 0;
  for (const UnfencedRecord& h : unfenced_)
    zone += !h.holder.replaced && h.holder.identity.zone == self->second.zone ? 1 : 0;
  return {(1 - settings_.reserve_share) / static_cast<double>(all),
          (1 - settings_.reserve_share) / static_cast<double>(std::max<std::size_t>(1, zone)), true, until};
}

std::uint64_t QuotaLeases::counted_disk_of(const std::string& name) const {
  const auto found = members_.find(name);
  if (found == members_.end()) return 0;
  // Another disk under a name is counted only once the one before has stopped for certain.
  const bool haunted = std::any_of(unfenced_.begin(), unfenced_.end(), [&name](const UnfencedRecord& h) {
    return h.holder.replaced && h.holder.name == name;
  });
  return haunted ? 0 : found->second.disk;
}

std::vector<QuotaLeases::UnfencedHolder> QuotaLeases::unfenced_holders() const {
  std::vector<UnfencedHolder> all;
  for (const UnfencedRecord& h : unfenced_) all.push_back(h.holder);
  return all;
}

std::vector<std::string> QuotaLeases::announced_names() const {
  std::vector<std::string> names;
  for (const UnfencedRecord& h : unfenced_) {
    if (h.fenced_at == Time{0}) names.push_back(h.holder.name);
  }
  return names;
}

}  // namespace edge_proxy::admission
