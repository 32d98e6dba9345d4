// SPDX-License-Identifier: MIT
// Agreement at one proxy at a time: the register, the lease, the leader's side and operators' calls. Many
// together: agreed_model_test.cpp and agreed_world_test.cpp.
#include "consensus/reducer.h"

#include <gtest/gtest.h>

namespace edge_proxy::consensus {
namespace {

using namespace std::chrono_literals;

Entry propose(const std::string& key, Epoch base) {
  return {Step::propose, 0, key, base, "policy of " + key, {}};
}
Entry step(Step what, Index change, const std::string& reason = "") {
  return {what, change, {}, 0, {}, reason};
}

TEST(Register, AChangeBecomesActiveOrIsAborted) {
  PolicyStateMachine r;
  r.apply(1, propose("a", 0));
  ASSERT_TRUE(r.change());
  EXPECT_EQ(r.change()->epoch, 1U);
  r.apply(2, step(Step::activate, 1));
  EXPECT_EQ(r.epoch(), 0U) << "not before it is committed";
  r.apply(3, step(Step::commit, 1));
  r.apply(4, step(Step::abort, 1));
  EXPECT_TRUE(r.change()) << "not taken back any more";
  r.apply(5, step(Step::activate, 1));
  EXPECT_EQ(r.epoch(), 1U);
  EXPECT_EQ(r.policy(), "policy of a");
  r.apply(6, propose("b", 1));
  r.apply(7, step(Step::abort, 6, "edge-2: no"));
  EXPECT_EQ(r.epoch(), 1U);
  EXPECT_EQ(r.outcome("b")->result, ChangeResult::aborted);
  EXPECT_EQ(r.outcome("b")->reason, "edge-2: no");
}

TEST(Register, OneChangeAtATimeOnTheActiveEpochAndOneForEachKey) {
  PolicyStateMachine r;
  r.apply(1, propose("a", 0));
  r.apply(2, propose("b", 0));
  EXPECT_EQ(r.outcome("b")->result, ChangeResult::rejected);
  r.apply(3, propose("a", 0));
  EXPECT_EQ(r.change()->id, 1U);
  r.apply(4, step(Step::commit, 1));
  r.apply(5, step(Step::activate, 1));
  r.apply(6, propose("a", 1));
  EXPECT_FALSE(r.change()) << "that key has been decided";
  r.apply(7, propose("c", 0));
  EXPECT_EQ(r.outcome("c")->result, ChangeResult::rejected);
  EXPECT_EQ(PolicyStateMachine(r.snapshot()).snapshot(), r.snapshot());
}

TEST(Lease, IsCountedFromTheAskAndKnowsWhatItAskedFor) {
  EpochLease lease(100);
  const std::uint64_t first = lease.new_request(10s);
  EXPECT_FALSE(lease.on_grant({first - 1, 0, 5s, 0}, 0, 11s)) << "not asked for by this process";
  EXPECT_TRUE(lease.on_grant({first, 0, 5s, 0}, 0, 12s));
  EXPECT_TRUE(lease.held_epoch(14s));
  EXPECT_FALSE(lease.held_epoch(15s));
  const std::uint64_t second = lease.new_request(13s);
  lease.revoke();
  EXPECT_FALSE(lease.on_grant({second, 0, 5s, 0}, 0, 14s)) << "given up with what was asked for";
  const std::uint64_t third = lease.new_request(14s);
  EXPECT_FALSE(lease.on_grant({third, 1, 5s, 0}, 0, 14s)) << "an epoch that it does not know";
}

/// One proxy of three that leads, the other two played here.
class Leader : public testing::Test {
 protected:
  Leader() : state_(settings(), 0, 1, now_) {
    take(MembersChanged{{{"a", true}, {"b", true}, {"c", true}}});
    take(BecameLeader{1, {"a", "b", "c"}});
  }
  static Settings settings() {
    Settings s;
    s.name = "a";
    s.voters = {"a", "b", "c"};
    s.check_policy = [](const std::string& policy) -> std::optional<std::string> {
      if (policy == "bad") return "key 'x': should be 1 or more";
      return std::nullopt;
    };
    return s;
  }
  void take(const Input& input) {
    for (Effect& effect : state_.handle(now_, input)) effects_.push_back(std::move(effect));
  }
  void pass(Time span) {
    now_ += span;
    take(TimerExpired{});
  }
  /// Its log and the voters' answers, as long as there is something to do.
  void settle() {
    for (std::size_t at = 0; at < effects_.size(); ++at) {
      const Effect effect = effects_[at];
      if (const auto* append = std::get_if<AppendEntry>(&effect)) {
        take(EntryApplied{++index_, append->entry});
      } else if (const auto* ask = std::get_if<CheckTerm>(&effect)) {
        take(MessageReceived{"a", LeadershipCheckReply{ask->check.term, ask->check.round}});
      } else if (const auto* send = std::get_if<SendMessage>(&effect)) {
        if (const auto* confirm = std::get_if<LeadershipCheck>(&send->message))
          take(MessageReceived{send->to, LeadershipCheckReply{confirm->term, confirm->round}});
        if (const auto* yield = std::get_if<LeaseRevocation>(&send->message);
            yield != nullptr && send->to != silent_)
          take(MessageReceived{send->to, LeaseRevocationAck{yield->term, yield->epoch}});
      }
    }
  }
  template <typename What>
  const What* last() const {
    for (auto it = effects_.rbegin(); it != effects_.rend(); ++it) {
      if (const auto* found = std::get_if<What>(&*it)) return found;
    }
    return nullptr;
  }
  std::size_t grants(const std::string& to) const {
    std::size_t all = 0;
    for (const Effect& effect : effects_) {
      const auto* send = std::get_if<SendMessage>(&effect);
      all += send != nullptr && send->to == to && std::holds_alternative<LeaseGrant>(send->message) ? 1 : 0;
    }
    return all;
  }
  /// All have been heard: past the leases of leaders before, and all three hold leases.
  void warm(std::initializer_list<const char*> who) {
    for (int i = 0; i < 60; ++i) {
      pass(100ms);
      for (const char* name : who) take(MessageReceived{name, LeaseRequest{++number_}});
      settle();
    }
  }

