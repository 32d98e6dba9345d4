// SPDX-License-Identifier: MIT
// Golden records of the consensus module: random runs of several members with their reducers and replicated
// logs in virtual time, and separate runs of the policy state machine, the lease manager and the epoch lease.
#include <gtest/gtest.h>

#include <random>

#include "golden/consensus_trace.h"
#include "golden/trace_line.h"
#include "support/consensus_world.h"

namespace edge_proxy::test {
namespace {

using consensus::Time;
using golden::GoldenRecord;
using golden::TraceLine;

class RandomConsensusRun {
 public:
  RandomConsensusRun(const std::string& record_name, std::size_t count, std::size_t voters,
                     std::uint64_t seed)
      : record_(record_name), random_(seed), voters_(voters), serves_when_partitioned_(seed == 2) {
    ConsensusWorld::Observer observer;
    observer.input = [this](std::size_t i, Time now, const consensus::Input& input,
                            const std::vector<consensus::Effect>& effects, const consensus::State& state) {
      golden::add_step(record_, ConsensusWorld::name(i), now, input, effects, state);
    };
    observer.log = [this](std::size_t i, const consensus::RaftLog::Output& output) {
      golden::add_log_output(record_, ConsensusWorld::name(i), output);
    };
    const auto configure = [serve_when_partitioned =
                                serves_when_partitioned_](consensus::Settings& settings) {
      settings.prepare_timeout = Time{4s};
      settings.serve_when_partitioned = serve_when_partitioned;
    };
    world_ = std::make_unique<ConsensusWorld>(count, voters, seed, configure, observer);
    world_->snapshot_threshold = 6;  // applies to members that start after this line
  }

  void run(int events) {
    world_->run(4s);
    world_->loss = 0.05 * static_cast<double>(random_() % 3);
    for (int event = 0; event < events; ++event) {
      run_random_event();
      world_->run(std::chrono::milliseconds(20 + random_() % 1200));
      record_states();
    }
    recover();
    record_.check();
  }

  /// Adds a voter, removes another voter and aborts a change at a follower. A member that was down for a long
  /// time then catches up from a snapshot.
  void run_voter_changes() {
    world_->run(4s);
    const std::size_t leader = world_->leader().value(), follower = leader == 0 ? 1 : 0;
    const std::size_t new_voter = voters_, last = world_->size() - 1;
    change_voters(new_voter);
    world_->run(1200ms);
    record_states();
    change_voters(follower);
    world_->run(1200ms);
    record_states();
    world_->stop(last);  // the change stays open until this member replies
    propose_policy(new_voter, "policy to abort");
    world_->run(500ms);
    world_->feed(new_voter, consensus::AbortCall{++last_call_});
    world_->run(500ms);
    world_->kill(last);
    restart_nodes_before(last);
    for (int change = 0; change < 5; ++change) {
      propose_policy(new_voter, "unfit for n0");
      propose_policy(new_voter, "policy " + std::to_string(change));
      world_->run(400ms);
    }
    // After the restart these members have the earlier entries only as a snapshot.
    restart_nodes_before(last);
    record_states();
    recover();
    record_.check();
  }

 private:
  void run_random_event() {
    const std::size_t count = world_->size(), node = random_() % count;
    switch (random_() % 13) {
      case 0:
      case 1:
      case 2:
      case 3:
        propose_random_policy(node);
        break;
      case 4: {
        const std::size_t first = 1 + random_() % (count - 1);
        world_->is_cut = [first](std::size_t a, std::size_t b) { return (a < first) != (b < first); };
        break;
      }
      case 5:
        world_->is_cut = nullptr;
        break;
      case 6:
        if (world_->node(node).state) world_->kill(node, random_() % 2 == 0);
        if (random_() % 3 == 0 && node >= voters_) world_->erase_disk(node);
        break;
      case 7:
      case 8:
        start_all();
        break;
      case 9:
        if (world_->is_running(node)) world_->stop(node);
        break;
      case 10:
        if (world_->is_running(node)) world_->feed(node, consensus::AbortCall{++last_call_});
        break;
      case 11:
        change_voters(node);
        break;
      default:
        resume_all();
    }
  }

  void propose_random_policy(std::size_t node) {
    if (!world_->is_running(node)) return;
    ++last_call_;
    const std::string key = random_() % 5 == 0 ? "again" : "key" + std::to_string(last_call_);
    const std::string policy =
        random_() % 6 == 0 ? "unfit for n1"
                           : "policy " + std::to_string(last_call_) + std::string(last_call_ * 7, 'p');
    const consensus::Epoch epoch = world_->node(node).state->policy_state().epoch();
    world_->propose(node, last_call_, key, random_() % 6 == 0 ? epoch + 1 : epoch, policy);
  }

