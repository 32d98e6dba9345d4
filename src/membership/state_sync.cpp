// SPDX-License-Identifier: MIT
#include "membership/state_sync.h"

#include <algorithm>
#include <random>

#include "membership/durations.h"

namespace edge_proxy::membership {
namespace {

using namespace std::chrono_literals;

/// Number of members up to which the interval of periodic syncs is constant.
constexpr double kFullSyncBaseMembers = 32;
/// Fraction of the interval after which the first periodic sync happens at the earliest.
constexpr double kMinFirstSyncDelay = 0.5;
/// A view must differ for this long before a full sync repairs it, since gossip repairs most differences.
constexpr Time kDifferenceTolerance = 2s;
/// Minimum time between the last full sync and a repair, and its increase per registered member.
constexpr Time kMinRepairInterval = 5s;
constexpr Time kRepairIntervalPerMember = 20ms;

}  // namespace

StateSync::StateSync(Context& context, Messenger& messenger, ProbeOrder& probe_order)
    : context_(context), messenger_(messenger), probe_order_(probe_order), next_full_sync_(context.now) {}

void StateSync::start() {
  std::uniform_real_distribution<> interval_part(kMinFirstSyncDelay, 1);
  next_full_sync_ += scaled(context_.settings.full_sync_interval, interval_part(context_.random));
}

void StateSync::run_timers() {
  if (next_full_sync_ > context_.now) return;
  const auto member_count = static_cast<double>(context_.view.registered());
  const double interval_factor = std::max(1.0, member_count / kFullSyncBaseMembers);
  next_full_sync_ = context_.now + scaled(context_.settings.full_sync_interval, interval_factor);
  for (const std::string& name : probe_order_.random_members(1)) full_sync_with(name);
}

void StateSync::full_sync_with(const std::string& name) {
  ++context_.counters.full_syncs;
  last_full_sync_ = context_.now;
  Message request = messenger_.make_message(MessageKind::full_sync, name, messenger_.next_sequence());
  request.updates = context_.view.updates();
  messenger_.send_over_stream(messenger_.address_of(name), std::move(request));
}

void StateSync::reply(const Message& request, std::uint64_t stream) {
  Message reply = messenger_.make_message(MessageKind::full_sync_reply, request.from.name, request.sequence);
  reply.updates = context_.view.updates();
  context_.effects.emplace_back(FullSyncReply{stream, std::move(reply)});
}

void StateSync::compare_digest(const Message& message) {
  const std::string& sender = message.from.name;
  if (message.digest == context_.view.digest()) {
    differs_since_.erase(sender);
    return;
  }
  const Time since = differs_since_.try_emplace(sender, context_.now).first->second;
  const auto member_count = static_cast<int>(context_.view.registered());
  const Time repair_interval = kMinRepairInterval + kRepairIntervalPerMember * member_count;
  if (context_.now - since < kDifferenceTolerance || context_.now - last_full_sync_ < repair_interval ||
      !context_.is_participating()) {
    return;
  }
  full_sync_with(sender);
}

void StateSync::on_stall() {
  for (auto& [name, since] : differs_since_) since = context_.now;
}

std::pair<std::size_t, Time> StateSync::members_with_other_view() const {
  Time earliest = context_.now;
  for (const auto& [name, since] : differs_since_) earliest = std::min(earliest, since);
  return {differs_since_.size(), earliest};
}

}  // namespace edge_proxy::membership
