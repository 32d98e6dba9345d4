// SPDX-License-Identifier: MIT
// Unit tests of consensus at one proxy: the policy state machine, the epoch lease, the reducer of a leader
// and of a member, and operators' calls. model_test.cpp and world_test.cpp test several proxies together.
#include "consensus/reducer.h"

#include <gtest/gtest.h>

namespace edge_proxy::consensus {
namespace {

using namespace std::chrono_literals;

Entry propose_entry(const std::string& key, Epoch base_epoch) {
  return {Step::propose, 0, key, base_epoch, "policy of " + key, {}};
}
Entry step_entry(Step step, Index change, const std::string& reason = "") {
  return {step, change, {}, 0, {}, reason};
}

TEST(PolicyStateMachineTest, ChangeBecomesActiveOrIsAborted) {
  PolicyStateMachine policy_state;
  policy_state.apply(1, propose_entry("a", 0));
  ASSERT_TRUE(policy_state.change());
  EXPECT_EQ(policy_state.change()->epoch, 1U);
  policy_state.apply(2, step_entry(Step::activate, 1));
  EXPECT_EQ(policy_state.epoch(), 0U) << "the change is not committed yet";
  policy_state.apply(3, step_entry(Step::commit, 1));
  policy_state.apply(4, step_entry(Step::abort, 1));
  EXPECT_TRUE(policy_state.change()) << "a committed change cannot be aborted";
  policy_state.apply(5, step_entry(Step::activate, 1));
  EXPECT_EQ(policy_state.epoch(), 1U);
  EXPECT_EQ(policy_state.policy(), "policy of a");
  policy_state.apply(6, propose_entry("b", 1));
  policy_state.apply(7, step_entry(Step::abort, 6, "edge-2: no"));
  EXPECT_EQ(policy_state.epoch(), 1U);
  EXPECT_EQ(policy_state.outcome("b")->result, ChangeResult::aborted);
  EXPECT_EQ(policy_state.outcome("b")->reason, "edge-2: no");
}

TEST(PolicyStateMachineTest, OneChangeAtATimeOnTheActiveEpochAndOnePerKey) {
  PolicyStateMachine policy_state;
  policy_state.apply(1, propose_entry("a", 0));
  policy_state.apply(2, propose_entry("b", 0));
  EXPECT_EQ(policy_state.outcome("b")->result, ChangeResult::rejected);
  policy_state.apply(3, propose_entry("a", 0));
  EXPECT_EQ(policy_state.change()->id, 1U);
  policy_state.apply(4, step_entry(Step::commit, 1));
  policy_state.apply(5, step_entry(Step::activate, 1));
  policy_state.apply(6, propose_entry("a", 1));
  EXPECT_FALSE(policy_state.change()) << "the change with that key has already finished";
  policy_state.apply(7, propose_entry("c", 0));
  EXPECT_EQ(policy_state.outcome("c")->result, ChangeResult::rejected);
  EXPECT_EQ(PolicyStateMachine(policy_state.snapshot()).snapshot(), policy_state.snapshot());
}

TEST(EpochLeaseTest, StartsAtTheRequestAndRejectsUnrequestedGrants) {
  EpochLease lease(100);
  const std::uint64_t first = lease.new_request(10s);
  EXPECT_FALSE(lease.on_grant({first - 1, 0, 5s, 0}, 0, 11s)) << "this process did not send that request";
  EXPECT_TRUE(lease.on_grant({first, 0, 5s, 0}, 0, 12s));
  EXPECT_TRUE(lease.held_epoch(14s));
  EXPECT_FALSE(lease.held_epoch(15s));
  const std::uint64_t second = lease.new_request(13s);
  lease.revoke();
  EXPECT_FALSE(lease.on_grant({second, 0, 5s, 0}, 0, 14s)) << "revoke() also drops earlier requests";
  const std::uint64_t third = lease.new_request(14s);
  EXPECT_FALSE(lease.on_grant({third, 1, 5s, 0}, 0, 14s))
      << "the epoch of the grant is not active at this member";
}

/// The leader of three proxies; the test plays the other two.
class LeaderTest : public testing::Test {
 protected:
  LeaderTest() : state_(settings(), 0, 1, now_) {
    handle(MembersChanged{{{"a", true}, {"b", true}, {"c", true}}});
    handle(BecameLeader{1, {"a", "b", "c"}});
  }
  static Settings settings() {
    Settings settings;
    settings.name = "a";
    settings.voters = {"a", "b", "c"};
    settings.check_policy = [](const std::string& policy) -> std::optional<std::string> {
      if (policy == "bad") return "key 'x': should be 1 or more";
      return std::nullopt;
    };
    return settings;
  }
  void handle(const Input& input) {
    for (Effect& effect : state_.handle(now_, input)) effects_.push_back(std::move(effect));
  }
  void advance_time(Time span) {
    now_ += span;
    handle(TimerExpired{});
  }
  /// Applies appended entries and sends the other members' replies until no effect is left.
  void process_effects() {
    for (std::size_t position = 0; position < effects_.size(); ++position) {
      const Effect effect = effects_[position];
      if (const auto* append = std::get_if<AppendEntry>(&effect)) {
        handle(EntryApplied{++index_, append->entry});
      } else if (const auto* check_term = std::get_if<CheckTerm>(&effect)) {
        handle(MessageReceived{"a", LeadershipCheckReply{check_term->check.term, check_term->check.round}});
      } else if (const auto* send = std::get_if<SendMessage>(&effect)) {
        if (const auto* check = std::get_if<LeadershipCheck>(&send->message))
          handle(MessageReceived{send->to, LeadershipCheckReply{check->term, check->round}});
        if (const auto* revocation = std::get_if<LeaseRevocation>(&send->message);
            revocation != nullptr && send->to != silent_)
          handle(MessageReceived{send->to, LeaseRevocationAck{revocation->term, revocation->epoch}});
      }
    }
  }
  template <typename EffectType>
  const EffectType* last_effect() const {
    for (auto it = effects_.rbegin(); it != effects_.rend(); ++it) {
      if (const auto* found = std::get_if<EffectType>(&*it)) return found;
    }
    return nullptr;
  }
  std::size_t grant_count(const std::string& to) const {
    std::size_t count = 0;
    for (const Effect& effect : effects_) {
      const auto* send = std::get_if<SendMessage>(&effect);
      count += send != nullptr && send->to == to && std::holds_alternative<LeaseGrant>(send->message) ? 1 : 0;
    }
    return count;
  }
  /// Lets the members request leases for 6 s, which is longer than leases of earlier leaders last.
  void renew_leases(std::initializer_list<const char*> members) {
    for (int i = 0; i < 60; ++i) {
      advance_time(100ms);
      for (const char* name : members) handle(MessageReceived{name, LeaseRequest{++request_number_}});
      process_effects();
    }
  }

