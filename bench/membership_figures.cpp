// SPDX-License-Identifier: MIT
// Measures membership in virtual time: detection time (known), false positives under packet loss and slow
// members (loss), traffic and cost (traffic), memory under churn (churn), a zone partition (zone) and the
// loss of a third of the members (third). Usage: membership_figures known|loss|traffic|churn|zone|third
// MEMBERS [RUNS, MINUTES or SECONDS]
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

double to_seconds(MembershipWorld::Time duration) { return std::chrono::duration<double>(duration).count(); }

/// Models the baseline: every member sends a heartbeat to all others once a second and declares a member dead
/// that has sent none for `dead_after` seconds. Returns the time in seconds until all members have detected a
/// death. It is computed from random numbers only, since members detect the death independently of each
/// other.
double heartbeat_detection_time(std::size_t members, double dead_after, std::mt19937_64& random) {
  std::uniform_real_distribution<> phase(0, 1);
  const double last_heartbeat = -phase(random);  // the death is at time 0
  double detected = 0;
  for (std::size_t i = 1; i < members; ++i) {
    // Members check for missing heartbeats every 0.1 s.
    const double due = last_heartbeat + dead_after;
    detected = std::max(detected, due + 0.1 * phase(random));
  }
  return detected;
}

void measure_detection(std::size_t members, int runs) {
  std::vector<double> swim_times, heartbeat_times;
  std::mt19937_64 random(11);
  for (int run = 0; run < runs;) {
    const auto world = MembershipWorld::settled(members, 100 + static_cast<std::uint64_t>(run));
    world->logs = false;
    world->run(2s);
    // One world serves up to 10 kills in sequence; the fleet is stable again before each.
    for (int kill = 0; kill < 10 && run < runs; ++kill, ++run) {
      const std::size_t member = (static_cast<std::size_t>(run) * 7 + 3) % members;
      if (!world->node(member).state) continue;
      world->run(std::chrono::milliseconds(random() % 1000));
      world->kill(member);
      const auto elapsed =
          world->until([&] { return world->all_believe(member, MemberStatus::dead); }, 60s, 10ms);
      swim_times.push_back(elapsed ? to_seconds(*elapsed) : 60);
      heartbeat_times.push_back(heartbeat_detection_time(members, 3, random));
      world->start(member, false);
      world->run(4s);
    }
  }
  for (const auto& [protocol, times] :
       {std::pair{"swim", &swim_times}, std::pair{"heartbeat, 1 s, dead after 3 s", &heartbeat_times}}) {
    std::sort(times->begin(), times->end());
    const auto quantile = [times = times](double fraction) {
      return (*times)[std::min(times->size() - 1,
                               static_cast<std::size_t>(fraction * static_cast<double>(times->size())))];
    };
    std::printf("known members=%zu runs=%zu %s: median %.2f s, 99th %.2f s, worst %.2f s\n", members,
                times->size(), protocol, quantile(0.5), quantile(0.99), times->back());
  }
}

void measure_false_positives(std::size_t members, int minutes) {
  for (const bool lifeguard : {true, false}) {
    for (const double loss_ratio : {0.1, 0.25}) {
      const auto world = MembershipWorld::settled(
          members, 3, [lifeguard](auto& settings) { settings.lifeguard = lifeguard; });
      world->logs = false;
      world->loss = loss_ratio;
      world->run(std::chrono::minutes(minutes));
      std::printf("loss members=%zu minutes=%d lost=%.2f lifeguard=%d: declared dead %llu\n", members,
                  minutes, loss_ratio, lifeguard ? 1 : 0,
                  static_cast<unsigned long long>(world->deaths_declared()));
    }
    // Slow members: a tenth of the members are stopped for 1.5 s in every 5 s.
    const auto world =
        MembershipWorld::settled(members, 4, [lifeguard](auto& settings) { settings.lifeguard = lifeguard; });
    world->logs = false;
    for (int cycle = 0; cycle < minutes * 12; ++cycle) {
      for (std::size_t i = 0; i < members; i += 10) world->stop(i);
      world->run(1500ms);
      for (std::size_t i = 0; i < members; i += 10) world->resume(i);
      world->run(3500ms);
    }
    std::size_t declared_by_slow = 0, declared_by_others = 0;
    for (std::size_t i = 0; i < members; ++i) {
      const auto& counts = world->node(i).state->counters();
      (i % 10 == 0 ? declared_by_slow : declared_by_others) += counts.declared_dead;
    }
    std::printf(
        "slow members=%zu minutes=%d lifeguard=%d: declared dead by slow members %zu, by the others %zu\n",
        members, minutes, lifeguard ? 1 : 0, declared_by_slow, declared_by_others);
  }
}

