// SPDX-License-Identifier: MIT
// The figures of docs/membership.md in virtual time: membership_figures known|loss|traffic|churn|zone|third
// MEMBERS [PLAYS]
#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <string>

#include "support/membership_world.h"

namespace {

using namespace std::chrono_literals;
using edge_proxy::membership::MemberStatus;
using edge_proxy::test::MembershipWorld;

double seconds(MembershipWorld::Time span) { return std::chrono::duration<double>(span).count(); }

/// The baseline: every member sends a heartbeat to all others each second and takes one for dead that has
/// sent none for `dead_after` seconds. Returns the time, computed from random draws alone, until all know of
/// a death: nothing spreads, each finds out by itself.
double heartbeat_detection_time(std::size_t members, double dead_after, std::mt19937_64& random) {
  std::uniform_real_distribution<> phase(0, 1);
  const double last_heartbeat = -phase(random);  // before the death, at 0
  double known = 0;
  for (std::size_t i = 1; i < members; ++i) {
    // Checked each 0.1 s.
    const double due = last_heartbeat + dead_after;
    known = std::max(known, due + 0.1 * phase(random));
  }
  return known;
}

void known(std::size_t members, int runs) {
  std::vector<double> spans, beats;
  std::mt19937_64 random(11);
  for (int run = 0; run < runs;) {
    const auto world = MembershipWorld::settled(members, 100 + static_cast<std::uint64_t>(run));
    world->logs = false;
    world->run(2s);
    // Some kills in one world, one after another: each starts from a quiet fleet.
    for (int kill = 0; kill < 10 && run < runs; ++kill, ++run) {
      const std::size_t member = (static_cast<std::size_t>(run) * 7 + 3) % members;
      if (!world->node(member).state) continue;
      world->run(std::chrono::milliseconds(random() % 1000));
      world->kill(member);
      const auto took =
          world->until([&] { return world->all_believe(member, MemberStatus::dead); }, 60s, 10ms);
      spans.push_back(took ? seconds(*took) : 60);
      beats.push_back(heartbeat_detection_time(members, 3, random));
      world->start(member, false);
      world->run(4s);
    }
  }
  for (const auto& [what, all] :
       {std::pair{"swim", &spans}, std::pair{"heartbeat, 1 s, dead after 3 s", &beats}}) {
    std::sort(all->begin(), all->end());
    const auto at = [all = all](double part) {
      return (
          *all)[std::min(all->size() - 1, static_cast<std::size_t>(part * static_cast<double>(all->size())))];
    };
    std::printf("known members=%zu plays=%zu %s: median %.2f s, 99th %.2f s, worst %.2f s\n", members,
                all->size(), what, at(0.5), at(0.99), all->back());
  }
}

void loss(std::size_t members, int minutes) {
  for (const bool lifeguard : {true, false}) {
    for (const double part : {0.1, 0.25}) {
      const auto world = MembershipWorld::settled(
          members, 3, [lifeguard](auto& settings) { settings.lifeguard = lifeguard; });
      world->logs = false;
      world->loss = part;
      world->run(std::chrono::minutes(minutes));
      std::printf("loss members=%zu minutes=%d lost=%.2f lifeguard=%d: declared dead %llu\n", members,
                  minutes, part, lifeguard ? 1 : 0,
                  static_cast<unsigned long long>(world->deaths_declared()));
    }
    // Slow ones: a tenth stand still for 1.5 s out of 5 s each.
    const auto world =
        MembershipWorld::settled(members, 4, [lifeguard](auto& settings) { settings.lifeguard = lifeguard; });
    world->logs = false;
    for (int turn = 0; turn < minutes * 12; ++turn) {
      for (std::size_t i = 0; i < members; i += 10) world->stop(i);
      world->run(1500ms);
      for (std::size_t i = 0; i < members; i += 10) world->resume(i);
      world->run(3500ms);
    }
    std::size_t by_slow = 0, of_sound = 0;
    for (std::size_t i = 0; i < members; ++i) {
      const auto& counts = world->node(i).state->counters();
      (i % 10 == 0 ? by_slow : of_sound) += counts.declared_dead;
    }
    std::printf(
        "slow members=%zu minutes=%d lifeguard=%d: declared dead by the slow ones %zu, by the others %zu\n",
        members, minutes, lifeguard ? 1 : 0, by_slow, of_sound);
  }
}

void traffic(std::size_t members, int spans) {
  const auto world = MembershipWorld::settled(members);
  world->logs = false;
  world->run(5s);
  world->count_bytes = true;
  std::uint64_t messages = 0, bytes = 0;
  for (std::size_t i = 0; i < members; ++i) messages -= world->node(i).messages;
  world->run(std::chrono::seconds(spans));
  for (std::size_t i = 0; i < members; ++i)
    messages += world->node(i).messages, bytes += world->node(i).bytes;
  const double all = static_cast<double>(members) * spans;
  std::printf(
      "traffic members=%zu seconds=%d: each sends %.0f bytes/s (IP and UDP heads counted), %.1f messages/s\n",
      members, spans, static_cast<double>(bytes) / all, static_cast<double>(messages) / all);
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  std::printf(
      "cost members=%zu: %.0f kB and %.0f us of CPU a second each, the world's own included\n", members,
      static_cast<double>(used.ru_maxrss) / static_cast<double>(members),
      (static_cast<double>(used.ru_utime.tv_sec) * 1e6 + static_cast<double>(used.ru_utime.tv_usec)) / all);
}

void churn(std::size_t members, int minutes) {
  const auto world = MembershipWorld::settled(members);
  world->logs = false;
  world->run(10s);
  const auto entries = [&] {
    std::size_t most = 0;
    for (std::size_t i = 0; i < members; ++i) {
      if (world->node(i).state) most = std::max(most, world->node(i).state->entries());
    }
    return most;
  };
  std::mt19937_64 random(5);
  const std::size_t before = entries();
  for (int turn = 0; turn < minutes * 6; ++turn) {
    const std::size_t member = random() % members;
    if (world->node(member).state) {
      world->kill(member);
    } else {
      world->start(member, random() % 3 == 0);
    }
    world->run(10s);
  }
  for (std::size_t i = 0; i < members; ++i) {
    if (!world->node(i).state) world->start(i, false);
  }
  world->run(30s);
  std::printf(
      "churn members=%zu minutes=%d: entries of the fullest member %zu before, %zu after; views agree %d, "
      "dead %zu\n",
      members, minutes, before, entries(), world->agreed() ? 1 : 0, world->wrongly_dead());
}

void zone(std::size_t members, int seconds_cut) {
  const auto world = MembershipWorld::settled(members);
  world->logs = false;
  world->run(2s);
  world->cut = [members](std::size_t a, std::size_t b) { return (a < members / 3) != (b < members / 3); };
  world->run(std::chrono::seconds(seconds_cut));
  const auto small = world->node(0).state->view().partition_status(),
             large = world->node(members - 1).state->view().partition_status();
  world->cut = nullptr;
  const auto took = world->until([&] { return world->agreed() && world->wrongly_dead() == 0; }, 120s, 100ms);
  std::printf(
      "zone members=%zu cut for %d s: the third stands %s, the others %s; one view %.1f s after the cut\n",
      members, seconds_cut, std::string(name_of(small)).c_str(), std::string(name_of(large)).c_str(),
      took ? seconds(*took) : -1);
}

void third(std::size_t members) {
  const auto world = MembershipWorld::settled(members);
  world->logs = false;
  world->run(2s);
  for (std::size_t i = 0; i < members; i += 3) world->kill(i);
  const auto known_to_all = [&] {
    for (std::size_t i = 0; i < members; i += 3) {
      if (!world->all_believe(i, MemberStatus::dead)) return false;
    }
    return true;
  };
  const auto took = world->until(known_to_all, 60s, 100ms);
  std::printf(
      "third members=%zu: a third killed at once is known to all others after %.1f s; living ones taken for "
      "dead %zu\n",
      members, took ? seconds(*took) : -1, world->wrongly_dead());
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) {
    std::fprintf(stderr,
                 "usage: %s known|loss|traffic|churn|zone|third MEMBERS [PLAYS, MINUTES or SECONDS]\n",
                 argv[0]);
    return 2;
  }
  const std::string what = argv[1];
  const std::size_t members = std::stoul(argv[2]);
  const int size = argc > 3 ? std::stoi(argv[3]) : 10;
  if (what == "known") known(members, size);
  if (what == "loss") loss(members, size);
  if (what == "traffic") traffic(members, size);
  if (what == "churn") churn(members, size);
  if (what == "zone") zone(members, size);
  if (what == "third") third(members);
  return 0;
}
