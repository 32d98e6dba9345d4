// SPDX-License-Identifier: MIT
// Unit tests of the parts of the membership reducer.
#include <gtest/gtest.h>

#include <algorithm>

#include "membership/gossip.h"
#include "membership/local_health.h"
#include "membership/ping_relay.h"
#include "membership/probe_order.h"
#include "membership/quota_adapter.h"
#include "membership/reconnector.h"
#include "membership/refutation.h"
#include "membership/state_sync.h"
#include "membership/suspicion_timers.h"

namespace edge_proxy::test {
namespace {

using namespace std::chrono_literals;
using namespace membership;

MemberUpdate member_update(const std::string& name, MemberStatus status = MemberStatus::alive,
                           const std::string& reported_by = {}) {
  return {.name = name,
          .address = "10.0.0." + std::to_string(1 + name.back() - '0') + ":7",
          .disk_id = 1,
          .incarnation = kEpochStep,
          .status = status,
          .reported_by = reported_by};
}

Settings settings_of(const std::string& name) {
  Settings settings;
  settings.cluster = "test";
  settings.name = name;
  settings.address = member_update(name).address;
  return settings;
}

/// The member n0, which knows n1 to n4, after the end of the grace period that follows its start.
class MembershipParts : public testing::Test {
 protected:
  MembershipParts() {
    for (const char* name : {"n0", "n1", "n2", "n3", "n4"}) context_.view.merge(member_update(name), kStart);
    context_.now = kStart + 1h;
  }

  Member& suspect(const std::string& name, const std::string& reporter) {
    context_.view.merge(member_update(name, MemberStatus::suspect, reporter), context_.now);
    return *context_.view.find(name);
  }
  template <typename EffectType>
  [[nodiscard]] std::vector<EffectType> effects() const {
    std::vector<EffectType> found;
    for (const Effect& effect : context_.effects) {
      if (const auto* wanted = std::get_if<EffectType>(&effect)) found.push_back(*wanted);
    }
    return found;
  }

