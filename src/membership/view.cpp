// SPDX-License-Identifier: MIT
#include "membership/view.h"

#include <algorithm>
#include <array>
#include <utility>

#include "base/hash.h"

namespace edge_proxy::membership {
namespace {

/// The finalizer of splitmix64.
std::uint64_t mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15U;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

std::uint64_t hash_of(const MemberUpdate& update) {
  const std::uint64_t hash = fnv1a(update.address, fnv1a(update.name));
  // A suspicion is not counted as a difference, since it soon ends by a refutation or a declared death.
  const MemberStatus status = update.status == MemberStatus::suspect ? MemberStatus::alive : update.status;
  return mix(hash ^ mix(update.disk_id ^ mix(update.incarnation ^ mix(static_cast<std::uint64_t>(status)))));
}

bool is_suspicion_of_suspect(const MemberUpdate& update, const MemberUpdate& known) {
  return update.status == MemberStatus::suspect && known.status == MemberStatus::suspect &&
         update.disk_id == known.disk_id && precedence_of(update) == precedence_of(known);
}

bool is_outdated(const MemberUpdate& update, const MemberUpdate& known) {
  if (precedence_of(update) != precedence_of(known)) return precedence_of(update) < precedence_of(known);
  // Two processes of one name can reach the same incarnation. All members then keep the one with the greater
  // disk id, and the other process learns of it from their replies.
  if (update.disk_id != known.disk_id) return update.disk_id < known.disk_id;
  return update.status <= known.status;
}

/// Resets the fields that depend on the status, after the member's update was replaced.
void start_status(Member& member, Time now) {
  const MemberUpdate& update = member.update;
  member.suspected_by.clear();
  if (update.status == MemberStatus::suspect) {
    member.suspected_since = now;
    member.suspected_by.insert(update.reported_by);
  }
}

}  // namespace

std::string_view name_of(Reachability reachability) {
  static constexpr std::array<std::string_view, 5> kNames{"unknown", "direct", "through", "one_way", "none"};
  return kNames[static_cast<std::size_t>(reachability)];
}

std::string_view name_of(PartitionStatus status) {
  static constexpr std::array<std::string_view, 4> kNames{"whole", "part", "alone", "disputed"};
  return kNames[static_cast<std::size_t>(status)];
}

const Member* View::find(const std::string& name) const {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

Member* View::find(const std::string& name) {
  const auto found = members_.find(name);
  return found == members_.end() ? nullptr : &found->second;
}

std::vector<MemberUpdate> View::updates() const {
  std::vector<MemberUpdate> all_updates;
  all_updates.reserve(members_.size());
  for (const auto& [name, member] : members_) all_updates.push_back(member.update);
  return all_updates;
}

bool View::has_no_room_for(const std::string& name) const {
  return !members_.contains(name) && registered_ >= max_members_;
}

View::Merged View::merge(const MemberUpdate& update, Time now) {
  if (has_no_room_for(update.name)) return {};
  Member* member = find(update.name);
  if (member == nullptr) return add(update, now);
  if (is_suspicion_of_suspect(update, member->update)) {
    const bool is_new_reporter =
        !update.reported_by.empty() && member->suspected_by.insert(update.reported_by).second;
    return {.result = is_new_reporter ? MergeResult::confirmation : MergeResult::outdated};
  }
  if (is_outdated(update, member->update)) return {};
  return replace(*member, update, now);
}

View::Merged View::add(const MemberUpdate& update, Time now) {
  Member member;
  member.update = update;
  member.status_since = now;
  start_status(member, now);
  include_in_totals(member);
  members_.emplace(update.name, std::move(member));
  if (!is_registered(update.status)) add_tombstone(update.name);
  return {.result = MergeResult::changed, .is_new = true};
}

View::Merged View::replace(Member& member, const MemberUpdate& update, Time now) {
  Merged merged{.result = MergeResult::changed};
  exclude_from_totals(member);
  const MemberUpdate before = std::exchange(member.update, update);
  if (update.address != before.address) merged.previous_address = before.address;
  if (update.disk_id != before.disk_id) merged.replaced = before;
  if (update.status != before.status || merged.replaced) {
    member.status_since = now;
    merged.previous_status = before.status;
  }
  start_status(member, now);
  if (update.status == MemberStatus::dead) {
    member.reachability = Reachability::unreachable;
    member.reachability_since = now;
  }
  include_in_totals(member);
  const bool was_registered = is_registered(before.status);
  if (was_registered && !is_registered(update.status)) add_tombstone(update.name);
  if (!was_registered && is_registered(update.status)) std::erase(tombstones_, update.name);
  return merged;
}

// The digest is a sum, so that the order of updates does not matter. It excludes tombstones, since they are
// kept for a limited time only.

void View::include_in_totals(const Member& member) {
  ++revision_;
  if (is_registered(member.update.status)) {
    ++registered_;
    digest_ += hash_of(member.update);
  }
  if (is_reachable(member.update.status)) ++reachable_;
}

void View::exclude_from_totals(const Member& member) {
  ++revision_;
  if (is_registered(member.update.status)) {
    --registered_;
    digest_ -= hash_of(member.update);
  }
  if (is_reachable(member.update.status)) --reachable_;
}

/// Only the newest tombstones are kept, so that memory stays bounded when names come and go without end.
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
