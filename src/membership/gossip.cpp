// SPDX-License-Identifier: MIT
#include "membership/gossip.h"

#include <string>

namespace edge_proxy::membership {
namespace {

constexpr std::size_t kShutdownFanout = 16;
/// The process stops after the announcement, so each datagram is sent twice in case one is lost.
constexpr int kShutdownTransmits = 2;

}  // namespace

void Gossip::run_timers() {
  if (!has_work() || next_gossip_ > context_.now) return;
  next_gossip_ = context_.now + context_.settings.gossip_interval;
  send_updates();
  ping_suspects();
}

/// A member whose name is disputed continues to gossip, so that others learn of the dispute.
void Gossip::send_updates() {
  if (!context_.is_participating() && context_.self().status != MemberStatus::disputed) return;
  const auto fanout = static_cast<std::size_t>(context_.settings.gossip_fanout);
  for (const std::string& name : probe_order_.random_members(fanout)) {
    if (messenger_.broadcasts().empty()) return;
    messenger_.send(name, messenger_.make_message(MessageKind::gossip, name, 0));
  }
}

/// Pings the suspects with the earliest deadlines once half of their time has passed. Updates are sent a
/// bounded number of times, so a refutation occasionally reaches all members but one, which would then
/// declare the suspect dead on its own. The answer to the ping carries the refutation. Only members that
/// still hold the suspicion send these pings.
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
