// SPDX-License-Identifier: MIT
#include "limits/shares.h"

#include <algorithm>
#include <utility>

#include "hash.h"

namespace dahliahall::limits {
namespace {

/// The holder ends its lease this much earlier: what was decided by then has gone out by its end.
constexpr std::chrono::milliseconds kMargin{500};

std::uint64_t hash_of(const std::string& name) { return fnv1a(name) * 0x9e3779b97f4a7c15U; }

}  // namespace

Shares::Shares(Settings settings, Time not_before, const std::vector<Ghost>& ghosts)
    : settings_(std::move(settings)), not_before_(not_before) {
  for (const Ghost& ghost : ghosts) haunt(ghost);
}

Shares::Time Shares::past(Time lease, double drift) {
  return std::chrono::duration_cast<Time>(std::chrono::duration<double, std::micro>(lease) * (1 + 2 * drift));
}

void Shares::haunt(Ghost ghost) {
  const auto same = [&ghost](const Haunting& h) { return h.ghost == ghost; };
  if (std::any_of(ghosts_.begin(), ghosts_.end(), same)) return;
  // Guards the memory against a name whose disk is new again and again while somebody is missing. Who has
  // heard of the newest one renews none of those before any more, so its end is theirs as well.
  if (ghost.replaced) {
    std::erase_if(ghosts_,
                  [&ghost](const Haunting& h) { return h.ghost.replaced && h.ghost.name == ghost.name; });
  }
  ghosts_.push_back({std::move(ghost), ++told_, {}, {}, Time{0}});
}

void Shares::drop(const std::string& name) {
  counted_by_.erase(name);
  renewed_.erase(name);
}

void Shares::take(Time now, const Roster& roster, const std::set<std::string>& gone_in_order,
                  bool takes_part) {
  const auto before = std::exchange(roster_, roster);
  names_ = 0;
  for (const auto& [name, holder] : roster_) names_ += hash_of(name);
  for (const auto& [name, holder] : before) {
    const auto is = roster_.find(name);
    if (is != roster_.end() && is->second.disk == holder.disk) continue;
    drop(name);
    if (name == settings_.name) continue;
    if (is != roster_.end()) {
      haunt({name, holder, true});
    } else if (gone_in_order.count(name) == 0) {
      haunt({name, holder, false});
    }
  }
  // One that was forgotten and lives has heard so by the time it joins anew, and has stopped.
  std::erase_if(ghosts_, [&](const Haunting& h) {
    const auto is = roster_.find(h.ghost.name);
    return !h.ghost.replaced && is != roster_.end() && is->second.disk == h.ghost.holder.disk;
  });
  takes_part_ = takes_part;
  if (!takes_part) forgotten();
  settle(now);
}

void Shares::forgotten() {
  sure_ = false;
  counted_by_.clear();
  renewed_.clear();
}

void Shares::take(Time now, const Acked& acked) {
  const auto self = roster_.find(settings_.name);
  if (self == roster_.end() || roster_.count(acked.by) == 0 || acked.by == settings_.name) return;
  for (Haunting& h : ghosts_) {
    if (acked.told < h.number) continue;
    h.heard.insert(acked.by);
    if (acked.sure) h.heard_sure.insert(acked.by);
  }
  if (acked.counts == self->second.disk) {
    if (acked.roster == names_) counted_by_.insert(acked.by);
    if (acked.sure) renewed_[acked.by] = std::max(renewed_[acked.by], acked.sent);
  }
  settle(now);
}

void Shares::settle(Time now) {
  for (Haunting& h : ghosts_) {
    // Itself and the one whose name it is are the only ones that need not have heard: with fewer it is not
    // worth to look at each, as at each answer in a fleet of many with ghosts.
    if (h.over > Time{0} || h.heard.size() + 2 < roster_.size()) continue;
    std::size_t sure = sure_ ? 1 : 0;
    const bool all = std::all_of(roster_.begin(), roster_.end(), [&](const auto& member) {
      return member.first == settings_.name || member.first == h.ghost.name ||
             h.heard.count(member.first) != 0;
    });
    for (const std::string& name : h.heard_sure) sure += roster_.count(name);
    // Guards against a smaller side that forgets a larger one: that one goes on renewing its own leases.
    if (!all || sure * 2 < counted()) continue;
    h.over = now + past(settings_.lease, settings_.drift);
  }
  std::erase_if(ghosts_, [now](const Haunting& h) { return h.over > Time{0} && h.over <= now; });
  if (sure_ || !takes_part_ || now < not_before_) return;
  // All others: those in `counted_by_` are registered, and itself is not among them.
  const bool all = counted_by_.size() + 1 == roster_.size() && roster_.count(settings_.name) != 0;
  // Guards against halves of a new fleet that never met: each would take the whole for its own.
  sure_ = all && roster_.size() * 2 > settings_.expected;
}

std::size_t Shares::unregistered_ghosts() const {
  return static_cast<std::size_t>(
      std::count_if(ghosts_.begin(), ghosts_.end(), [](const Haunting& h) { return !h.ghost.replaced; }));
}

Shares::Part Shares::part(Time now) const {
  const std::size_t all = std::max<std::size_t>(1, counted());
  const auto self = roster_.find(settings_.name);
  // More than half, itself one of them, renew it: the least recent of the newest that make up that many.
  Time until = Time::max();
  if (const std::size_t others = all / 2; others > 0) {
    std::vector<Time> renewed;
    for (const auto& [name, sent] : renewed_) renewed.push_back(sent);
    std::sort(renewed.rbegin(), renewed.rend());
    until = renewed.size() < others ? Time{0} : renewed[others - 1] + settings_.lease - kMargin;
  }
  if (!sure_ || !takes_part_ || self == roster_.end() || until <= now) {
    const double little = settings_.reserve / static_cast<double>(std::max(settings_.most, all));
    return {little, little, false, Time::max()};
  }
  std::size_t zone = 0;
  for (const auto& [name, holder] : roster_) zone += holder.zone == self->second.zone ? 1 : 0;
  for (const Haunting& h : ghosts_)
    zone += !h.ghost.replaced && h.ghost.holder.zone == self->second.zone ? 1 : 0;
  return {(1 - settings_.reserve) / static_cast<double>(all),
          (1 - settings_.reserve) / static_cast<double>(std::max<std::size_t>(1, zone)), true, until};
}

std::uint64_t Shares::counts(const std::string& name) const {
  const auto found = roster_.find(name);
  if (found == roster_.end()) return 0;
  // Another disk under a name is counted only once the one before has stopped for certain.
  const bool haunted = std::any_of(ghosts_.begin(), ghosts_.end(), [&name](const Haunting& h) {
    return h.ghost.replaced && h.ghost.name == name;
  });
  return haunted ? 0 : found->second.disk;
}

std::vector<Shares::Ghost> Shares::known_ghosts() const {
  std::vector<Ghost> all;
  for (const Haunting& h : ghosts_) all.push_back(h.ghost);
  return all;
}

std::vector<std::string> Shares::marks() const {
  std::vector<std::string> names;
  for (const Haunting& h : ghosts_) {
    if (h.over == Time{0}) names.push_back(h.ghost.name);
  }
  return names;
}

}  // namespace dahliahall::limits
