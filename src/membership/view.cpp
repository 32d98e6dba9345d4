// SPDX-License-Identifier: MIT
#include "membership/view.h"

#include <algorithm>
#include <array>

#include "base/hash.h"

namespace edge_proxy::membership {
namespace {

std::uint64_t mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15U;
  x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9U;
  x = (x ^ (x >> 27U)) * 0x94d049bb133111ebU;
  return x ^ (x >> 31U);
}

std::uint64_t hash_of(const MemberUpdate& news) {
  const std::uint64_t hash = fnv1a(news.address, fnv1a(news.name));
  // A suspicion is no disagreement: it is either refuted or becomes a death.
  const MemberStatus state = news.status == MemberStatus::suspect ? MemberStatus::alive : news.status;
  return mix(hash ^ mix(news.disk_id ^ mix(news.incarnation ^ mix(static_cast<std::uint64_t>(state)))));
}

}  // namespace

std::string_view name_of(Reachability way) {
  static constexpr std::array<std::string_view, 5> names{"unknown", "direct", "through", "one_way", "none"};
  return names[static_cast<std::size_t>(way)];
}

std::string_view name_of(PartitionStatus standing) {
  static constexpr std::array<std::string_view, 4> names{"whole", "part", "alone", "disputed"};
  return names[static_cast<std::size_t>(standing)];
}

const Member* View::find(const std::string& name) const {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}
Member* View::find(const std::string& name) {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

bool View::has_no_room_for(const std::string& name) const {
  return members_.count(name) == 0 && registered_ >= max_members_;
}

View::Merged View::merge(const MemberUpdate& news, Time now) {
  Merged taken;
  if (has_no_room_for(news.name)) return taken;
  const auto found = members_.find(news.name);
  if (found == members_.end()) {
    Member member;
    member.update = news;
    member.status_since = now;
    if (news.status == MemberStatus::suspect)
      member.suspected_by.insert(news.reported_by), member.suspected_since = now;
    add_to_counts(member, 1);
    members_.emplace(news.name, std::move(member));
    if (!membership::is_registered(news.status)) add_tombstone(news.name);
    taken.result = MergeResult::changed;
    taken.is_new = true;
    return taken;
  }
  Member& member = found->second;
  const MemberUpdate before = member.update;
  if (precedence_of(news) < precedence_of(before)) return taken;
  if (precedence_of(news) == precedence_of(before)) {
    // Guards against two processes of one name that came to the same number at once: the greater disk stands
    // here as everywhere, and the other one is told by what comes back.
    if (news.disk_id != before.disk_id && news.disk_id < before.disk_id) return taken;
    if (news.disk_id == before.disk_id) {
      if (news.status == MemberStatus::suspect && before.status == MemberStatus::suspect) {
        if (news.reported_by.empty() || !member.suspected_by.insert(news.reported_by).second) return taken;
        taken.result = MergeResult::confirmation;
        return taken;
      }
      if (news.status <= before.status) return taken;
    }
  }
  add_to_counts(member, -1);
  member.update = news;
  if (news.address != before.address) taken.previous_address = before.address;
  if (news.disk_id != before.disk_id) taken.replaced = before;
  if (news.status != before.status || taken.replaced) {
    member.status_since = now;
    taken.previous_status = before.status;
  }
  member.suspected_by.clear();
  if (news.status == MemberStatus::suspect) {
    member.suspected_since = now;
    member.suspected_by.insert(news.reported_by);
  }
  if (news.status == MemberStatus::dead)
    member.reachability = Reachability::unreachable, member.reachability_since = now;
  add_to_counts(member, 1);
  if (!membership::is_registered(news.status) && membership::is_registered(before.status))
    add_tombstone(news.name);
  if (membership::is_registered(news.status) && !membership::is_registered(before.status))
    std::erase(tombstones_, news.name);
  taken.result = MergeResult::changed;
  return taken;
}

void View::add_to_counts(const Member& member, int sign) {
  ++revision_;
  const auto step = [sign](std::size_t& number) { sign > 0 ? ++number : --number; };
  if (membership::is_registered(member.update.status)) {
    step(registered_);
    // Marks of those that have gone are kept for a bounded time only, so they stay out of the digest.
    digest_ += sign > 0 ? hash_of(member.update) : ~hash_of(member.update) + 1;
  }
  if (is_reachable(member.update.status)) step(reachable_);
}

/// Guards the memory against names that come and go for ever: of those that have gone, the newest are kept.
void View::add_tombstone(const std::string& name) {
  tombstones_.push_back(name);
  if (tombstones_.size() <= max_members_) return;
  const std::string oldest = tombstones_.front();
  tombstones_.pop_front();
  members_.erase(oldest);
}

PartitionStatus View::partition_status() const {
  const Member* self = find(self_);
  if (self != nullptr && self->update.status == MemberStatus::disputed) return PartitionStatus::disputed;
  if (reachable_ * 2 > registered_) return PartitionStatus::majority;
  return reachable_ > 1 ? PartitionStatus::minority : PartitionStatus::isolated;
}

}  // namespace edge_proxy::membership