  void propose_policy(std::size_t node, const std::string& policy) {
    ++last_call_;
    world_->propose(node, last_call_, "key" + std::to_string(last_call_),
                    world_->node(node).state->policy_state().epoch(), policy);
  }

  /// The messages in `output` are only recorded here. They are sent with the next call of the leader's log.
  void change_voters(std::size_t node) {
    const auto leader = world_->leader();
    if (!leader || *leader == node || !world_->is_running(node)) return;
    consensus::RaftLog& log = *world_->node(*leader).log;
    const std::string name = ConsensusWorld::name(node);
    consensus::RaftLog::Output output;
    const bool is_voter = log.voters().count(name) != 0;
    const bool accepted = is_voter ? log.voters().size() > 3 && log.remove_voter(name, output)
                                   : log.add_voter(name, world_->node(node).log->id(), output);
    record_.add(TraceLine(ConsensusWorld::name(*leader))
                    .verbatim(is_voter ? "remove_voter" : "add_voter", name)
                    .field("accepted", accepted)
                    .text());
    golden::add_log_output(record_, ConsensusWorld::name(*leader), output);
  }

  void start_all() {
    for (std::size_t i = 0; i < world_->size(); ++i) {
      if (!world_->node(i).state) world_->start(i);
    }
  }
  void restart_nodes_before(std::size_t end) {
    for (std::size_t i = 0; i < end; ++i) world_->kill(i);
    for (std::size_t i = 0; i < end; ++i) world_->start(i);
    world_->run(2s);
  }
  void resume_all() {
    for (std::size_t i = 0; i < world_->size(); ++i) {
      if (world_->node(i).state && world_->node(i).stopped) world_->resume(i);
    }
  }
  void recover() {
    world_->is_cut = nullptr;
    world_->loss = 0;
    start_all();
    resume_all();
    world_->run(4s);
    record_states();
    if (!serves_when_partitioned_) {
      EXPECT_EQ(world_->violation, "");
    }
  }

  void record_states() {
    for (std::size_t i = 0; i < world_->size(); ++i) {
      if (!world_->node(i).state) continue;
      const consensus::State& state = *world_->node(i).state;
      const consensus::RaftLog& log = *world_->node(i).log;
      const auto epoch = state.decision_epoch(world_->local_time(i));
      const consensus::Counters& counts = state.counters();
      record_.add(TraceLine(ConsensusWorld::name(i))
                      .verbatim("state", golden::text_of(state.policy_state().snapshot()))
                      .verbatim("decides_under", epoch ? golden::text_of(*epoch) : "none")
                      .field("lease_until", state.lease().expires_at())
                      .field("leader", state.leader())
                      .field("lease_requests", counts.lease_requests)
                      .field("lease_grants", counts.lease_grants)
                      .field("lease_expirations", counts.lease_expiries)
                      .field("without_lease", counts.unleased_periods)
                      .field("changes", counts.epoch_changes)
                      .field("aborts", counts.aborts)
                      .field("log_runs", log.is_running())
                      .field("log_leads", log.is_leader())
                      .field("term", log.term())
                      .field("id", log.id())
                      .field("entries", log.entry_count())
                      .verbatim("voters", golden::list_of(log.voters(),
                                                          [](const auto& voter) {
                                                            return voter.first + ":" +
                                                                   std::to_string(voter.second);
                                                          }))
                      .text());
    }
  }

