// SPDX-License-Identifier: MIT
// What the reducer makes of news: of others, of itself, and of views that differ.
#include <algorithm>
#include <cmath>

#include "peers/reducer.h"
#include "peers/spans.h"

namespace dahliahall::peers {
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

void State::merge(const News& news, const std::string& cause) {
  if (news.name == settings_.name) {
    merge_self(news);
    return;
  }
  if (view_.full(news.name)) {
    ++counts_.turned_away;
    return;
  }
  const View::Taken taken = view_.take(news, now_);
  if (taken.fate == View::Fate::old) return;
  Member& member = *view_.find(news.name);
  if (taken.fate == View::Fate::confirms) {
    // More than these shorten nothing: passing them on would only cost.
    if (member.by.size() <= static_cast<std::size_t>(settings_.confirmations) + 1) queue_.add(news);
    set_deadline(member);
    return;
  }
  queue_.add(news);
  follow_up(taken, member, cause);
}

void State::follow_up(const View::Taken& taken, const Member& member, const std::string& cause) {
  const News& news = member.news;
  Member& found = *view_.find(news.name);
  suspects_.erase({found.deadline, news.name});
  if (news.state == Liveness::suspect) set_deadline(found);
  if (!reachable(news.state)) differs_.erase(news.name);
  const bool was_reached = taken.before && reachable(*taken.before) && !taken.replaced;
  if (reachable(news.state) && (taken.first || (taken.before && !was_reached))) {
    const std::size_t place = order_.empty() ? 0 : random_() % (order_.size() + 1);
    order_.insert(order_.begin() + static_cast<std::ptrdiff_t>(place), news.name);
    if (place < turn_) ++turn_;
  }
  const bool registers = taken.first || taken.replaced || taken.moved ||
                         (taken.before && registered(*taken.before) != registered(news.state));
  if (registers) {
    effects_.emplace_back(Keep{});
    recount_ = true;
  }
  if (taken.replaced)
    log("peer replaced name=" + news.name + " disk=" + std::to_string(news.disk) +
        " before=" + std::to_string(taken.replaced->disk) + ": what the one before held is gone");
  if (taken.moved)
    log("peer moved name=" + news.name + " address=" + news.address + " before=" + *taken.moved);
  if (taken.first || taken.before) {
    std::string line = "peer name=" + news.name + " state=" + std::string(name_of(news.state)) +
                       " before=" + (taken.before ? std::string(name_of(*taken.before)) : "unknown") +
                       " incarnation=" + std::to_string(news.incarnation);
    if (!news.by.empty()) line += " by=" + news.by;
    log(line + " cause=" + cause);
  }
}

void State::merge_self(const News& news) {
  const News mine = self();
  if (left_ || age_of(news) < age_of(mine)) return;
  if (news.disk == mine.disk && !registered(news.state)) {
    // It hears that it was forgotten, maybe of a time before it refuted something: it joins anew, in a life
    // of its own, and nobody is bound by what was agreed with the one before.
    log("peers forgotten by=" + news.by + ": joins again");
    shares_.on_forgotten();
    raise(std::max(news.incarnation, mine.incarnation) | (kLife - 1), Liveness::alive);
    return;
  }
  if (news.disk == mine.disk && news.incarnation == mine.incarnation) {
    if (news.state == mine.state) return;
    if (news.state == Liveness::alive) {
      // Guards against two processes with one disk: only a start raises the incarnation, so an address that
      // is not from here is another process's.
      if (news.address == mine.address) return;
      raise(news.incarnation, Liveness::disputed);
      return;
    }
    if (mine.state == Liveness::disputed) return;
    ++counts_.refuted;
    if (settings_.lifeguard) doubt(1);
    log("peers refuted state=" + std::string(name_of(news.state)) + " by=" + news.by);
    raise(news.incarnation, Liveness::alive);
    return;
  }
  if (news == mine) return;
  // Soon after its start this is what is left of an earlier process; later on another one uses the name now.
  const bool settling = now_ - started_ < kSettling;
  if (settling && mine.state != Liveness::disputed) {
    if (news.disk != mine.disk) log("peers name taken over disk=" + std::to_string(news.disk));
    raise(news.incarnation + kLife, Liveness::alive);
  } else if (mine.state != Liveness::disputed || news.state != Liveness::disputed) {
    raise(news.incarnation, Liveness::disputed);
  }
}

/// Says anew what this proxy is, above that incarnation.
void State::raise(std::uint64_t above, Liveness state) {
  News mine = self();
  const Liveness before = mine.state;
  mine.incarnation = above + 1;
  mine.state = state;
  mine.by = state == Liveness::disputed ? settings_.name : "";
  view_.take(mine, now_);
  queue_.add(mine);
  recount_ = true;
  if (state == Liveness::disputed && before != state) {
    probes_.clear();
    log("peers disputed: another process uses the name " + settings_.name +
        "; it takes no part until one of them is stopped and the other started again");
  }
  effects_.emplace_back(Keep{});
}

void State::suspect(const std::string& name) {
  News news = view_.find(name)->news;
  news.state = Liveness::suspect;
  news.by = settings_.name;
  ++counts_.suspected;
  merge(news, "no answer, neither to this proxy nor through others");
}

/// From the least, with enough independent confirmations or too few members for any, to `suspicion_most` of
/// it.
void State::set_deadline(Member& member) {
  const Time least = std::max(settings_.suspicion_least,
                              times(settings_.probe_every, settings_.suspicion_factor * spread()));
  Time span = least;
  const auto others = static_cast<int>(view_.reached()) - 2;  // but this one and the suspect
  const int wanted = std::min(settings_.confirmations, others);
  if (settings_.lifeguard && wanted > 0) {
    const Time most = times(least, settings_.suspicion_most);
    const double part = std::log(static_cast<double>(member.by.size())) / std::log(wanted + 1.0);
    span = std::max(least, most - times(most - least, part));
  }
  suspects_.erase({member.deadline, member.news.name});
  member.deadline = member.suspected + span;
  suspects_.emplace(member.deadline, member.news.name);
}

void State::set_way(Member& member, Way way) {
  if (member.way == way) return;
  const Way before = member.way;
  member.way = way;
  member.way_since = now_;
  if (before == Way::unknown && way == Way::direct) return;
  log("peer way name=" + member.news.name + " way=" + std::string(name_of(way)) +
      " before=" + std::string(name_of(before)));
}

/// Holds the sender's view against this one's.
void State::compare(const Message& m) {
  if (m.digest == view_.digest()) {
    differs_.erase(m.from.name);
    return;
  }
  const Time since = differs_.try_emplace(m.from.name, now_).first->second;
  const Time least = kMendEvery + kMendEveryMember * static_cast<int>(view_.registered());
  if (now_ - since < kDiffersFor || now_ - exchanged_ < least || !takes_part()) return;
  exchange_with(m.from.name);
}

}  // namespace dahliahall::peers
