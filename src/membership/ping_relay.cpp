// SPDX-License-Identifier: MIT
#include "membership/ping_relay.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "membership/durations.h"

namespace edge_proxy::membership {
namespace {

/// Bounds the work that a member can cause by sending requests without end.
constexpr std::size_t kMaxRelayedPings = 64;
/// Fraction of the probe timeout after which a nack is sent.
constexpr double kNackDelayFactor = 0.8;
/// A relayed ping is dropped after this many probe timeouts.
constexpr int kExpiryTimeouts = 4;

}  // namespace

void PingRelay::on_ping_req(const Message& request) {
  if (pings_.size() >= kMaxRelayedPings || request.target == context_.settings.name) return;
  const std::uint64_t sequence = messenger_.next_sequence();
  const Time probe_timeout = context_.settings.probe_timeout;
  pings_[sequence] = {.target = request.target,
                      .requester = request.from.name,
                      .requester_sequence = request.sequence,
                      .nack_at = context_.now + scaled(probe_timeout, kNackDelayFactor),
                      .expires_at = context_.now + kExpiryTimeouts * probe_timeout};
  const bool is_known = context_.view.find(request.target) != nullptr;
  const std::string address =
      is_known ? messenger_.address_of(request.target) : messenger_.resolved_address(request.target_address);
  messenger_.send_plain(address, messenger_.make_message(MessageKind::ping, request.target, sequence));
}

bool PingRelay::on_ack(const Message& ack) {
  const auto found = pings_.find(ack.sequence);
  if (found == pings_.end()) return false;
  const RelayedPing& ping = found->second;
  if (ping.target != ack.from.name) return true;
  Message relayed = messenger_.make_message(MessageKind::ack, ping.requester, ping.requester_sequence);
  relayed.target = ack.from.name;
  messenger_.send(ping.requester, std::move(relayed));
  pings_.erase(found);
  return true;
}

void PingRelay::run_timers() {
  for (auto it = pings_.begin(); it != pings_.end();) {
    RelayedPing& ping = it->second;
    if (!ping.nack_sent && ping.nack_at <= context_.now) send_nack(ping);
    it = ping.expires_at <= context_.now ? pings_.erase(it) : std::next(it);
  }
}

void PingRelay::send_nack(RelayedPing& ping) {
  ping.nack_sent = true;
  if (!context_.settings.lifeguard) return;
  messenger_.send(ping.requester,
                  messenger_.make_message(MessageKind::nack, ping.requester, ping.requester_sequence));
}

Time PingRelay::next_due() const {
  Time due = Time::max();
  for (const auto& [sequence, ping] : pings_) {
    due = std::min(due, ping.nack_sent ? ping.expires_at : ping.nack_at);
  }
  return due;
}

}  // namespace edge_proxy::membership
