// SPDX-License-Identifier: MIT
#include "membership/failure_detector.h"

#include <algorithm>
#include <optional>
#include <random>
#include <utility>

namespace edge_proxy::membership {
namespace {

using namespace std::chrono_literals;

/// If a message from a member arrived within this time, its datagrams reach this proxy.
constexpr Time kRecentMessageWindow = 3s;

}  // namespace

FailureDetector::FailureDetector(Context& context, Messenger& messenger, ProbeOrder& probe_order,
                                 LocalHealth& health, QuotaAdapter& quota)
    : context_(context),
      messenger_(messenger),
      probe_order_(probe_order),
      health_(health),
      quota_(quota),
      next_probe_(context.now) {}

void FailureDetector::start() {
  std::uniform_int_distribution<Time::rep> offset(0, context_.settings.probe_interval.count());
  next_probe_ += Time{offset(context_.random)};
}

// ---- Messages ----

void FailureDetector::on_ping(const Message& ping) {
  Message ack = messenger_.make_message(MessageKind::ack, ping.from.name, ping.sequence);
  quota_.fill_ack(ack, ping.from);
  messenger_.reply(ping.from, std::move(ack));
}

void FailureDetector::on_ack(const Message& ack) {
  const auto found = probes_.find(ack.sequence);
  if (found == probes_.end()) return;
  Probe& probe = found->second;
  const bool is_direct = probe.target == ack.from.name && ack.target.empty();
  if (is_direct) {
    if (Member* member = context_.view.find(probe.target)) set_reachability(*member, Reachability::direct);
    health_.recover();
    quota_.on_ack(ack, probe.sent_at, probe.announced_version);
    probes_.erase(found);
  } else if (probe.target == ack.target) {
    probe.acked_indirectly = true;
    probe.expected_nacks = std::max(0, probe.expected_nacks - 1);
  }
}

void FailureDetector::on_nack(const Message& nack) {
  const auto found = probes_.find(nack.sequence);
  if (found == probes_.end()) return;
  Probe& probe = found->second;
  probe.expected_nacks = std::max(0, probe.expected_nacks - 1);
}

// ---- Timers ----

void FailureDetector::probe_if_due() {
  if (next_probe_ > context_.now) return;
  next_probe_ = context_.now + health_.probe_slowdown() * context_.settings.probe_interval;
  if (!context_.is_participating()) return;
  if (const std::optional<std::string> target = probe_order_.next()) send_probe(*target);
}

void FailureDetector::send_probe(const std::string& target) {
  const std::uint64_t sequence = messenger_.next_sequence();
  ++context_.counters.pings;
  Message ping = messenger_.make_message(MessageKind::ping, target, sequence);
  const std::uint64_t announced_version = quota_.add_announcements(ping);
  probes_[sequence] = {
      .target = target,
      .sent_at = context_.now,
      .direct_deadline = context_.now + health_.probe_slowdown() * context_.settings.probe_timeout,
      .expires_at = context_.now + health_.probe_slowdown() * context_.settings.probe_interval,
      .announced_version = announced_version};
  messenger_.send(target, std::move(ping));
}

void FailureDetector::send_ping_requests(std::uint64_t sequence, Probe& probe) {
  probe.phase = Phase::indirect;
  const auto count = static_cast<std::size_t>(context_.settings.indirect_ping_count);
  for (const std::string& name : probe_order_.random_members(count, probe.target)) {
    Message request = messenger_.make_message(MessageKind::ping_req, name, sequence);
    request.target = probe.target;
    request.target_address = context_.view.find(probe.target)->update.address;
    messenger_.send(name, std::move(request));
    ++probe.expected_nacks;
  }
}

bool FailureDetector::is_unreachable(const Probe& ended) {
  Member* member = context_.view.find(ended.target);
  if (member == nullptr || !is_reachable(member->update.status)) return false;
  if (ended.acked_indirectly) {
    on_indirect_ack(*member);
    return false;
  }
  ++context_.counters.unanswered_pings;
  // The asked members send at least a nack. Missing nacks point to a fault of this member.
  health_.degrade(std::max(1, ended.expected_nacks));
  return true;
}

void FailureDetector::on_indirect_ack(Member& member) {
  const bool is_heard = context_.now - member.last_heard < kRecentMessageWindow;
  set_reachability(member, is_heard ? Reachability::one_way : Reachability::indirect);
  health_.recover();
}

void FailureDetector::set_reachability(Member& member, Reachability reachability) {
  if (member.reachability == reachability) return;
  const Reachability before = std::exchange(member.reachability, reachability);
  member.reachability_since = context_.now;
  if (before == Reachability::unknown && reachability == Reachability::direct) return;
  context_.log("peer reachability name=" + member.update.name + " way=" + std::string(name_of(reachability)) +
               " before=" + std::string(name_of(before)));
}

void FailureDetector::on_stall() {
  clear();
  next_probe_ = context_.now + context_.settings.probe_interval;
}

Time FailureDetector::next_due() const {
  Time due = next_probe_;
  for (const auto& [sequence, probe] : probes_) {
    due = std::min(due, probe.phase == Phase::direct ? probe.direct_deadline : probe.expires_at);
  }
  return due;
}

}  // namespace edge_proxy::membership
