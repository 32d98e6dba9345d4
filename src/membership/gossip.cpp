// SPDX-License-Identifier: MIT
#include "membership/gossip.h"

#include <string>

namespace edge_proxy::membership {
namespace {

constexpr std::size_t kShutdownFanout = 16;
/// Guards what is sent only once, at the shutdown, against one lost datagram.
constexpr int kShutdownTransmits = 2;

}  // namespace

void Gossip::run_timers() {
  if (!has_work() || next_gossip_ > context_.now) return;
  next_gossip_ = context_.now + context_.settings.gossip_interval;
  send_updates();
  ping_suspects();
}

/// A member whose name is disputed goes on sending that.
void Gossip::send_updates() {
  if (!context_.is_participating() && context_.self().status != MemberStatus::disputed) return;
  const auto fanout = static_cast<std::size_t>(context_.settings.gossip_fanout);
  for (const std::string& name : probe_order_.random_members(fanout)) {
    if (messenger_.broadcasts().empty()) return;
    messenger_.send(name, messenger_.make_message(MessageKind::gossip, name, 0));
  }
}

/// Pings the suspects that are next to count as dead once half of their time is over. Guards them against a
/// refutation that missed this member: updates are sent a bounded number of times, so that now and then one
/// reaches all members but one, which would declare the death alone. Only members that still hold the
/// suspicion ping.
void Gossip::ping_suspects() {
  if (!context_.settings.lifeguard || !context_.is_participating()) return;
  const auto fanout = static_cast<std::size_t>(context_.settings.gossip_fanout);
  for (const std::string& name : suspicions_.past_half_time(fanout)) {
    messenger_.send(name, messenger_.make_message(MessageKind::ping, name, messenger_.next_sequence()));
  }
}

void Gossip::announce_shutdown(const MemberUpdate& update) {
  for (const std::string& name : probe_order_.random_members(kShutdownFanout)) {
    Message message = messenger_.make_message(MessageKind::gossip, name, 0);
    message.updates.push_back(update);
    for (int i = 0; i < kShutdownTransmits; ++i) messenger_.send_plain(messenger_.address_of(name), message);
  }
}

}  // namespace edge_proxy::membership