  GoldenRecord record_;
  std::mt19937_64 random_;
  std::size_t voters_;
  bool serves_when_partitioned_;  ///< members without a lease decide too, so two epochs can be in use
  std::uint64_t last_call_ = 0;
  std::unique_ptr<ConsensusWorld> world_;
};

TEST(ConsensusGolden, RandomRunWithSeed1AndFourMembersMatchesRecord) {
  RandomConsensusRun("consensus_play_1", 4, 3, 1).run(16);
}
TEST(ConsensusGolden, RandomRunWithSeed2AndFiveMembersMatchesRecord) {
  RandomConsensusRun("consensus_play_2", 5, 3, 2).run(16);
}
TEST(ConsensusGolden, RandomRunWithSeed3AndSixMembersMatchesRecord) {
  RandomConsensusRun("consensus_play_3", 6, 3, 3).run(10);
}
TEST(ConsensusGolden, RandomRunWithSeed4AndFiveVotersMatchesRecord) {
  RandomConsensusRun("consensus_play_4", 6, 5, 4).run(10);
}

TEST(ConsensusGolden, VoterChangesAndSnapshotCatchUpMatchRecord) {
  RandomConsensusRun("consensus_voter_changes", 5, 3, 5).run_voter_changes();
}

consensus::Entry random_entry(std::mt19937_64& random, const consensus::PolicyStateMachine& policy_state) {
  const std::string number = std::to_string(random() % 400);
  const consensus::Index change =
      policy_state.change() && random() % 6 != 0 ? policy_state.change()->id : random() % 50;
  switch (random() % 6) {
    case 0:
    case 1:
      return {consensus::Step::propose, 0,
              "key" + number,           random() % 5 == 0 ? policy_state.epoch() + 1 : policy_state.epoch(),
              "policy" + number,        {}};
    case 2:
    case 3:
      return {consensus::Step::commit, change, {}, 0, {}, {}};
    case 4:
      return {consensus::Step::activate, change, {}, 0, {}, {}};
    default:
      return {consensus::Step::abort, change, {}, 0, {}, "reason" + number};
  }
}

TEST(ConsensusGolden, PolicyStateMachineWithRandomEntriesMatchesRecord) {
  GoldenRecord record("consensus_policy_state_machine");
  std::mt19937_64 random(5);
  consensus::PolicyStateMachine policy_state;
  consensus::Index index = 0;
  for (int step = 0; step < 500; ++step) {
    index += random() % 3;  // an index that was already applied is ignored
    const consensus::Entry entry = random_entry(random, policy_state);
    if (random() % 20 == 0) {
      policy_state.advance_to(index);
      record.add(TraceLine("pass").field("log_index", index).text());
    } else {
      policy_state.apply(index, entry);
      record.add(
          TraceLine("apply").field("log_index", index).verbatim("entry", golden::text_of(entry)).text());
    }
    if (random() % 40 == 0) policy_state = consensus::PolicyStateMachine(policy_state.snapshot());
    const consensus::ChangeOutcome* outcome = policy_state.outcome(entry.key);
    record.add(TraceLine("  state")
                   .verbatim("state", golden::text_of(policy_state.snapshot()))
                   .field("knows_key", policy_state.knows_change(entry.key))
                   .verbatim("outcome", outcome == nullptr ? "none" : golden::text_of(outcome->reason))
                   .text());
  }
  record.check();
}

/// Runs the lease manager of a leader alone. Messages from members are random; entries that it appends are
/// applied to the policy state machine.
class RandomLeaderRun {
 public:
  explicit RandomLeaderRun(std::uint64_t seed)
      : random_(seed), leader_(settings(), 7, {"n0", "n1", "n2"}, now_) {}

  void run(GoldenRecord& record, int steps) {
    for (int step = 0; step < steps; ++step) {
      now_ += std::chrono::milliseconds(random_() % 250);
      consensus::LeaderActions actions;
      const std::string input = feed_random_input(actions);
      leader_.advance(policy_state_, members_, now_, actions);
      record.add(TraceLine("input").field("at", now_).verbatim("what", input).text());
      record.add("  " + golden::text_of(actions));
      record.add(
          TraceLine("  leader")
              .field("next_timer", leader_.next_due(now_))
              .verbatim("waits_for", golden::list_of(leader_.blocking_members(policy_state_, members_, now_)))
              .verbatim("prepared", golden::list_of(leader_.ready_members()))
              .field("term", leader_.term())
              .text());
      for (const auto& [to, message] : actions.messages) {
        if (const auto* check = std::get_if<consensus::LeadershipCheck>(&message)) last_round_ = check->round;
      }
      for (consensus::Entry& entry : actions.entries) appended_.push_back(std::move(entry));
    }
  }

 private:
  static consensus::Settings settings() {
    consensus::Settings settings;
    settings.name = "n0";
    settings.prepare_timeout = Time{6s};
    return settings;
  }