  static constexpr Time kStart{1h};
  Context context_{settings_of("n0"), 1, kStart};
  Messenger messenger_{context_};
  ProbeOrder probe_order_{context_};
  SuspicionTimers suspicions_{context_};
};

TEST(LocalHealth, ScoreStaysWithinItsBounds) {
  LocalHealth health(true, 8);
  health.recover();
  EXPECT_EQ(health.score(), 0);
  health.degrade(3);
  EXPECT_EQ(health.probe_slowdown(), 4);
  health.degrade_fully();
  EXPECT_EQ(health.score(), 8);
  health.recover();
  EXPECT_EQ(health.score(), 7);
}

TEST(LocalHealth, ScoreStaysZeroIfDisabled) {
  LocalHealth health(false, 8);
  health.degrade_fully();
  EXPECT_EQ(health.probe_slowdown(), 1);
}

TEST_F(MembershipParts, ConfirmationsShortenTheDeadline) {
  Member& member = suspect("n1", "n2");
  suspicions_.set_deadline(member);
  EXPECT_EQ(suspicions_.next_due(), context_.now + 3200ms) << "four times the shortest timeout";
  suspect("n1", "n3");
  suspicions_.set_deadline(member);
  const Time once_confirmed = suspicions_.next_due();
  EXPECT_LT(once_confirmed, context_.now + 3200ms);
  suspect("n1", "n4");
  suspicions_.set_deadline(member);
  EXPECT_LT(suspicions_.next_due(), once_confirmed);
  EXPECT_EQ(suspicions_.next_due(), context_.now + 800ms);
  EXPECT_EQ(suspicions_.entries(), 4U) << "one deadline, three reporters";
}

TEST_F(MembershipParts, ExpiredSuspicionIsReportedUntilCancelled) {
  Member& member = suspect("n1", "n2");
  suspicions_.set_deadline(member);
  EXPECT_FALSE(suspicions_.next_expired());
  context_.now = suspicions_.next_due();
  EXPECT_EQ(suspicions_.next_expired(), "n1");
  suspicions_.postpone(1s);
  EXPECT_FALSE(suspicions_.next_expired());
  EXPECT_EQ(suspicions_.past_half_time(3), std::vector<std::string>{"n1"});
  EXPECT_TRUE(suspicions_.past_half_time(0).empty());
  suspicions_.cancel(member);
  EXPECT_TRUE(suspicions_.empty());
  EXPECT_EQ(suspicions_.next_due(), Time::max());
}

TEST_F(MembershipParts, EachRoundProbesEachReachableMemberOnce) {
  context_.view.merge(member_update("n3", MemberStatus::dead, "n1"), context_.now);
  for (int round = 0; round < 3; ++round) {
    std::vector<std::string> probed;
    for (int i = 0; i < 3; ++i) probed.push_back(probe_order_.next().value());
    std::sort(probed.begin(), probed.end());
    EXPECT_EQ(probed, (std::vector<std::string>{"n1", "n2", "n4"})) << round;
  }
}

TEST_F(MembershipParts, RandomMembersAreDistinctReachableAndNotExcluded) {
  probe_order_.start({"n1", "n2", "n3", "n4"});
  context_.view.merge(member_update("n3", MemberStatus::dead, "n1"), context_.now);
  for (int draw = 0; draw < 50; ++draw) {
    std::vector<std::string> drawn = probe_order_.random_members(3, "n1");
    std::sort(drawn.begin(), drawn.end());
    EXPECT_TRUE(std::adjacent_find(drawn.begin(), drawn.end()) == drawn.end());
    EXPECT_EQ(std::count(drawn.begin(), drawn.end(), "n1"), 0);
    EXPECT_EQ(std::count(drawn.begin(), drawn.end(), "n3"), 0);
  }
}

TEST_F(MembershipParts, DatagramToASuspectCarriesItsStatusFirst) {
  suspect("n1", "n2");
  messenger_.broadcasts().enqueue(member_update("n4"));
  messenger_.send("n1", messenger_.make_message(MessageKind::ping, "n1", messenger_.next_sequence()));
  const std::vector<SendDatagram> sent = effects<SendDatagram>();
  ASSERT_EQ(sent.size(), 1U);
  ASSERT_EQ(sent[0].message.updates.size(), 2U);
  EXPECT_EQ(sent[0].message.updates[0].name, "n1");
  EXPECT_EQ(sent[0].message.updates[1].name, "n4");
}

TEST_F(MembershipParts, RelayedPingSendsANackAndThenRelaysTheAck) {
  PingRelay relay(context_, messenger_);
  Message request = messenger_.make_message(MessageKind::ping_req, "n0", 77);
  request.from = member_update("n1");
  request.target = "n2";
  request.target_address = member_update("n2").address;
  relay.on_ping_req(request);
  const std::vector<SendDatagram> pings = effects<SendDatagram>();
  ASSERT_EQ(pings.size(), 1U);
  EXPECT_EQ(pings[0].message.to, "n2");
  context_.now = relay.next_due();
  relay.run_timers();
  Message ack = messenger_.make_message(MessageKind::ack, "n0", pings[0].message.sequence);
  ack.from = member_update("n2");
  EXPECT_TRUE(relay.on_ack(ack));
  EXPECT_FALSE(relay.on_ack(ack)) << "an ack is relayed once";
  const std::vector<SendDatagram> sent = effects<SendDatagram>();
  ASSERT_EQ(sent.size(), 3U);
  EXPECT_EQ(sent[1].message.kind, MessageKind::nack);
  EXPECT_EQ(sent[2].message.kind, MessageKind::ack);
  EXPECT_EQ(sent[2].message.sequence, 77U);
  EXPECT_EQ(sent[2].message.target, "n2");
}

TEST_F(MembershipParts, LastingDigestDifferenceStartsAFullSync) {
  StateSync state_sync(context_, messenger_, probe_order_);
  Message message = messenger_.make_message(MessageKind::gossip, "n0", 0);
  message.from = member_update("n1");
  message.digest = context_.view.digest() + 1;
  state_sync.compare_digest(message);
  EXPECT_EQ(state_sync.members_with_other_view().first, 1U);
  EXPECT_TRUE(effects<SendFullSync>().empty());
  context_.now += 2s;
  state_sync.compare_digest(message);
  EXPECT_EQ(effects<SendFullSync>().size(), 1U);
  message.digest = context_.view.digest();
  state_sync.compare_digest(message);
  EXPECT_EQ(state_sync.members_with_other_view().first, 0U);
}

TEST_F(MembershipParts, PingsUnreachableMembersButNotSeedsOfKnownMembers) {
  Settings settings = settings_of("n0");
  settings.seeds = {member_update("n1").address};
  Context context(settings, 1, kStart);
  Messenger messenger(context);
  for (const char* name : {"n0", "n1"}) context.view.merge(member_update(name), kStart);
  context.view.merge(member_update("n2", MemberStatus::dead, "n1"), kStart);
  Reconnector reconnector(context, messenger);
  reconnector.run_timers();
  ASSERT_EQ(context.effects.size(), 1U);
  EXPECT_EQ(std::get<SendDatagram>(context.effects[0]).address, member_update("n2").address);
}

class MembershipRefutation : public MembershipParts {
 protected:
  LocalHealth health_{true, 8};
  QuotaAdapter quota_{context_, Identity{}};
  int disputes_ = 0;
  Refutation refutation_{context_, messenger_, health_, quota_, [this] { ++disputes_; }};
};

TEST_F(MembershipRefutation, SuspicionIsRefutedByAHigherIncarnation) {
  refutation_.on_update_of_self(member_update("n0", MemberStatus::suspect, "n1"));
  EXPECT_EQ(context_.self().incarnation, kEpochStep + 1);
  EXPECT_EQ(context_.self().status, MemberStatus::alive);
  EXPECT_EQ(health_.score(), 1);
  EXPECT_EQ(disputes_, 0);
}

TEST_F(MembershipRefutation, ForgottenMemberRejoinsInANewEpoch) {
  refutation_.on_update_of_self(member_update("n0", MemberStatus::forgotten, "n1"));
  EXPECT_EQ(context_.self().incarnation, 2 * kEpochStep);
  EXPECT_EQ(context_.self().status, MemberStatus::alive);
}

TEST_F(MembershipRefutation, OtherDiskAfterTheGracePeriodIsDisputed) {
  MemberUpdate other = member_update("n0");
  other.disk_id = 2;
  other.incarnation = 5 * kEpochStep;
  refutation_.on_update_of_self(other);
  EXPECT_EQ(context_.self().status, MemberStatus::disputed);
  EXPECT_EQ(disputes_, 1);
  EXPECT_FALSE(context_.is_participating());
}

TEST_F(MembershipRefutation, OtherDiskDuringTheGracePeriodIsSuperseded) {
  context_.now = kStart + 1s;
  MemberUpdate other = member_update("n0");
  other.disk_id = 2;
  other.incarnation = 5 * kEpochStep;
  refutation_.on_update_of_self(other);
  EXPECT_EQ(context_.self().status, MemberStatus::alive);
  EXPECT_EQ(context_.self().incarnation, 6 * kEpochStep + 1);
  EXPECT_EQ(disputes_, 0);
}

}  // namespace
}  // namespace edge_proxy::test
