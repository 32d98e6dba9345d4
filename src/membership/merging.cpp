// SPDX-License-Identifier: MIT
// What the reducer makes of news: of others, of itself, and of views that differ.
#include <algorithm>
#include <cmath>

#include "membership/durations.h"
#include "membership/reducer.h"

namespace edge_proxy::membership {
namespace {

using namespace std::chrono_literals;

/// For so long after its start a proxy takes news of its own name for that of an earlier process.
constexpr Time kSettling = 5s;
/// A view that differs for this long is mended by a whole exchange; one such exchange in this time, longer
/// with more members.
constexpr Time kDiffersFor = 2s;
constexpr Time kMendEvery = 5s;
constexpr Time kMendEveryMember = 20ms;

}  // namespace

void State::merge(const MemberUpdate& news, const std::string& cause) {
  if (news.name == settings_.name) {
    refute(news);
    return;
  }
  if (view_.has_no_room_for(news.name)) {
    ++counters_.table_full;
    return;
  }
  const View::Merged taken = view_.merge(news, now_);
  if (taken.result == View::MergeResult::outdated) return;
  Member& member = *view_.find(news.name);
  if (taken.result == View::MergeResult::confirmation) {
    // More than these shorten nothing: passing them on would only cost.
    if (member.suspected_by.size() <= static_cast<std::size_t>(settings_.max_confirmations) + 1)
      broadcasts_.enqueue(news);
    set_suspicion_deadline(member);
    return;
  }
  broadcasts_.enqueue(news);
  on_status_change(taken, member, cause);
}

void State::on_status_change(const View::Merged& taken, const Member& member, const std::string& cause) {
  const MemberUpdate& news = member.update;
  Member& found = *view_.find(news.name);
  suspicion_deadlines_.erase({found.suspicion_deadline, news.name});
  if (news.status == MemberStatus::suspect) set_suspicion_deadline(found);
  if (!is_reachable(news.status)) other_view_since_.erase(news.name);
  const bool was_reached = taken.previous_status && is_reachable(*taken.previous_status) && !taken.replaced;
  if (is_reachable(news.status) && (taken.is_new || (taken.previous_status && !was_reached))) {
    const std::size_t place = probe_order_.empty() ? 0 : random_() % (probe_order_.size() + 1);
    probe_order_.insert(probe_order_.begin() + static_cast<std::ptrdiff_t>(place), news.name);
    if (place < probe_index_) ++probe_index_;
  }
  const bool registers =
      taken.is_new || taken.replaced || taken.previous_address ||
      (taken.previous_status && is_registered(*taken.previous_status) != is_registered(news.status));
  if (registers) {
    effects_.emplace_back(PersistState{});
    quota_outdated_ = true;
  }
  if (taken.replaced)
    log("peer replaced name=" + news.name + " disk=" + std::to_string(news.disk_id) +
        " before=" + std::to_string(taken.replaced->disk_id) + ": what the one before held is gone");
  if (taken.previous_address)
    log("peer moved name=" + news.name + " address=" + news.address + " before=" + *taken.previous_address);
  if (taken.is_new || taken.previous_status) {
    std::string line = "peer name=" + news.name + " state=" + std::string(name_of(news.status)) + " before=" +
                       (taken.previous_status ? std::string(name_of(*taken.previous_status)) : "unknown") +
                       " incarnation=" + std::to_string(news.incarnation);
    if (!news.reported_by.empty()) line += " by=" + news.reported_by;
    log(line + " cause=" + cause);
  }
}

void State::refute(const MemberUpdate& news) {
  const MemberUpdate mine = self();
  if (has_left_ || precedence_of(news) < precedence_of(mine)) return;
  if (news.disk_id == mine.disk_id && !is_registered(news.status)) {
    // It hears that it was forgotten, maybe of a time before it refuted something: it joins anew, in a life
    // of its own, and nobody is bound by what was agreed with the one before.
    log("peers forgotten by=" + news.reported_by + ": joins again");
    quota_.on_forgotten();
    raise_incarnation(std::max(news.incarnation, mine.incarnation) | (kEpochStep - 1), MemberStatus::alive);
    return;
  }
  if (news.disk_id == mine.disk_id && news.incarnation == mine.incarnation) {
    if (news.status == mine.status) return;
    if (news.status == MemberStatus::alive) {
      // Guards against two processes with one disk: only a start raises the incarnation, so an address that
      // is not from here is another process's.
      if (news.address == mine.address) return;
      raise_incarnation(news.incarnation, MemberStatus::disputed);
      return;
    }
    if (mine.status == MemberStatus::disputed) return;
    ++counters_.refutations;
    if (settings_.lifeguard) local_health(1);
    log("peers refuted state=" + std::string(name_of(news.status)) + " by=" + news.reported_by);
    raise_incarnation(news.incarnation, MemberStatus::alive);
    return;
  }
  if (news == mine) return;
  // Soon after its start this is what is left of an earlier process; later on another one uses the name now.
  const bool settling = now_ - started_at_ < kSettling;
  if (settling && mine.status != MemberStatus::disputed) {
    if (news.disk_id != mine.disk_id) log("peers name taken over disk=" + std::to_string(news.disk_id));
    raise_incarnation(news.incarnation + kEpochStep, MemberStatus::alive);
  } else if (mine.status != MemberStatus::disputed || news.status != MemberStatus::disputed) {
    raise_incarnation(news.incarnation, MemberStatus::disputed);
  }
}

/// Says anew what this proxy is, above that incarnation.
void State::raise_incarnation(std::uint64_t above, MemberStatus state) {
  MemberUpdate mine = self();
  const MemberStatus before = mine.status;
  mine.incarnation = above + 1;
  mine.status = state;
  mine.reported_by = state == MemberStatus::disputed ? settings_.name : "";
  view_.merge(mine, now_);
  broadcasts_.enqueue(mine);
  quota_outdated_ = true;
  if (state == MemberStatus::disputed && before != state) {
    probes_.clear();
    log("peers disputed: another process uses the name " + settings_.name +
        "; it takes no part until one of them is stopped and the other started again");
  }
  effects_.emplace_back(PersistState{});
}

void State::suspect(const std::string& name) {
  MemberUpdate news = view_.find(name)->update;
  news.status = MemberStatus::suspect;
  news.reported_by = settings_.name;
  ++counters_.suspected;
  merge(news, "no answer, neither to this proxy nor through others");
}

/// From the least, with enough independent confirmations or too few members for any, to `suspicion_most` of
/// it.
void State::set_suspicion_deadline(Member& member) {
  const Time least =
      std::max(settings_.min_suspicion_timeout,
               scaled(settings_.probe_interval, settings_.suspicion_factor * log_cluster_size()));
  Time span = least;
  const auto others = static_cast<int>(view_.reachable()) - 2;  // but this one and the suspect
  const int wanted = std::min(settings_.max_confirmations, others);
  if (settings_.lifeguard && wanted > 0) {
    const Time most = scaled(least, settings_.max_suspicion_multiple);
    const double part = std::log(static_cast<double>(member.suspected_by.size())) / std::log(wanted + 1.0);
    span = std::max(least, most - scaled(most - least, part));
  }
  suspicion_deadlines_.erase({member.suspicion_deadline, member.update.name});
  member.suspicion_deadline = member.suspected_since + span;
  suspicion_deadlines_.emplace(member.suspicion_deadline, member.update.name);
}

void State::set_reachability(Member& member, Reachability way) {
  if (member.reachability == way) return;
  const Reachability before = member.reachability;
  member.reachability = way;
  member.reachability_since = now_;
  if (before == Reachability::unknown && way == Reachability::direct) return;
  log("peer way name=" + member.update.name + " way=" + std::string(name_of(way)) +
      " before=" + std::string(name_of(before)));
}

/// Holds the sender's view against this one's.
void State::compare_digest(const Message& m) {
  if (m.digest == view_.digest()) {
    other_view_since_.erase(m.from.name);
    return;
  }
  const Time since = other_view_since_.try_emplace(m.from.name, now_).first->second;
  const Time least = kMendEvery + kMendEveryMember * static_cast<int>(view_.registered());
  if (now_ - since < kDiffersFor || now_ - last_full_sync_ < least || !is_participating()) return;
  full_sync_with(m.from.name);
}

}  // namespace edge_proxy::membership