  std::string feed_random_input(consensus::LeaderActions& actions) {
    const std::string member = "n" + std::to_string(random_() % 5);
    const consensus::Index change = policy_state_.change() ? policy_state_.change()->id : random_() % 5;
    switch (random_() % 16) {
      case 0:
      case 1:
      case 2:
      case 3:
        leader_.on_lease_request(member, consensus::LeaseRequest{++last_request_ - random_() % 3}, now_);
        return "lease_request by " + member + " up to " + std::to_string(last_request_);
      case 4:
      case 5:
      case 6: {
        const consensus::LeadershipCheckReply reply{random_() % 8 == 0 ? 6U : 7U, last_round_};
        leader_.on_leadership_check_reply(member, reply, policy_state_, now_, actions);
        return "confirmed by " + member + " term " + std::to_string(reply.term);
      }
      case 7:
      case 8:
      case 9: {
        const bool accepted = random_() % 24 != 0;
        leader_.on_prepare_reply(member, {change, accepted, accepted ? "" : "key 'x'"}, policy_state_,
                                 actions);
        return "prepared by " + member + (accepted ? "" : " rejected");
      }
      case 10:
      case 11: {
        const consensus::LeaseRevocationAck ack{random_() % 8 == 0 ? 6U : 7U, policy_state_.epoch()};
        leader_.on_revocation_ack(member, ack, policy_state_);
        return "revocation_ack by " + member + " term " + std::to_string(ack.term);
      }
      case 12: {
        const std::string key = "key" + std::to_string(random_() % 60);
        leader_.on_propose_request({key, policy_state_.epoch(), "policy " + key}, policy_state_, actions);
        return "propose " + key;
      }
      case 13:
        if (random_() % 10 == 0) {
          leader_.on_abort_request(change, member, policy_state_, actions);
          return "abort by " + member;
        }
        members_[member] = random_() % 4 != 0;
        return "reached " + member + (members_[member] ? " yes" : " no");
      case 14:
        if (random_() % 4 == 0) {
          const std::set<std::string> voters{"n0", "n1", member};
          leader_.set_voters(voters);
          return "voters " + golden::list_of(voters);
        }
        return "nothing";
      default:
        for (const consensus::Entry& entry : std::exchange(appended_, {}))
          policy_state_.apply(++index_, entry);
        return "applied up to " + std::to_string(index_);
    }
  }

  std::mt19937_64 random_;
  Time now_{1h};
  consensus::LeaseManager leader_;
  consensus::PolicyStateMachine policy_state_;
  std::map<std::string, bool> members_{{"n0", true}, {"n1", true}, {"n2", true}, {"n3", true}, {"n4", false}};
  std::vector<consensus::Entry> appended_;
  consensus::Index index_ = 0;
  std::uint64_t last_request_ = 3, last_round_ = 0;
};

TEST(ConsensusGolden, LeaseManagerWithRandomInputsMatchesRecord) {
  GoldenRecord record("consensus_leader");
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    record.add(TraceLine("play").field("seed", seed).text());
    RandomLeaderRun(seed).run(record, 600);
  }
  record.check();
}

TEST(ConsensusGolden, EpochLeaseWithRandomGrantsMatchesRecord) {
  GoldenRecord record("consensus_lease");
  std::mt19937_64 random(8);
  consensus::EpochLease lease(100);
  Time now{1h};
  consensus::Epoch active = 1;
  for (int step = 0; step < 400; ++step) {
    now += std::chrono::milliseconds(random() % 700);
    TraceLine line("input");
    switch (random() % 8) {
      case 0:
      case 1:
      case 2:
        line.field("request", lease.new_request(now));
        break;
      case 3:
        if (random() % 4 != 0) break;
        lease.revoke();
        line.field("gave_up", true);
        break;
      case 4:
        active += random() % 8 == 0 ? 1 : 0;
        break;
      default: {
        const consensus::LeaseGrant grant{lease.newest_request() - random() % 3, active - random() % 6 / 5,
                                          std::chrono::milliseconds(500 + random() % 5000), 9};
        line.field("granted_number", grant.request_number)
            .field("granted_epoch", grant.epoch)
            .field("duration", grant.duration)
            .field("changed", lease.on_grant(grant, active, now));
      }
    }
    const auto held = lease.held_epoch(now);
    std::vector<std::string> pending_requests;
    for (const auto& [number, at] : lease.requested_at())
      pending_requests.push_back(std::to_string(number) + "@" + golden::text_of(at));
    record.add(line.field("at", now)
                   .field("active_epoch", active)
                   .verbatim("held", held ? golden::text_of(*held) : "none")
                   .field("until", lease.expires_at())
                   .field("epoch", lease.epoch())
                   .field("newest", lease.newest_request())
                   .verbatim("requests", golden::list_of(pending_requests))
                   .text());
  }
  record.check();
}

}  // namespace
}  // namespace edge_proxy::test
