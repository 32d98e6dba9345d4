// SPDX-License-Identifier: MIT
#include "peers/view.h"

#include <algorithm>
#include <array>

#include "hash.h"

namespace dahliahall::peers {
namespace {

std::uint64_t mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15U;
  x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9U;
  x = (x ^ (x >> 27U)) * 0x94d049bb133111ebU;
  return x ^ (x >> 31U);
}

std::uint64_t hash_of(const News& news) {
  const std::uint64_t hash = fnv1a(news.address, fnv1a(news.name));
  // A suspicion is no disagreement: it is either refuted or becomes a death.
  const Liveness state = news.state == Liveness::suspect ? Liveness::alive : news.state;
  return mix(hash ^ mix(news.disk ^ mix(news.incarnation ^ mix(static_cast<std::uint64_t>(state)))));
}

}  // namespace

std::string_view name_of(Way way) {
  static constexpr std::array<std::string_view, 5> names{"unknown", "direct", "through", "one_way", "none"};
  return names[static_cast<std::size_t>(way)];
}

std::string_view name_of(Standing standing) {
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

bool View::full(const std::string& name) const { return members_.count(name) == 0 && registered_ >= most_; }

View::Taken View::take(const News& news, Time now) {
  Taken taken;
  if (full(news.name)) return taken;
  const auto found = members_.find(news.name);
  if (found == members_.end()) {
    Member member;
    member.news = news;
    member.since = now;
    if (news.state == Liveness::suspect) member.by.insert(news.by), member.suspected = now;
    count(member, 1);
    members_.emplace(news.name, std::move(member));
    if (!peers::registered(news.state)) bury(news.name);
    taken.fate = Fate::news;
    taken.first = true;
    return taken;
  }
  Member& member = found->second;
  const News before = member.news;
  if (age_of(news) < age_of(before)) return taken;
  if (age_of(news) == age_of(before)) {
    // Guards against two processes of one name that came to the same number at once: the greater disk stands
    // here as everywhere, and the other one is told by what comes back.
    if (news.disk != before.disk && news.disk < before.disk) return taken;
    if (news.disk == before.disk) {
      if (news.state == Liveness::suspect && before.state == Liveness::suspect) {
        if (news.by.empty() || !member.by.insert(news.by).second) return taken;
        taken.fate = Fate::confirms;
        return taken;
      }
      if (news.state <= before.state) return taken;
    }
  }
  count(member, -1);
  member.news = news;
  if (news.address != before.address) taken.moved = before.address;
  if (news.disk != before.disk) taken.replaced = before;
  if (news.state != before.state || taken.replaced) {
    member.since = now;
    taken.before = before.state;
  }
  member.by.clear();
  if (news.state == Liveness::suspect) {
    member.suspected = now;
    member.by.insert(news.by);
  }
  if (news.state == Liveness::dead) member.way = Way::none, member.way_since = now;
  count(member, 1);
  if (!peers::registered(news.state) && peers::registered(before.state)) bury(news.name);
  if (peers::registered(news.state) && !peers::registered(before.state)) std::erase(gone_, news.name);
  taken.fate = Fate::news;
  return taken;
}

void View::count(const Member& member, int sign) {
  ++revision_;
  const auto step = [sign](std::size_t& number) { sign > 0 ? ++number : --number; };
  if (peers::registered(member.news.state)) {
    step(registered_);
    // Marks of those that have gone are kept for a bounded time only, so they stay out of the digest.
    digest_ += sign > 0 ? hash_of(member.news) : ~hash_of(member.news) + 1;
  }
  if (reachable(member.news.state)) step(reached_);
}

/// Guards the memory against names that come and go for ever: of those that have gone, the newest are kept.
void View::bury(const std::string& name) {
  gone_.push_back(name);
  if (gone_.size() <= most_) return;
  const std::string oldest = gone_.front();
  gone_.pop_front();
  members_.erase(oldest);
}

Standing View::standing() const {
  const Member* self = find(self_);
  if (self != nullptr && self->news.state == Liveness::disputed) return Standing::disputed;
  if (reached_ * 2 > registered_) return Standing::whole;
  return reached_ > 1 ? Standing::part : Standing::alone;
}

}  // namespace dahliahall::peers