  Time now_{1h};
  State state_;
  std::vector<Effect> effects_;
  Index index_ = 0;
  std::uint64_t request_number_ = 0;
  std::string silent_;
};

TEST_F(LeaderTest, GrantsOnlyAfterAMajorityHasConfirmedItsLeadership) {
  handle(MessageReceived{"b", LeaseRequest{7}});
  EXPECT_EQ(grant_count("b"), 0U);
  process_effects();
  EXPECT_EQ(grant_count("b"), 1U);
  handle(MessageReceived{"c", LeaseRequest{3}});
  handle(MessageReceived{"b", LeadershipCheckReply{1, 99}});
  EXPECT_EQ(grant_count("c"), 0U) << "the reply is for a round that was not started";
}

TEST_F(LeaderTest, ActivatesOnceAllAreReadyAndHaveReleasedTheirLeases) {
  renew_leases({"b", "c"});
  handle(ProposeCall{1, "k", 0, "good"});
  process_effects();
  EXPECT_EQ(last_effect<AdminReply>(), nullptr);
  ASSERT_TRUE(state_.policy_state().change());
  handle(MessageReceived{"b", PrepareReply{1, true, ""}});
  process_effects();
  EXPECT_FALSE(state_.policy_state().change()->committed) << "c has not prepared";
  handle(MessageReceived{"c", PrepareReply{1, true, ""}});
  advance_time(100ms);
  process_effects();
  EXPECT_EQ(state_.policy_state().epoch(), 1U);
  ASSERT_NE(last_effect<AdminReply>(), nullptr);
  EXPECT_EQ(last_effect<AdminReply>()->status, 200);
}

TEST_F(LeaderTest, MemberThatCannotApplyThePolicyAbortsTheChange) {
  renew_leases({"b", "c"});
  handle(ProposeCall{1, "k", 0, "good"});
  process_effects();
  handle(MessageReceived{"c", PrepareReply{1, false, "key 'caches': 'box-9' is not known"}});
  process_effects();
  EXPECT_EQ(state_.policy_state().epoch(), 0U);
  EXPECT_EQ(last_effect<AdminReply>()->status, 409);
  EXPECT_NE(last_effect<AdminReply>()->body.find("c: key 'caches'"), std::string::npos)
      << last_effect<AdminReply>()->body;
  handle(ProposeCall{2, "l", 0, "bad"});
  EXPECT_EQ(last_effect<AdminReply>()->status, 422) << "the leader itself cannot apply the policy";
}

TEST_F(LeaderTest, WaitsForTheLeaseOfASilentMember) {
  renew_leases({"b", "c"});
  silent_ = "c";
  handle(ProposeCall{1, "k", 0, "good"});
  handle(MembersChanged{{{"a", true}, {"b", true}, {"c", false}}});
  handle(MessageReceived{"b", PrepareReply{1, true, ""}});
  process_effects();
  ASSERT_TRUE(state_.policy_state().change());
  const Time start = now_;
  while (state_.policy_state().epoch() == 0 && now_ - start < 20s) {
    advance_time(100ms);
    handle(MessageReceived{"b", LeaseRequest{++request_number_}});
    handle(MessageReceived{"b", PrepareReply{state_.policy_state().index(), true, ""}});
    process_effects();
  }
  EXPECT_GE(now_ - start, 5s - 200ms);
  EXPECT_LE(now_ - start, 6s);
  EXPECT_EQ(last_effect<AdminReply>()->status, 200);
}

TEST_F(LeaderTest, RevocationAckForAnEarlierChangeIsIgnored) {
  // A random schedule found this: the ack for the previous change was delivered twice, the second time 2 s
  // late.
  renew_leases({"b", "c"});
  silent_ = "c";
  for (const Epoch epoch : {0U, 1U}) {
    handle(ProposeCall{epoch + 1, "k" + std::to_string(epoch), epoch, "good"});
    process_effects();
    const Index change = state_.policy_state().change()->id;
    for (const char* name : {"b", "c"}) handle(MessageReceived{name, PrepareReply{change, true, ""}});
    for (const char* name : {"b", "c"}) handle(MessageReceived{name, LeaseRequest{++request_number_}});
    advance_time(10ms);
    process_effects();
    handle(MessageReceived{"c", LeaseRevocationAck{1, 0}});
    advance_time(100ms);
    process_effects();
    if (epoch == 0) renew_leases({"b", "c"});
  }
  EXPECT_EQ(state_.policy_state().epoch(), 1U) << "c may still decide under epoch 1";
  handle(MessageReceived{"c", LeaseRevocationAck{1, 1}});
  advance_time(100ms);
  process_effects();
  EXPECT_EQ(state_.policy_state().epoch(), 2U);
}

TEST_F(LeaderTest, LateMessageOfAnEarlierLeaderDoesNotChangeTheLeader) {
  renew_leases({"b", "c"});
  handle(MessageReceived{"b", LeaseRevocation{0, 7}});
  handle(MessageReceived{"b", LeaseGrant{1, 0, 5s, 0}});
  EXPECT_EQ(state_.leader(), "a");
}

TEST_F(LeaderTest, AnswersUnknownWithoutAResult) {
  handle(ProposeCall{1, "k", 0, "good"});
  advance_time(9s);
  EXPECT_EQ(last_effect<AdminReply>()->status, 503);
  EXPECT_NE(last_effect<AdminReply>()->body.find("unknown"), std::string::npos);
}

TEST_F(LeaderTest, OperatorCanAbortOnlyBeforeTheCommit) {
  renew_leases({"b", "c"});
  handle(AbortCall{1});
  EXPECT_EQ(last_effect<AdminReply>()->status, 404);
  handle(ProposeCall{2, "k", 0, "good"});
  process_effects();
  handle(AbortCall{3});
  process_effects();
  // The answer to the proposal; the abort call was answered with 202 before.
  EXPECT_EQ(last_effect<AdminReply>()->status, 409);
  EXPECT_EQ(state_.policy_state().outcome("k")->result, ChangeResult::aborted);
}

TEST_F(LeaderTest, ReachableMemberThatNeverRepliesAbortsTheChange) {
  renew_leases({"b", "c"});
  handle(ProposeCall{1, "k", 0, "good"});
  process_effects();
  handle(MessageReceived{"b", PrepareReply{1, true, ""}});
  for (int i = 0; i < 210; ++i) {
    advance_time(100ms);
    process_effects();
  }
  ASSERT_NE(state_.policy_state().outcome("k"), nullptr);
  EXPECT_EQ(state_.policy_state().outcome("k")->reason, "no answer in time from c");
}

TEST(MemberTest, DecidesOnlyAfterAGrantAndNotAfterALongPause) {
  Settings settings;
  settings.name = "m";
  settings.voters = {"a"};
  State state(settings, 50, 1, 1h);
  EXPECT_FALSE(state.decision_epoch(1h));
  Time now = 1h;
  std::uint64_t number = 0;
  for (const Effect& effect : state.handle(now, TimerExpired{})) {
    if (const auto* send = std::get_if<SendMessage>(&effect)) {
      if (const auto* request = std::get_if<LeaseRequest>(&send->message)) number = request->number;
    }
  }
  ASSERT_GT(number, 50U);
  state.handle(now + 10ms, MessageReceived{"a", LeaseGrant{number, 0, 5s, 0}});
  EXPECT_EQ(state.decision_epoch(now + 4900ms), 0U);
  now += 60s;  // the process was paused, as with SIGSTOP
  const auto effects = state.handle(now, MessageReceived{"a", LeaseGrant{number, 0, 5s, 0}});
  ASSERT_FALSE(effects.empty());
  const auto is_epoch_change = [](const Effect& effect) {
    return std::holds_alternative<EpochChanged>(effect);
  };
  const auto found = std::find_if(effects.begin(), effects.end(), is_epoch_change);
  ASSERT_NE(found, effects.end());
  EXPECT_FALSE(std::get<EpochChanged>(*found).epoch) << "the lease is checked before the input is handled";
}

TEST(MemberTest, DecidingWithoutALeaseIsCounted) {
  Settings settings;
  settings.name = "m";
  settings.voters = {"a"};
  settings.serve_when_partitioned = true;
  State state(settings, 0, 1, 1h);
  EXPECT_FALSE(state.decision_epoch(1h)) << "the member has not had a lease yet";
  state.handle(1h, TimerExpired{});
  state.handle(1h, MessageReceived{"a", LeaseGrant{1, 0, 5s, 0}});
  EXPECT_EQ(state.counters().unleased_periods, 0U);
  for (int i = 0; i < 3; ++i) state.handle(1h + 6s + i * 1s, TimerExpired{});
  EXPECT_EQ(state.decision_epoch(1h + 8s), 0U);
  EXPECT_EQ(state.counters().unleased_periods, 1U) << "one period counts once";
}

TEST(MemberTest, CatchesUpAndNeedsALeaseToDecide) {
  Settings settings;
  settings.name = "m";
  settings.voters = {"a"};
  State state(settings, 0, 1, 1h);
  Settings source_settings = settings;
  source_settings.name = "s";
  State source(source_settings, 0, 1, 1h);
  source.handle(1h, BecameFollower{"a", true});
  source.handle(1h, EntryApplied{1, propose_entry("k", 0)});
  source.handle(1h, EntryApplied{2, std::nullopt});
  source.handle(1h, EntryApplied{3, step_entry(Step::commit, 1)});
  source.handle(1h, EntryApplied{4, step_entry(Step::activate, 1)});
  state.handle(1h, MessageReceived{"a", LogPosition{4, "a"}});
  const auto reply = source.handle(1h, MessageReceived{"m", CatchUpRequest{0}});
  const auto* sent = std::get_if<SendMessage>(&reply.front());
  ASSERT_NE(sent, nullptr);
  const auto effects = state.handle(1h, MessageReceived{"s", sent->message});
  const auto* persist = std::get_if<PersistLearned>(&effects.front());
  ASSERT_NE(persist, nullptr) << "the entries have to be durable first";
  EXPECT_EQ(state.policy_state().epoch(), 0U);
  const auto& response = std::get<CatchUpResponse>(persist->learned);
  EXPECT_EQ(response.up_to_index, 4U);
  for (const auto& [index, entry] : response.entries) state.handle(1h, EntryApplied{index, entry});
  EXPECT_EQ(state.policy_state().epoch(), 1U);
  EXPECT_FALSE(state.decision_epoch(1h)) << "the member knows the epoch but holds no lease on it";
}

}  // namespace
}  // namespace edge_proxy::consensus
