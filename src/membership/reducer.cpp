// SPDX-License-Identifier: MIT
#include "membership/reducer.h"

#include <algorithm>
#include <optional>
#include <string_view>
#include <variant>

namespace edge_proxy::membership {
namespace {

using namespace std::chrono_literals;

/// The event loop counts as stalled if an input is handled later than this after a timer was due.
constexpr Time kStallThreshold = 500ms;
constexpr Time kDecodeErrorLogInterval = 10s;

/// Whether the update changes the persistent state and the members that the quota leases count.
bool changes_registration(const View::Merged& merged, const MemberUpdate& update) {
  if (merged.is_new || merged.replaced || merged.previous_address) return true;
  return merged.previous_status && is_registered(*merged.previous_status) != is_registered(update.status);
}

bool becomes_reachable(const View::Merged& merged, const MemberUpdate& update) {
  if (!is_reachable(update.status)) return false;
  if (merged.is_new) return true;
  if (!merged.previous_status) return false;
  return merged.replaced || !is_reachable(*merged.previous_status);
}

}  // namespace

State::State(Settings settings, const Identity& identity, std::uint64_t seed, Time now)
    : context_(std::move(settings), seed, now),
      messenger_(context_),
      health_(context_.settings.lifeguard, context_.settings.max_health_score),
      probe_order_(context_),
      suspicions_(context_),
      quota_(context_, identity),
      ping_relay_(context_, messenger_),
      failure_detector_(context_, messenger_, probe_order_, health_, quota_),
      gossip_(context_, messenger_, probe_order_, suspicions_),
      state_sync_(context_, messenger_, probe_order_),
      reconnector_(context_, messenger_),
      refutation_(context_, messenger_, health_, quota_, [this] { failure_detector_.clear(); }),
      decode_error_logged_at_(-kDecodeErrorLogInterval) {
  context_.view.merge({.name = context_.settings.name,
                       .address = context_.settings.address,
                       .disk_id = identity.disk_id,
                       .incarnation = identity.incarnation,
                       .zone = context_.settings.zone,
                       .status = MemberStatus::alive},
                      now);
  restore_members(identity.known_members);
  failure_detector_.start();
  state_sync_.start();
  messenger_.broadcasts().enqueue(self());
}

void State::restore_members(const std::vector<MemberUpdate>& stored) {
  std::vector<std::string> reachable;
  for (MemberUpdate update : stored) {
    if (update.name == context_.settings.name || QuotaAdapter::is_holder_only(update)) continue;
    // The stored reachability is outdated, the registration is not: suspect and dead members are taken as
    // alive until they are probed.
    if (update.status == MemberStatus::suspect || update.status == MemberStatus::dead) {
      update.status = MemberStatus::alive;
    }
    update.reported_by.clear();
    const View::Merged merged = context_.view.merge(update, context_.now);
    if (merged.result == View::MergeResult::changed && is_reachable(update.status)) {
      reachable.push_back(update.name);
    }
  }
  probe_order_.start(std::move(reachable));
}

std::vector<Effect> State::handle(Time now, const Input& input) {
  const Time due = next_due();
  const Time gap = due < now ? now - due : Time{0};
  context_.now = std::max(context_.now, now);
  if (settings().lifeguard && gap > kStallThreshold) on_loop_stall(gap);
  std::visit([this](const auto& alternative) { on_input(alternative); }, input);
  if (!context_.has_left) run_timers();
  quota_.refresh();
  if (quota_.take_unfenced_changed()) context_.effects.emplace_back(PersistState{});
  return std::exchange(context_.effects, {});
}

// ---- Inputs ----

void State::on_input(const MessageReceived& input) {
  const Message& message = input.message;
  if (!accepts(message)) return;
  const std::string& name = message.from.name;
  merge(message.from, "message from the member");
  for (const MemberUpdate& update : message.updates) merge(update, "update from " + name);
  Member* sender = context_.view.find(name);
  if (sender == nullptr) return;
  sender->last_heard = context_.now;
  if (input.stream != 0 && message.kind == MessageKind::full_sync) state_sync_.reply(message, input.stream);
  state_sync_.compare_digest(message);
  if (context_.is_participating()) {
    dispatch(message, *sender);
  } else if (message.kind == MessageKind::ping) {
    // The reply carries this member's status, which explains why it does not participate.
    messenger_.reply(message.from, messenger_.make_message(MessageKind::gossip, name, 0));
  }
}

/// Whether the message is from another member and for this one.
bool State::accepts(const Message& message) {
  if (context_.has_left) return false;
  if (!message.to.empty() && message.to != settings().name) {
    ++context_.counters.wrong_recipient;
    return false;
  }
  if (message.from.name == settings().name) {
    // This member's own messages return to it if a seed is its own address. All others are from another
    // process.
    const bool is_own = message.from.disk_id == self().disk_id && message.from.address == self().address;
    if (!is_own) refutation_.on_update_of_self(message.from);
    return false;
  }
  if (context_.view.has_no_room_for(message.from.name)) {
    ++context_.counters.table_full;
    return false;
  }
  return true;
}

void State::dispatch(const Message& message, const Member& sender) {
  switch (message.kind) {
    case MessageKind::ping:
      failure_detector_.on_ping(message);
      break;
    case MessageKind::ack:
      if (!ping_relay_.on_ack(message)) failure_detector_.on_ack(message);
      break;
    case MessageKind::nack:
      failure_detector_.on_nack(message);
      break;
    case MessageKind::ping_req:
      ping_relay_.on_ping_req(message);
      break;
    case MessageKind::user_message:
      on_user_message(message, sender);
      break;
    case MessageKind::gossip:
    case MessageKind::full_sync:
    case MessageKind::full_sync_reply:
      break;
  }
}

/// Only messages of registered members are delivered to the subsystems that build on membership.
void State::on_user_message(const Message& message, const Member& sender) {
  if (!is_registered(sender.update.status) || sender.update.disk_id != message.from.disk_id) return;
  context_.effects.emplace_back(UserMessageReceived{message.from.name, message.payload});
}

void State::on_input(const MessageRejected& input) {
  const std::uint64_t count = ++context_.counters.decode_errors[static_cast<std::size_t>(input.reason)];
  // The rate of log lines is limited; the metrics count every rejected message.
  if (context_.now - decode_error_logged_at_ < kDecodeErrorLogInterval) return;
  decode_error_logged_at_ = context_.now;
  context_.log("peers refused reason=" + std::string(name_of(input.reason)) + " from=" + input.address +
               " count=" + std::to_string(count));
}

void State::on_input(const ShutdownRequested&) {
  if (context_.has_left) return;
  if (context_.is_participating()) {
    MemberUpdate update = self();
    update.status = MemberStatus::left;
    context_.view.merge(update, context_.now);
    messenger_.broadcasts().enqueue(update);
    gossip_.announce_shutdown(update);
  }
  context_.has_left = true;
  // The quota lease is released within this call, before any member can learn of the shutdown.
  quota_.mark_outdated();
  context_.log("peers left the cluster");
  context_.effects.emplace_back(PersistState{});
}

void State::on_input(const ForgetMember& input) {
  const Member* member = context_.view.find(input.name);
  if (member == nullptr || member->update.status != MemberStatus::dead) return;
  MemberUpdate update = member->update;
  update.status = MemberStatus::forgotten;
  update.reported_by = settings().name;
  merge(update, "operator request");
}

void State::on_input(const SendUserMessage& input) {
  const Member* member = context_.view.find(input.to);
  if (member == nullptr || !is_registered(member->update.status) || !context_.is_participating()) return;
  Message message = messenger_.make_message(MessageKind::user_message, input.to, 0);
  message.payload = input.payload;
  const std::string address = messenger_.address_of(input.to);
  if (header_size(message, settings().cluster) <= settings().max_datagram_bytes) {
    messenger_.send_plain(address, std::move(message));
  } else if (is_reachable(member->update.status)) {
    messenger_.send_over_stream(address, std::move(message));
  }
}

// ---- Timers ----

/// After a stall of the event loop, missing answers are this member's own fault, since it did not read them.
/// It sets its health score to the worst value, drops pending probes without suspecting their targets, and
/// extends the deadlines of suspects by the length of the stall.
void State::on_loop_stall(Time gap) {
  context_.log("peers event loop stalled ms=" + std::to_string(gap / 1ms));
  health_.degrade_fully();
  failure_detector_.on_stall();
  ping_relay_.clear();
  suspicions_.postpone(gap);
  state_sync_.on_stall();
}

void State::run_timers() {
  ping_relay_.run_timers();
  failure_detector_.check_probes([this](const std::string& name) { suspect(name); });
  while (const std::optional<std::string> name = suspicions_.next_expired()) declare_dead(*name);
  failure_detector_.probe_if_due();
  reconnector_.run_timers();
  state_sync_.run_timers();
  gossip_.run_timers();
}

Time State::next_due() const {
  if (context_.has_left) return Time::max();
  return std::min({ping_relay_.next_due(), failure_detector_.next_due(), suspicions_.next_due(),
                   reconnector_.next_due(), state_sync_.next_due(), gossip_.next_due()});
}

void State::suspect(const std::string& name) {
  MemberUpdate update = context_.view.find(name)->update;
  update.status = MemberStatus::suspect;
  update.reported_by = settings().name;
  ++context_.counters.suspected;
  merge(update, "no answer to direct or relayed pings");
}

void State::declare_dead(const std::string& name) {
  MemberUpdate update = context_.view.find(name)->update;
  update.status = MemberStatus::dead;
  update.reported_by = settings().name;
  ++context_.counters.declared_dead;
  merge(update, "suspicion was not refuted in time");
}

// ---- Updates ----

/// `cause` is written to the log.
void State::merge(const MemberUpdate& update, const std::string& cause) {
  if (update.name == settings().name) {
    refutation_.on_update_of_self(update);
    return;
  }
  if (context_.view.has_no_room_for(update.name)) {
    ++context_.counters.table_full;
    return;
  }
  const View::Merged merged = context_.view.merge(update, context_.now);
  if (merged.result == View::MergeResult::outdated) return;
  Member& member = *context_.view.find(update.name);
  if (merged.result == View::MergeResult::confirmation) {
    on_confirmation(update, member);
    return;
  }
  messenger_.broadcasts().enqueue(update);
  on_change(merged, member);
  log_change(merged, member.update, cause);
}

void State::on_confirmation(const MemberUpdate& update, Member& suspect) {
  // Further confirmations do not shorten the timeout, so they are not broadcast.
  const std::size_t useful_reporters = static_cast<std::size_t>(settings().max_confirmations) + 1;
  if (suspect.suspected_by.size() <= useful_reporters) messenger_.broadcasts().enqueue(update);
  suspicions_.set_deadline(suspect);
}

void State::on_change(const View::Merged& merged, Member& member) {
  const MemberUpdate& update = member.update;
  suspicions_.cancel(member);
  if (update.status == MemberStatus::suspect) suspicions_.set_deadline(member);
  if (!is_reachable(update.status)) state_sync_.on_unreachable(update.name);
  if (becomes_reachable(merged, update)) probe_order_.insert(update.name);
  if (changes_registration(merged, update)) {
    context_.effects.emplace_back(PersistState{});
    quota_.mark_outdated();
  }
}

void State::log_change(const View::Merged& merged, const MemberUpdate& update, const std::string& cause) {
  if (merged.replaced) {
    context_.log("peer replaced name=" + update.name + " disk=" + std::to_string(update.disk_id) +
                 " before=" + std::to_string(merged.replaced->disk_id) +
                 ": the name belongs to a new member; the data of the previous disk is lost");
  }
  if (merged.previous_address) {
    context_.log("peer moved name=" + update.name + " address=" + update.address +
                 " before=" + *merged.previous_address);
  }
  if (!merged.is_new && !merged.previous_status) return;
  const std::string_view before = merged.previous_status ? name_of(*merged.previous_status) : "unknown";
  std::string line = "peer name=" + update.name + " state=" + std::string(name_of(update.status)) +
                     " before=" + std::string(before) + " incarnation=" + std::to_string(update.incarnation);
  if (!update.reported_by.empty()) line += " by=" + update.reported_by;
  context_.log(line + " cause=" + cause);
}

std::size_t State::entries() const {
  return view().members().size() + messenger_.broadcasts().size() + failure_detector_.size() +
         ping_relay_.size() + probe_order_.size() + suspicions_.entries() + state_sync_.size();
}

}  // namespace edge_proxy::membership
