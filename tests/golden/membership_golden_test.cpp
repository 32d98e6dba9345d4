// SPDX-License-Identifier: MIT
// Golden records of the membership module and of quota leases: random runs of several members in virtual
// time, and separate runs of the view, the broadcast queue and the quota leases.
#include <gtest/gtest.h>

#include <random>

#include "golden/membership_trace.h"
#include "golden/trace_line.h"
#include "membership/broadcast_queue.h"
#include "membership/report.h"
#include "support/membership_world.h"

namespace edge_proxy::test {
namespace {

using admission::QuotaLeases;
using golden::GoldenRecord;
using golden::TraceLine;
using membership::MemberStatus;

template <typename Value>
Value random_choice(std::mt19937_64& random, std::initializer_list<Value> values) {
  return *(values.begin() + random() % values.size());
}

class RandomMembershipRun {
 public:
  RandomMembershipRun(const std::string& record_name, std::size_t count, std::uint64_t seed)
      : record_(record_name), random_(seed) {
    world_ = MembershipWorld::settled(count, seed, [count](membership::Settings& settings) {
      settings.quota_lease = 6s;
      settings.expected_members = count;
      settings.max_members = 12;
      settings.full_sync_interval = membership::Time{2s};
      settings.zone = settings.name < "n3" ? 1 : 2;
    });
    world_->drift = 0.004;
    world_->observer = [this](std::size_t i, membership::Time now, const membership::Input& input,
                              const std::vector<membership::Effect>& effects) {
      golden::add_step(record_, MembershipWorld::name(i), now, input, effects, *world_->node(i).state);
    };
  }

  void run(int events) {
    world_->loss = 0.05 * static_cast<double>(random_() % 3);
    world_->run(2s);
    for (int event = 0; event < events; ++event) {
      run_random_event();
      for (int step = 0; step < 4; ++step) {
        world_->run(std::chrono::milliseconds(100 + random_() % 400));
        record_states();
      }
    }
    record_.check();
  }

 private:
  bool is_running(std::size_t i) { return world_->node(i).state && !world_->node(i).stopped; }

  void run_random_event() {
    const std::size_t count = world_->size();
    const std::size_t node = random_() % count, other_node = random_() % count;
    switch (random_() % 12) {
      case 0:
      case 1: {
        const std::size_t first = 1 + random_() % (count - 1);
        const bool one_way = random_() % 3 == 0;
        world_->cut = [first, one_way](std::size_t a, std::size_t b) {
          return one_way ? a < first && b >= first : (a < first) != (b < first);
        };
        break;
      }
      case 2:
        world_->cut = nullptr;
        break;
      case 3:
      case 4:
        if (world_->node(node).state) world_->kill(node);
        break;
      case 5:
      case 6:
        for (std::size_t i = 0; i < count; ++i) {
          if (!world_->node(i).state) world_->start(i, random_() % 3 == 0);
        }
        break;
      case 7:
        if (!is_running(node)) break;
        world_->feed(node, membership::ShutdownRequested{});
        world_->run(50ms);
        world_->kill(node);
        break;
      case 8:
        if (is_running(other_node))
          world_->feed(other_node, membership::ForgetMember{MembershipWorld::name(node)});
        break;
      case 9:
        if (is_running(node)) world_->stop(node);
        break;
      case 10:
        start_duplicate_name(node, other_node);
        break;
      default:
        for (std::size_t i = 0; i < count; ++i) {
          if (world_->node(i).state && world_->node(i).stopped) world_->resume(i);
        }
    }
    if (is_running(other_node)) {
      world_->feed(other_node, membership::SendUserMessage{MembershipWorld::name(node),
                                                           std::string(random_() % 1500, 'x')});
      world_->feed(
          other_node,
          membership::MessageRejected{
              static_cast<membership::DecodeError>(random_() % membership::kDecodeErrorCount), "10.9.9.9:1"});
    }
  }

  /// Replaces `second_node` with a process that uses the name of `named_node`.
  void start_duplicate_name(std::size_t named_node, std::size_t second_node) {
    if (named_node == second_node || !world_->node(named_node).state) return;
    membership::Settings settings = world_->node(named_node).state->settings();
    settings.address = MembershipWorld::address(second_node);
    world_->kill(second_node);
    world_->node(second_node).stopped = false;
    world_->node(second_node).state = std::make_unique<membership::State>(
        settings, membership::Identity{99, std::uint64_t{1} << membership::kRefutationBits, true, {}},
        random_(), world_->local(second_node));
    world_->feed(second_node, membership::TimerExpired{});
  }