  Time now_{1h};
  State state_;
  std::vector<Effect> effects_;
  Index index_ = 0;
  std::uint64_t number_ = 0;
  std::string silent_;
};

TEST_F(Leader, GrantsOnlyOnceAMajorityHasSaidThatItStillLeads) {
  take(MessageReceived{"b", LeaseRequest{7}});
  EXPECT_EQ(grants("b"), 0U);
  settle();
  EXPECT_EQ(grants("b"), 1U);
  take(MessageReceived{"c", LeaseRequest{3}});
  take(MessageReceived{"b", LeadershipCheckReply{1, 99}});
  EXPECT_EQ(grants("c"), 0U) << "of no round that is out";
}

TEST_F(Leader, ChangesWhereAllArePreparedAndHaveYielded) {
  warm({"b", "c"});
  take(ProposeCall{1, "k", 0, "good"});
  settle();
  EXPECT_EQ(last<AdminReply>(), nullptr);
  ASSERT_TRUE(state_.policy_state().change());
  take(MessageReceived{"b", PrepareReply{1, true, ""}});
  settle();
  EXPECT_FALSE(state_.policy_state().change()->committed) << "c has not prepared";
  take(MessageReceived{"c", PrepareReply{1, true, ""}});
  pass(100ms);
  settle();
  EXPECT_EQ(state_.policy_state().epoch(), 1U);
  ASSERT_NE(last<AdminReply>(), nullptr);
  EXPECT_EQ(last<AdminReply>()->status, 200);
}

TEST_F(Leader, OneThatCannotRunItEndsTheChangeForAll) {
  warm({"b", "c"});
  take(ProposeCall{1, "k", 0, "good"});
  settle();
  take(MessageReceived{"c", PrepareReply{1, false, "key 'caches': 'box-9' is not known"}});
  settle();
  EXPECT_EQ(state_.policy_state().epoch(), 0U);
  EXPECT_EQ(last<AdminReply>()->status, 409);
  EXPECT_NE(last<AdminReply>()->body.find("c: key 'caches'"), std::string::npos) << last<AdminReply>()->body;
  take(ProposeCall{2, "l", 0, "bad"});
  EXPECT_EQ(last<AdminReply>()->status, 422) << "it can't run it itself";
}

TEST_F(Leader, WaitsForTheLeaseOfOneThatFellSilent) {
  warm({"b", "c"});
  silent_ = "c";
  take(ProposeCall{1, "k", 0, "good"});
  take(MembersChanged{{{"a", true}, {"b", true}, {"c", false}}});
  take(MessageReceived{"b", PrepareReply{1, true, ""}});
  settle();
  ASSERT_TRUE(state_.policy_state().change());
  const Time began = now_;
  while (state_.policy_state().epoch() == 0 && now_ - began < 20s) {
    pass(100ms);
    take(MessageReceived{"b", LeaseRequest{++number_}});
    take(MessageReceived{"b", PrepareReply{state_.policy_state().index(), true, ""}});
    settle();
  }
  EXPECT_GE(now_ - began, 5s - 200ms);
  EXPECT_LE(now_ - began, 6s);
  EXPECT_EQ(last<AdminReply>()->status, 200);
}

TEST_F(Leader, WhatWasYieldedForAnEarlierChangeCountsForNoLaterOne) {
  // Found by a drawn schedule: the answer for the change before came twice, the second time two seconds late.
  warm({"b", "c"});
  silent_ = "c";
  for (const Epoch epoch : {0U, 1U}) {
    take(ProposeCall{epoch + 1, "k" + std::to_string(epoch), epoch, "good"});
    settle();
    const Index change = state_.policy_state().change()->id;
    for (const char* name : {"b", "c"}) take(MessageReceived{name, PrepareReply{change, true, ""}});
    for (const char* name : {"b", "c"}) take(MessageReceived{name, LeaseRequest{++number_}});
    pass(10ms);
    settle();
    take(MessageReceived{"c", LeaseRevocationAck{1, 0}});
    pass(100ms);
    settle();
    if (epoch == 0) warm({"b", "c"});
  }
  EXPECT_EQ(state_.policy_state().epoch(), 1U) << "c may still decide under it";
  take(MessageReceived{"c", LeaseRevocationAck{1, 1}});
  pass(100ms);
  settle();
  EXPECT_EQ(state_.policy_state().epoch(), 2U);
}

TEST_F(Leader, ALateWordOfALeaderBeforeDoesNotTurnItAwayFromItself) {
  warm({"b", "c"});
  take(MessageReceived{"b", LeaseRevocation{0, 7}});
  take(MessageReceived{"b", LeaseGrant{1, 0, 5s, 0}});
  EXPECT_EQ(state_.leader(), "a");
}

TEST_F(Leader, TellsUnknownWhereItDoesNotKnow) {
  take(ProposeCall{1, "k", 0, "good"});
  pass(9s);
  EXPECT_EQ(last<AdminReply>()->status, 503);
  EXPECT_NE(last<AdminReply>()->body.find("unknown"), std::string::npos);
}

TEST_F(Leader, AnOperatorAbortsBeforeTheCommitOnly) {
  warm({"b", "c"});
  take(AbortCall{1});
  EXPECT_EQ(last<AdminReply>()->status, 404);
  take(ProposeCall{2, "k", 0, "good"});
  settle();
  take(AbortCall{3});
  settle();
  EXPECT_EQ(last<AdminReply>()->status, 409);  // of the change; 202 went to the abort's caller before
  EXPECT_EQ(state_.policy_state().outcome("k")->result, ChangeResult::aborted);
}

TEST_F(Leader, AReachableOneThatNeverPreparesEndsTheChange) {
  warm({"b", "c"});
  take(ProposeCall{1, "k", 0, "good"});
  settle();
  take(MessageReceived{"b", PrepareReply{1, true, ""}});
  for (int i = 0; i < 210; ++i) {
    pass(100ms);
    settle();
  }
  ASSERT_NE(state_.policy_state().outcome("k"), nullptr);
  EXPECT_EQ(state_.policy_state().outcome("k")->reason, "no answer in time from c");
}

TEST(Member, DecidesNothingBeforeAGrantAndNothingAfterAStandstill) {
  Settings settings;
  settings.name = "m";
  settings.voters = {"a"};
  State state(settings, 50, 1, 1h);
  EXPECT_FALSE(state.decision_epoch(1h));
  Time now = 1h;
  std::uint64_t number = 0;
  for (const Effect& effect : state.handle(now, TimerExpired{})) {
    if (const auto* send = std::get_if<SendMessage>(&effect)) {
      if (const auto* ask = std::get_if<LeaseRequest>(&send->message)) number = ask->number;
    }
  }
  ASSERT_GT(number, 50U);
  state.handle(now + 10ms, MessageReceived{"a", LeaseGrant{number, 0, 5s, 0}});
  EXPECT_EQ(state.decision_epoch(now + 4900ms), 0U);
  now += 60s;  // SIGSTOP
  const auto effects = state.handle(now, MessageReceived{"a", LeaseGrant{number, 0, 5s, 0}});
  ASSERT_FALSE(effects.empty());
  const auto is_decide = [](const Effect& e) { return std::holds_alternative<EpochChanged>(e); };
  const auto found = std::find_if(effects.begin(), effects.end(), is_decide);
  ASSERT_NE(found, effects.end());
  EXPECT_FALSE(std::get<EpochChanged>(*found).epoch) << "the lease is looked at before the input";
}

TEST(Member, OneThatGoesOnCutOffCountsAndTellsThatThePromiseIsBroken) {
  Settings settings;
  settings.name = "m";
  settings.voters = {"a"};
  settings.serve_when_partitioned = true;
  State state(settings, 0, 1, 1h);
  EXPECT_FALSE(state.decision_epoch(1h)) << "it never knew an epoch";
  state.handle(1h, TimerExpired{});
  state.handle(1h, MessageReceived{"a", LeaseGrant{1, 0, 5s, 0}});
  EXPECT_EQ(state.counters().unleased_periods, 0U);
  for (int i = 0; i < 3; ++i) state.handle(1h + 6s + i * 1s, TimerExpired{});
  EXPECT_EQ(state.decision_epoch(1h + 8s), 0U);
  EXPECT_EQ(state.counters().unleased_periods, 1U) << "once, as long as it lasts";
}

TEST(Member, PullsWhatItLacksAndDecidesUnderWhatItKnowsOnly) {
  Settings settings;
  settings.name = "m";
  settings.voters = {"a"};
  State state(settings, 0, 1, 1h);
  Settings other = settings;
  other.name = "s";
  State source(other, 0, 1, 1h);
  source.handle(1h, BecameFollower{"a", true});
  source.handle(1h, EntryApplied{1, propose("k", 0)});
  source.handle(1h, EntryApplied{2, std::nullopt});
  source.handle(1h, EntryApplied{3, step(Step::commit, 1)});
  source.handle(1h, EntryApplied{4, step(Step::activate, 1)});
  state.handle(1h, MessageReceived{"a", LogPosition{4, "a"}});
  const auto answer = source.handle(1h, MessageReceived{"m", CatchUpRequest{0}});
  const auto* sent = std::get_if<SendMessage>(&answer.front());
  ASSERT_NE(sent, nullptr);
  const auto learn = state.handle(1h, MessageReceived{"s", sent->message});
  const auto* what = std::get_if<PersistLearned>(&learn.front());
  ASSERT_NE(what, nullptr) << "to its disk first";
  EXPECT_EQ(state.policy_state().epoch(), 0U);
  const auto& pulled = std::get<CatchUpResponse>(what->learned);
  EXPECT_EQ(pulled.up_to_index, 4U);
  for (const auto& [index, entry] : pulled.entries) state.handle(1h, EntryApplied{index, entry});
  EXPECT_EQ(state.policy_state().epoch(), 1U);
  EXPECT_FALSE(state.decision_epoch(1h)) << "to know it is not to hold a lease on it";
}

}  // namespace
}  // namespace edge_proxy::consensus
