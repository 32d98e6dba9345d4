// SPDX-License-Identifier: MIT
#include "membership/reducer.h"

#include <algorithm>
#include <cmath>

#include "membership/durations.h"

namespace edge_proxy::membership {
namespace {

using namespace std::chrono_literals;

/// What a member sends has come here this lately: the way from it to here is open.
constexpr Time kHeardLately = 3s;
/// Later than this by its own timers, it stood still.
constexpr Time kStandstill = 500ms;
constexpr Time kRefusalToldEvery = 10s;
constexpr std::size_t kMostFavours = 64;
constexpr std::size_t kLeaveTellsAtOnce = 16;
constexpr double kExchangeMembers = 32;
/// Part of the timeout after which one that pings for another says that nothing has come so far.
constexpr double kNackAfter = 0.8;
/// Of the budgets that all share: how much faster one clock may go than another, and the part kept for those
/// that hold no share.
constexpr double kDrift = 0.01;
constexpr double kReserve = 0.1;

/// Those that were forgotten, or replaced, may not have stopped by the time of a start.
std::vector<admission::QuotaLeases::UnfencedHolder> ghosts_of(const std::vector<MemberUpdate>& known) {
  std::map<std::string, std::uint64_t> disks;
  for (const MemberUpdate& news : known) {
    if (is_registered(news.status)) disks[news.name] = news.disk_id;
  }
  std::vector<admission::QuotaLeases::UnfencedHolder> ghosts;
  for (const MemberUpdate& news : known) {
    if (news.status != MemberStatus::forgotten) continue;
    const auto now = disks.find(news.name);
    ghosts.push_back(
        {news.name, {news.disk_id, news.zone}, now != disks.end() && now->second != news.disk_id});
  }
  return ghosts;
}

/// A ghost as it is kept: of no life of that name, so that it is older than all other news of it.
constexpr std::uint64_t kGhost = 0;

}  // namespace

State::State(Settings settings, Identity identity, std::uint64_t seed, Time now)
    : settings_(std::move(settings)),
      view_(settings_.name, settings_.max_members),
      random_(seed),
      now_(now),
      started_at_(now),
      is_new_disk_(identity.is_new_disk),
      next_probe_(now),
      next_gossip_(now),
      next_reconnect_(now),
      next_full_sync_(now),
      quota_({settings_.name, settings_.quota_lease, kDrift, kReserve, settings_.expected_members,
              settings_.max_members},
             identity.is_new_disk
                 ? now + admission::QuotaLeases::lease_expiry_bound(settings_.quota_lease, kDrift)
                 : Time{0},
             ghosts_of(identity.known_members)) {
  view_.merge({settings_.name,
               settings_.address,
               identity.disk_id,
               identity.incarnation,
               settings_.zone,
               MemberStatus::alive,
               {}},
              now);
  for (MemberUpdate& news : identity.known_members) {
    if (news.name == settings_.name || news.incarnation == kGhost) continue;
    // What was believed of them is old; that they are registered is not.
    if (news.status == MemberStatus::suspect || news.status == MemberStatus::dead)
      news.status = MemberStatus::alive;
    news.reported_by.clear();
    const View::Merged taken = view_.merge(news, now);
    if (taken.result == View::MergeResult::changed && is_reachable(news.status))
      probe_order_.push_back(news.name);
  }
  std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
  std::uniform_int_distribution<Time::rep> phase(0, settings_.probe_interval.count());
  next_probe_ += Time{phase(random_)};
  next_full_sync_ += scaled(settings_.full_sync_interval, std::uniform_real_distribution<>(0.5, 1)(random_));
  broadcasts_.enqueue(self());
}

std::vector<Effect> State::handle(Time now, const Input& input) {
  const Time due = next_due(), gap = due < now ? now - due : Time{0};
  now_ = std::max(now_, now);
  // Guards the others against one that stood still: it heard no answers because it did not listen. It doubts
  // itself first, judges none of the probes that were out and gives suspects the time that it missed.
  if (settings_.lifeguard && gap > kStandstill) {
    log("peers stood still ms=" + std::to_string(gap.count() / 1000));
    local_health(settings_.max_health_score);
    probes_.clear();
    relayed_pings_.clear();
    next_probe_ = now_ + settings_.probe_interval;
    std::set<std::pair<Time, std::string>> later;
    for (const auto& [deadline, name] : suspicion_deadlines_)
      later.emplace(view_.find(name)->suspicion_deadline += gap, name);
    suspicion_deadlines_ = std::move(later);
    for (auto& [name, since] : other_view_since_) since = now_;
  }
  std::visit([this](const auto& in) { on(in); }, input);
  if (!has_left_) run_timers();
  if (quota_outdated_) update_quota();
  if (std::exchange(unfenced_persisted_, quota_.unfenced_count()) != quota_.unfenced_count())
    effects_.emplace_back(PersistState{});
  return std::exchange(effects_, {});
}

Time State::next_due() const {
  if (has_left_) return Time::max();
  Time due = std::min({next_probe_, next_reconnect_, next_full_sync_});
  if (!broadcasts_.empty() || !suspicion_deadlines_.empty()) due = std::min(due, next_gossip_);
  for (const auto& [number, probe] : probes_)
    due = std::min(due, probe.phase == Phase::direct ? probe.direct_deadline : probe.expires_at);
  for (const auto& [number, favour] : relayed_pings_)
    due = std::min(due, favour.nack_sent ? favour.expires_at : favour.nack_at);
  if (!suspicion_deadlines_.empty()) due = std::min(due, suspicion_deadlines_.begin()->first);
  return due;
}

// ---- Inputs ----

void State::on(const MessageReceived& in) {
  const Message& m = in.message;
  if (has_left_) return;
  if (!m.to.empty() && m.to != settings_.name) {
    ++counters_.wrong_recipient;
    return;
  }
  if (m.from.name == settings_.name) {
    // Its own words come back where a seed is its own address. Anything else is another process of its name.
    if (m.from.disk_id != self().disk_id || m.from.address != self().address) refute(m.from);
    return;
  }
  if (view_.has_no_room_for(m.from.name)) {
    ++counters_.table_full;
    return;
  }
  merge(m.from, "it spoke");
  for (const MemberUpdate& news : m.updates) merge(news, "told by " + m.from.name);
  Member* sender = view_.find(m.from.name);
  if (sender == nullptr) return;
  sender->last_heard = now_;
  if (in.stream != 0 && m.kind == MessageKind::full_sync) {
    Message answer = make_message(MessageKind::full_sync_reply, m.from.name, m.sequence);
    answer.updates = full_state();
    effects_.emplace_back(FullSyncReply{in.stream, std::move(answer)});
  }
  compare_digest(m);
  if (!is_participating()) {
    // It only tells whoever pings why it takes no part.
    if (m.kind == MessageKind::ping)
      send(m.from.name, make_message(MessageKind::gossip, m.from.name, 0), m.from.address);
    return;
  }
  switch (m.kind) {
    case MessageKind::ping:
      on_ping(m);
      break;
    case MessageKind::ack:
      on_ack(m);
      break;
    case MessageKind::nack:
      on_nack(m);
      break;
    case MessageKind::ping_req:
      on_ping_req(m);
      break;
    case MessageKind::user_message:
      // Guards what others build on membership: who is not, or no more, a member has no part in it.
      if (is_registered(sender->update.status) && sender->update.disk_id == m.from.disk_id)
        effects_.emplace_back(UserMessageReceived{m.from.name, m.payload});
      break;
    case MessageKind::gossip:
    case MessageKind::full_sync:
    case MessageKind::full_sync_reply:
      break;
  }
}

void State::on(const MessageRejected& in) {
  const std::uint64_t count = ++counters_.decode_errors[static_cast<std::size_t>(in.reason)];
  // Guards the log against a flood of them: the sums are among the figures.
  if (now_ - decode_error_logged_at_ < kRefusalToldEvery) return;
  decode_error_logged_at_ = now_;
  log("peers refused reason=" + std::string(name_of(in.reason)) + " from=" + in.address +
      " count=" + std::to_string(count));
}

void State::on(const ShutdownRequested&) {
  if (has_left_) return;
  if (is_participating()) {
    MemberUpdate news = self();
    news.status = MemberStatus::left;
    view_.merge(news, now_);
    broadcasts_.enqueue(news);
    for (const std::string& name : random_members(kLeaveTellsAtOnce, "")) {
      Message m = make_message(MessageKind::gossip, name, 0);
      if (std::find(m.updates.begin(), m.updates.end(), news) == m.updates.end()) m.updates.push_back(news);
      // Twice: guards what is said only now against one lost datagram.
      for (int i = 0; i < 2; ++i) effects_.emplace_back(SendDatagram{address_of(name), m});
    }
  }
  // Its share is given up within this turn: before anybody hears that it may be handed on.
  has_left_ = quota_outdated_ = true;
  log("peers left");
  effects_.emplace_back(PersistState{});
}

void State::on(const ForgetMember& in) {
  const Member* member = view_.find(in.name);
  if (member == nullptr || member->update.status != MemberStatus::dead) return;
  MemberUpdate news = member->update;
  news.status = MemberStatus::forgotten;
  news.reported_by = settings_.name;
  merge(news, "an operator's word");
}

void State::on(const SendUserMessage& in) {
  const Member* member = view_.find(in.to);
  if (member == nullptr || !is_registered(member->update.status) || !is_participating()) return;
  Message m = make_message(MessageKind::user_message, in.to, 0);
  m.payload = in.payload;
  if (header_size(m, settings_.cluster) <= settings_.max_datagram_bytes) {
    effects_.emplace_back(SendDatagram{address_of(in.to), std::move(m)});
  } else if (is_reachable(member->update.status)) {
    effects_.emplace_back(SendFullSync{address_of(in.to), std::move(m)});
  }
}

void State::on_ping(const Message& m) {
  if (quota_outdated_) update_quota();
  Message ack = make_message(MessageKind::ack, m.from.name, m.sequence);
  const Member* sender = view_.find(m.from.name);
  // Only the process that is the member here is counted: a double of its name, or one that was forgotten, is
  // not.
  if (sender != nullptr && sender->update.disk_id == m.from.disk_id &&
      sender->update.incarnation == m.from.incarnation)
    ack.counted_disk = quota_.counted_disk_of(m.from.name);
  ack.member_names_hash = quota_.member_names_hash();
  ack.confirmed = quota_.confirmed();
  send(m.from.name, std::move(ack), m.from.address);
}

void State::on_ack(const Message& m) {
  if (const auto favour = relayed_pings_.find(m.sequence); favour != relayed_pings_.end()) {
    if (favour->second.target != m.from.name) return;
    Message on = make_message(MessageKind::ack, favour->second.requester, favour->second.sequence);
    on.target = m.from.name;
    send(favour->second.requester, std::move(on));
    relayed_pings_.erase(favour);
    return;
  }
  const auto found = probes_.find(m.sequence);
  if (found == probes_.end()) return;
  Probe& probe = found->second;
  if (probe.target == m.from.name && m.target.empty()) {
    if (Member* member = view_.find(probe.target)) set_reachability(*member, Reachability::direct);
    if (settings_.lifeguard) local_health(-1);
    quota_.on_ack(
        now_, admission::QuotaLeases::QuotaAck{m.from.name, probe.sent_at, probe.announced_version,
                                               m.counted_disk, m.member_names_hash, m.confirmed});
    probes_.erase(found);
  } else if (probe.target == m.target) {
    probe.acked_indirectly = true;
    probe.expected_nacks = std::max(0, probe.expected_nacks - 1);
  }
}

void State::on_nack(const Message& m) {
  if (const auto found = probes_.find(m.sequence); found != probes_.end())
    found->second.expected_nacks = std::max(0, found->second.expected_nacks - 1);
}

void State::on_ping_req(const Message& m) {
  // Guards its own work against one that asks without end.
  if (relayed_pings_.size() >= kMostFavours || m.target == settings_.name) return;
  const std::uint64_t number = ++last_sequence_;
  const Time wait = scaled(settings_.probe_timeout, kNackAfter);
  relayed_pings_[number] = {
      m.target, m.from.name, m.sequence, now_ + wait, now_ + 4 * settings_.probe_timeout, false};
  Message ping = make_message(MessageKind::ping, m.target, number);
  const Member* target = view_.find(m.target);
  effects_.emplace_back(SendDatagram{
      target == nullptr ? resolved_address(m.target_address) : address_of(m.target), std::move(ping)});
}

// ---- Timers ----

void State::run_timers() {
  for (auto it = relayed_pings_.begin(); it != relayed_pings_.end();) {
    RelayedPing& favour = it->second;
    if (!favour.nack_sent && favour.nack_at <= now_) {
      favour.nack_sent = true;
      if (settings_.lifeguard)
        send(favour.requester, make_message(MessageKind::nack, favour.requester, favour.sequence));
    }
    it = favour.expires_at <= now_ ? relayed_pings_.erase(it) : std::next(it);
  }
  for (auto it = probes_.begin(); it != probes_.end();) {
    const std::uint64_t number = it->first;
    Probe& probe = it->second;
    if (probe.phase == Phase::direct && probe.direct_deadline <= now_) send_ping_requests(number, probe);
    if (probe.expires_at <= now_) {
      const Probe over = std::move(probe);
      it = probes_.erase(it);
      on_probe_timeout(over);
    } else {
      ++it;
    }
  }
  while (!suspicion_deadlines_.empty() && suspicion_deadlines_.begin()->first <= now_) {
    MemberUpdate news = view_.find(suspicion_deadlines_.begin()->second)->update;
    news.status = MemberStatus::dead;
    news.reported_by = settings_.name;
    ++counters_.declared_dead;
    merge(news, "did not refute");
  }
  if (next_probe_ <= now_) {
    next_probe_ = now_ + probe_slowdown() * settings_.probe_interval;
    probe_next();
  }
  if (next_reconnect_ <= now_) {
    next_reconnect_ = now_ + settings_.reconnect_interval;
    reconnect();
  }
  if (next_full_sync_ <= now_) {
    const double more = std::max(1.0, static_cast<double>(view_.registered()) / kExchangeMembers);
    next_full_sync_ = now_ + scaled(settings_.full_sync_interval, more);
    for (const std::string& name : random_members(1, "")) full_sync_with(name);
  }
  if ((!broadcasts_.empty() || !suspicion_deadlines_.empty()) && next_gossip_ <= now_) {
    next_gossip_ = now_ + settings_.gossip_interval;
    send_gossip();
    refresh_reachability();
  }
}

void State::probe_next() {
  if (!is_participating()) return;
  for (std::size_t tried = 0, most = probe_order_.size() + view_.reachable() + 1; tried < most; ++tried) {
    if (probe_index_ >= probe_order_.size()) {
      probe_order_.clear();
      for (const auto& [name, member] : view_.members()) {
        if (name != settings_.name && is_reachable(member.update.status)) probe_order_.push_back(name);
      }
      std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
      probe_index_ = 0;
      if (probe_order_.empty()) return;
    }
    const std::string name = probe_order_[probe_index_++];
    const Member* member = view_.find(name);
    if (member == nullptr || !is_reachable(member->update.status)) continue;
    const std::uint64_t number = ++last_sequence_;
    ++counters_.pings;
    Probe& probe = probes_[number];
    probe.target = name;
    probe.direct_deadline = now_ + probe_slowdown() * settings_.probe_timeout;
    probe.expires_at = now_ + probe_slowdown() * settings_.probe_interval;
    probe.sent_at = now_;
    Message ping = make_message(MessageKind::ping, name, number);
    probe.announced_version = add_quota_fields(ping);
    send(name, std::move(ping));
    return;
  }
}

void State::send_ping_requests(std::uint64_t number, Probe& probe) {
  probe.phase = Phase::indirect;
  for (const std::string& name :
       random_members(static_cast<std::size_t>(settings_.indirect_ping_count), probe.target)) {
    Message ask = make_message(MessageKind::ping_req, name, number);
    ask.target = probe.target;
    ask.target_address = view_.find(probe.target)->update.address;
    send(name, std::move(ask));
    ++probe.expected_nacks;
  }
}

/// A probe's time is over.
void State::on_probe_timeout(const Probe& probe) {
  Member* member = view_.find(probe.target);
  if (member == nullptr || !is_reachable(member->update.status)) return;
  if (probe.acked_indirectly) {
    set_reachability(
        *member, now_ - member->last_heard < kHeardLately ? Reachability::one_way : Reachability::indirect);
    if (settings_.lifeguard) local_health(-1);
    return;
  }
  ++counters_.unanswered_pings;
  // Those who were asked say at least that nothing has come: where they are silent too, the fault is here.
  if (settings_.lifeguard) local_health(std::max(1, probe.expected_nacks));
  suspect(probe.target);
}

/// Looks for those that are not reached: cuts heal by themselves, and one that knows nobody asks its seeds.
void State::reconnect() {
  if (lost_as_of_revision_ != view_.revision()) find_lost_members();
  if (!unreachable_members_.empty() && is_participating()) {
    const std::string& name = unreachable_members_[random_() % unreachable_members_.size()];
    send(name, make_message(MessageKind::ping, name, ++last_sequence_));
  }
  if (one_way_members_.empty()) return;
  const std::string& seed = one_way_members_[random_() % one_way_members_.size()];
  // Guards against islands: those that found each other first go on asking seeds that none of them is.
  if (view_.reachable() > 1) {
    if (is_participating())
      effects_.emplace_back(SendDatagram{seed, make_message(MessageKind::ping, "", ++last_sequence_)});
    return;
  }
  Message m = make_message(MessageKind::full_sync, "", ++last_sequence_);
  m.updates = full_state();
  effects_.emplace_back(SendFullSync{seed, std::move(m)});
}

/// Who is registered and not reached, and which seeds are no member's: looked for anew only where the view
/// has changed, since that looks at every member.
void State::find_lost_members() {
  lost_as_of_revision_ = view_.revision();
  unreachable_members_.clear();
  std::set<std::string> strange(settings_.seeds.begin(), settings_.seeds.end());
  for (const auto& [name, member] : view_.members()) {
    const MemberUpdate& news = member.update;
    if (!is_registered(news.status)) continue;
    if (name != settings_.name && !is_reachable(news.status)) unreachable_members_.push_back(name);
    strange.erase(news.address);
    strange.erase(resolved_address(news.address));
  }
  one_way_members_.assign(strange.begin(), strange.end());
}

void State::send_gossip() {
  if (!is_participating() && self().status != MemberStatus::disputed) return;
  for (const std::string& name : random_members(static_cast<std::size_t>(settings_.gossip_fanout), "")) {
    if (broadcasts_.empty()) return;
    send(name, make_message(MessageKind::gossip, name, 0));
  }
}

/// Asks the suspects that are next to count as dead, once half of their time is over, themselves. Guards them
/// against a refutation that all others have heard: news is told a bounded number of times, so that now and
/// then it misses somebody, who would declare a death alone. Only those that still hold the suspicion ask.
void State::refresh_reachability() {
  if (!settings_.lifeguard || !is_participating()) return;
  int asked = 0;
  for (const auto& [deadline, name] : suspicion_deadlines_) {
    if (asked == settings_.gossip_fanout) return;
    if (deadline - now_ > now_ - view_.find(name)->suspected_since) continue;
    ++asked;
    send(name, make_message(MessageKind::ping, name, ++last_sequence_));
  }
}

void State::full_sync_with(const std::string& name) {
  ++counters_.full_syncs;
  last_full_sync_ = now_;
  Message m = make_message(MessageKind::full_sync, name, ++last_sequence_);
  m.updates = full_state();
  effects_.emplace_back(SendFullSync{address_of(name), std::move(m)});
}

// ---- Shares ----

/// Tells the shares who is registered.
void State::update_quota() {
  quota_outdated_ = false;
  admission::QuotaLeases::MemberTable roster;
  std::set<std::string> in_order;
  for (const auto& [name, member] : view_.members()) {
    if (is_registered(member.update.status)) roster[name] = {member.update.disk_id, member.update.zone};
    if (member.update.status == MemberStatus::left) in_order.insert(name);
  }
  quota_.update_members(now_, roster, in_order, is_participating());
}

/// What others have to hear of ghosts goes with the ping. 0: not all of it fits.
std::uint64_t State::add_quota_fields(Message& ping) const {
  std::size_t room = settings_.max_datagram_bytes / 2;
  for (const std::string& name : quota_.announced_names()) {
    const Member* member = view_.find(name);
    if (member == nullptr) continue;
    if (encoded_size(member->update) > room) return 0;
    room -= encoded_size(member->update);
    ping.updates.push_back(member->update);
  }
  return quota_.announced_version();
}

// ---- Sending ----

Message State::make_message(MessageKind kind, const std::string& to, std::uint64_t number) {
  Message m;
  m.kind = kind;
  m.sequence = number;
  m.to = to;
  m.from = self();
  m.digest = view_.digest();
  return m;
}

/// To that member, at `address` where it is answered: it may not be where this view has it. With as much news
/// as fits. What the receiver should know of itself goes first, every time: it alone can refute it, and the
/// longer that takes the shorter is the time left to do so.
void State::send(const std::string& to, Message m, const std::string& address) {
  std::size_t room = settings_.max_datagram_bytes -
                     std::min(settings_.max_datagram_bytes, header_size(m, settings_.cluster));
  for (const MemberUpdate& news : m.updates) room -= std::min(room, encoded_size(news));
  const Member* member = view_.find(to);
  if (member != nullptr && settings_.lifeguard && member->update.status != MemberStatus::alive &&
      encoded_size(member->update) <= room) {
    m.updates.push_back(member->update);
    room -= encoded_size(member->update);
  }
  if (!broadcasts_.empty()) {
    const auto most = static_cast<std::size_t>(
        std::ceil(settings_.retransmit_factor * std::log10(static_cast<double>(view_.registered()) + 1)));
    for (MemberUpdate& news : broadcasts_.take(room, std::max<std::size_t>(most, 2), encoded_size))
      m.updates.push_back(std::move(news));
  }
  effects_.emplace_back(
      SendDatagram{address.empty() ? address_of(to) : resolved_address(address), std::move(m)});
}

/// Where what is for that address is sent.
const std::string& State::resolved_address(const std::string& address) const {
  const auto booked = settings_.address_overrides.find(address);
  return booked == settings_.address_overrides.end() ? address : booked->second;
}

std::string State::address_of(const std::string& name) const {
  const Member* member = view_.find(name);
  return member == nullptr ? std::string() : resolved_address(member->update.address);
}

bool State::is_participating() const { return !has_left_ && self().status == MemberStatus::alive; }

double State::log_cluster_size() const {
  return std::max(1.0, std::log10(static_cast<double>(view_.registered())));
}

void State::local_health(int steps) {
  local_health_ = std::clamp(local_health_ + steps, 0, settings_.max_health_score);
}

/// Reachable members drawn at random, others than this one and `but`.
std::vector<std::string> State::random_members(std::size_t count, const std::string& but) {
  std::vector<std::string> drawn;
  const std::size_t tries = 4 * count + 8;
  // The order of probes holds nearly all of them: drawing from it costs nothing that grows with the members.
  for (std::size_t i = 0; i < tries && drawn.size() < count && !probe_order_.empty(); ++i) {
    const std::string& name = probe_order_[random_() % probe_order_.size()];
    const Member* member = view_.find(name);
    if (name != but && member != nullptr && is_reachable(member->update.status) &&
        std::find(drawn.begin(), drawn.end(), name) == drawn.end())
      drawn.push_back(name);
  }
  return drawn;
}

// ---- What is told of it ----

std::pair<std::size_t, Time> State::members_with_other_view() const {
  Time since = now_;
  for (const auto& [name, when] : other_view_since_) since = std::min(since, when);
  return {other_view_since_.size(), since};
}

std::vector<MemberUpdate> State::persistent_state() const {
  std::vector<MemberUpdate> all = full_state();
  for (const admission::QuotaLeases::UnfencedHolder& ghost : quota_.unfenced_holders()) {
    const Member* member = view_.find(ghost.name);
    if (member != nullptr && member->update.status == MemberStatus::forgotten &&
        member->update.disk_id == ghost.identity.disk)
      continue;  // it is there already
    all.push_back({ghost.name,
                   settings_.address,
                   ghost.identity.disk,
                   kGhost,
                   ghost.identity.zone,
                   MemberStatus::forgotten,
                   {}});
  }
  return all;
}

std::vector<MemberUpdate> State::full_state() const {
  std::vector<MemberUpdate> all;
  all.reserve(view_.members().size());
  for (const auto& [name, member] : view_.members()) all.push_back(member.update);
  return all;
}

std::size_t State::entries() const {
  std::size_t by = 0;
  for (const auto& [deadline, name] : suspicion_deadlines_) by += view_.find(name)->suspected_by.size();
  return view_.members().size() + broadcasts_.size() + probes_.size() + relayed_pings_.size() +
         probe_order_.size() + suspicion_deadlines_.size() + other_view_since_.size() + by;
}

}  // namespace edge_proxy::membership