void measure_traffic(std::size_t members, int duration_s) {
  const auto world = MembershipWorld::settled(members);
  world->logs = false;
  world->run(5s);
  world->count_bytes = true;
  std::uint64_t messages = 0, bytes = 0;
  for (std::size_t i = 0; i < members; ++i) messages -= world->node(i).messages;
  world->run(std::chrono::seconds(duration_s));
  for (std::size_t i = 0; i < members; ++i)
    messages += world->node(i).messages, bytes += world->node(i).bytes;
  const double member_seconds = static_cast<double>(members) * duration_s;
  std::printf(
      "traffic members=%zu seconds=%d: each sends %.0f bytes/s (with IP and UDP headers), %.1f messages/s\n",
      members, duration_s, static_cast<double>(bytes) / member_seconds,
      static_cast<double>(messages) / member_seconds);
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  std::printf(
      "cost members=%zu: %.0f kB and %.0f us of CPU per second each, including the simulation\n", members,
      static_cast<double>(usage.ru_maxrss) / static_cast<double>(members),
      (static_cast<double>(usage.ru_utime.tv_sec) * 1e6 + static_cast<double>(usage.ru_utime.tv_usec)) /
          member_seconds);
}

void measure_churn(std::size_t members, int minutes) {
  const auto world = MembershipWorld::settled(members);
  world->logs = false;
  world->run(10s);
  const auto max_entries = [&] {
    std::size_t max = 0;
    for (std::size_t i = 0; i < members; ++i) {
      if (world->node(i).state) max = std::max(max, world->node(i).state->entries());
    }
    return max;
  };
  std::mt19937_64 random(5);
  const std::size_t before = max_entries();
  for (int change = 0; change < minutes * 6; ++change) {
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
      "churn members=%zu minutes=%d: entries of the largest member list %zu before, %zu after; views agree "
      "%d, wrongly dead %zu\n",
      members, minutes, before, max_entries(), world->agreed() ? 1 : 0, world->wrongly_dead());
}

void measure_zone_partition(std::size_t members, int partition_s) {
  const auto world = MembershipWorld::settled(members);
  world->logs = false;
  world->run(2s);
  world->cut = [members](std::size_t from, std::size_t to) {
    return (from < members / 3) != (to < members / 3);
  };
  world->run(std::chrono::seconds(partition_s));
  const auto minority_status = world->node(0).state->view().partition_status(),
             majority_status = world->node(members - 1).state->view().partition_status();
  world->cut = nullptr;
  const auto elapsed =
      world->until([&] { return world->agreed() && world->wrongly_dead() == 0; }, 120s, 100ms);
  std::printf(
      "zone members=%zu partitioned for %d s: the third has status %s, the others %s; views agree %.1f s "
      "after its end\n",
      members, partition_s, std::string(name_of(minority_status)).c_str(),
      std::string(name_of(majority_status)).c_str(), elapsed ? to_seconds(*elapsed) : -1);
}

void measure_loss_of_a_third(std::size_t members) {
  const auto world = MembershipWorld::settled(members);
  world->logs = false;
  world->run(2s);
  for (std::size_t i = 0; i < members; i += 3) world->kill(i);
  const auto detected_by_all = [&] {
    for (std::size_t i = 0; i < members; i += 3) {
      if (!world->all_believe(i, MemberStatus::dead)) return false;
    }
    return true;
  };
  const auto elapsed = world->until(detected_by_all, 60s, 100ms);
  std::printf(
      "third members=%zu: a third killed at once, detected by all others after %.1f s; wrongly dead %zu\n",
      members, elapsed ? to_seconds(*elapsed) : -1, world->wrongly_dead());
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) {
    std::fprintf(stderr, "usage: %s known|loss|traffic|churn|zone|third MEMBERS [RUNS, MINUTES or SECONDS]\n",
                 argv[0]);
    return 2;
  }
  const std::string measurement = argv[1];
  const std::size_t members = std::stoul(argv[2]);
  const int argument = argc > 3 ? std::stoi(argv[3]) : 10;
  if (measurement == "known") measure_detection(members, argument);
  if (measurement == "loss") measure_false_positives(members, argument);
  if (measurement == "traffic") measure_traffic(members, argument);
  if (measurement == "churn") measure_churn(members, argument);
  if (measurement == "zone") measure_zone_partition(members, argument);
  if (measurement == "third") measure_loss_of_a_third(members);
  return 0;
}