  void record_states() {
    for (std::size_t i = 0; i < world_->size(); ++i) {
      if (!world_->node(i).state) continue;
      const membership::State& state = *world_->node(i).state;
      const membership::Time now = world_->local(i);
      record_.add(MembershipWorld::name(i) + " " + golden::state_of(state.quota(), now));
      record_.add("  report=" + golden::quoted(membership::report(state, now)));
      TraceLine metrics_line("  figures");
      for (const membership::Metric& metric : membership::metrics(state, now))
        metrics_line.verbatim(metric.name, std::to_string(metric.value) + (metric.is_counter ? "+" : ""));
      record_.add(metrics_line.text());
    }
  }

  GoldenRecord record_;
  std::mt19937_64 random_;
  std::unique_ptr<MembershipWorld> world_;
};

TEST(MembershipGolden, RandomRunWithSeed1AndFiveMembersMatchesRecord) {
  RandomMembershipRun("membership_play_1", 5, 1).run(18);
}
TEST(MembershipGolden, RandomRunWithSeed2AndFourMembersMatchesRecord) {
  RandomMembershipRun("membership_play_2", 4, 2).run(20);
}
TEST(MembershipGolden, RandomRunWithSeed3AndEightMembersMatchesRecord) {
  RandomMembershipRun("membership_play_3", 8, 3).run(7);
}
TEST(MembershipGolden, RandomRunWithSeed4AndSixMembersMatchesRecord) {
  RandomMembershipRun("membership_play_4", 6, 4).run(12);
}

/// All members are new and know only the seeds at first.
TEST(MembershipGolden, NewMembersThatKnowOnlySeedsMatchRecord) {
  GoldenRecord record("membership_join");
  MembershipWorld world(6, 5);
  world.loss = 0.05;
  world.observer = [&](std::size_t i, membership::Time now, const membership::Input& input,
                       const std::vector<membership::Effect>& effects) {
    golden::add_step(record, MembershipWorld::name(i), now, input, effects, *world.node(i).state);
  };
  world.run(3s);
  record.check();
}

/// The incarnation is one of the newest two process starts, so that later updates are not all outdated.
membership::MemberUpdate random_update(std::mt19937_64& random, std::uint64_t newest_incarnation = 3) {
  membership::MemberUpdate update;
  update.name = MembershipWorld::name(random() % 12);
  update.address = MembershipWorld::address(random() % 9);
  update.disk_id = 1 + random() % 2;
  update.incarnation = ((newest_incarnation - random() % 2) << membership::kRefutationBits) + random() % 3;
  update.zone = static_cast<int>(random() % 2);
  update.status = static_cast<MemberStatus>(random() % membership::kMemberStatusCount);
  if (update.status == MemberStatus::suspect || update.status == MemberStatus::dead)
    update.reported_by = MembershipWorld::name(random() % 3);
  return update;
}

TEST(MembershipGolden, ViewWithRandomUpdatesMatchesRecord) {
  GoldenRecord record("membership_view");
  std::mt19937_64 random(6);
  membership::View view("n0", 5);
  for (int step = 0; step < 1500; ++step) {
    const membership::MemberUpdate update = random_update(random, 2 + static_cast<std::uint64_t>(step) / 80);
    const bool table_full = view.has_no_room_for(update.name);
    const membership::View::Merged merged = view.merge(update, membership::Time{step * 1000});
    record.add(TraceLine("merge")
                   .verbatim("update", golden::text_of(update))
                   .field("table_full", table_full)
                   .verbatim("result", golden::label_of(merged.result))
                   .field("first", merged.is_new)
                   .verbatim("replaced", merged.replaced ? golden::text_of(*merged.replaced) : "none")
                   .verbatim("status_before",
                             merged.previous_status ? golden::label_of(*merged.previous_status) : "none")
                   .verbatim("address_before",
                             merged.previous_address ? golden::text_of(*merged.previous_address) : "none")
                   .field("registered", view.registered())
                   .field("reached", view.reachable())
                   .verbatim("partition_status", golden::label_of(view.partition_status()))
                   .field("digest", view.digest())
                   .field("revision", view.revision())
                   .text());
    const membership::Member* member = view.find(update.name);
    if (member == nullptr) continue;
    record.add(TraceLine("  member")
                   .verbatim("update", golden::text_of(member->update))
                   .field("since", member->status_since)
                   .verbatim("suspected_by", golden::list_of(member->suspected_by))
                   .field("deadline", member->suspicion_deadline)
                   .field("suspected_since", member->suspected_since)
                   .verbatim("reachability", golden::label_of(member->reachability))
                   .field("heard", member->last_heard)
                   .field("reachability_since", member->reachability_since)
                   .text());
  }
  record.check();
}

TEST(MembershipGolden, BroadcastQueueWithRandomUpdatesMatchesRecord) {
  GoldenRecord record("membership_broadcast_queue");
  std::mt19937_64 random(7);
  membership::BroadcastQueue queue;
  for (int step = 0; step < 600; ++step) {
    if (random() % 2 == 0) {
      const membership::MemberUpdate update = random_update(random);
      queue.enqueue(update);
      record.add("add " + golden::text_of(update));
    } else {
      const std::size_t max_bytes = random() % 300, max_transmissions = 1 + random() % 4;
      const auto updates =
          queue.take(max_bytes, max_transmissions, [](const membership::MemberUpdate& queued_update) {
            return membership::encoded_size(queued_update);
          });
      record.add(TraceLine("take")
                     .field("room_bytes", max_bytes)
                     .field("transmissions", max_transmissions)
                     .verbatim("updates", golden::list_of(updates,
                                                          [](const membership::MemberUpdate& update) {
                                                            return golden::text_of(update);
                                                          }))
                     .text());
    }
    record.add(TraceLine("  queue").field("size", queue.size()).field("empty", queue.empty()).text());
  }
  record.check();
}

TEST(MembershipGolden, QuotaLeasesWithRandomInputsMatchRecord) {
  GoldenRecord record("quota_leases");
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    std::mt19937_64 random(seed);
    const QuotaLeases::UnfencedHolder unfenced{"n9", {7, 1}, seed % 2 == 0};
    QuotaLeases leases({"n0", 6s, 0.01, 0.1, 4, 16}, QuotaLeases::Time{5s}, {unfenced});
    QuotaLeases::MemberTable members{{"n0", {1, 0}}, {"n1", {1, 0}}, {"n2", {1, 1}}};
    QuotaLeases::Time now{1s};
    std::uint64_t previous_announced_version = 0;
    for (int step = 0; step < 400; ++step) {
      now += std::chrono::milliseconds(random() % 300);
      const std::string name = "n" + std::to_string(1 + random() % 5);
      TraceLine input("input");
      switch (random() % 24) {
        case 0:
        case 1: {
          const QuotaLeases::MemberIdentity holder{1 + random() % 4 / 3, static_cast<int>(random() % 2)};
          std::set<std::string> left;
          if (members.count(name) != 0 && random() % 2 == 0) {
            members.erase(name);
            if (random() % 2 == 0) left.insert(name);
          } else {
            members[name] = holder;
          }
          const bool takes_part = random() % 16 != 0;
          leases.update_members(now, members, left, takes_part);
          input.verbatim("members", golden::list_of(members, [](const auto& entry) {
                           return entry.first + "/" + std::to_string(entry.second.disk) + "/" +
                                  std::to_string(entry.second.zone);
                         }));
          input.verbatim("left", golden::list_of(left)).field("takes_part", takes_part);
          break;
        }
        case 2:
          if (random() % 8 != 0) break;
          leases.on_forgotten();
          input.verbatim("kind", "forgotten");
          break;
        default: {
          const QuotaLeases::QuotaAck ack{
              name,
              now - std::chrono::milliseconds(random() % 100),
              random_choice(random, {leases.announced_version(), leases.announced_version(),
                                     previous_announced_version}),
              random_choice<std::uint64_t>(random, {1, 1, 1, 1, 1, 1, 1, 0, 2}),
              random_choice(random, {leases.member_names_hash(), leases.member_names_hash(),
                                     leases.member_names_hash(), 5UL}),
              random() % 8 != 0};
          leases.on_ack(now, ack);
          input.verbatim("kind", "acked")
              .field("by", ack.from)
              .field("sent", ack.ping_sent)
              .field("announced_version", ack.announced_version)
              .field("counted_disk", ack.counted_disk)
              .field("names_digest", ack.member_names_hash)
              .field("confirmed", ack.confirmed);
        }
      }
      previous_announced_version = leases.announced_version();
      record.add(input.field("at", now).field("counts", leases.counted_disk_of(name)).text());
      record.add("  " + golden::state_of(leases, now));
    }
  }
  record.check();
}

}  // namespace
}  // namespace edge_proxy::test
