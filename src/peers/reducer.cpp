// SPDX-License-Identifier: MIT
#include "peers/reducer.h"

#include <algorithm>
#include <cmath>

#include "peers/spans.h"

namespace dahliahall::peers {
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
std::vector<limits::QuotaLeases::UnfencedHolder> ghosts_of(const std::vector<News>& known) {
  std::map<std::string, std::uint64_t> disks;
  for (const News& news : known) {
    if (registered(news.state)) disks[news.name] = news.disk;
  }
  std::vector<limits::QuotaLeases::UnfencedHolder> ghosts;
  for (const News& news : known) {
    if (news.state != Liveness::forgotten) continue;
    const auto now = disks.find(news.name);
    ghosts.push_back({news.name, {news.disk, news.zone}, now != disks.end() && now->second != news.disk});
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
      started_(now),
      new_here_(identity.empty_disk),
      next_probe_(now),
      next_gossip_(now),
      next_seek_(now),
      next_exchange_(now),
      shares_({settings_.name, settings_.share_lease, kDrift, kReserve, settings_.expected,
               settings_.max_members},
              identity.empty_disk
                  ? now + limits::QuotaLeases::lease_expiry_bound(settings_.share_lease, kDrift)
                  : Time{0},
              ghosts_of(identity.known)) {
  view_.take({settings_.name,
              settings_.address,
              identity.disk,
              identity.incarnation,
              settings_.zone,
              Liveness::alive,
              {}},
             now);
  for (News& news : identity.known) {
    if (news.name == settings_.name || news.incarnation == kGhost) continue;
    // What was believed of them is old; that they are registered is not.
    if (news.state == Liveness::suspect || news.state == Liveness::dead) news.state = Liveness::alive;
    news.by.clear();
    const View::Taken taken = view_.take(news, now);
    if (taken.fate == View::Fate::news && reachable(news.state)) order_.push_back(news.name);
  }
  std::shuffle(order_.begin(), order_.end(), random_);
  std::uniform_int_distribution<Time::rep> phase(0, settings_.probe_every.count());
  next_probe_ += Time{phase(random_)};
  next_exchange_ += times(settings_.exchange_every, std::uniform_real_distribution<>(0.5, 1)(random_));
  queue_.add(self());
}

std::vector<Effect> State::take(Time now, const Input& input) {
  const Time due = next_due(), gap = due < now ? now - due : Time{0};
  now_ = std::max(now_, now);
  // Guards the others against one that stood still: it heard no answers because it did not listen. It doubts
  // itself first, judges none of the probes that were out and gives suspects the time that it missed.
  if (settings_.lifeguard && gap > kStandstill) {
    log("peers stood still ms=" + std::to_string(gap.count() / 1000));
    doubt(settings_.most_doubt);
    probes_.clear();
    favours_.clear();
    next_probe_ = now_ + settings_.probe_every;
    std::set<std::pair<Time, std::string>> later;
    for (const auto& [deadline, name] : suspects_) later.emplace(view_.find(name)->deadline += gap, name);
    suspects_ = std::move(later);
    for (auto& [name, since] : differs_) since = now_;
  }
  std::visit([this](const auto& in) { on(in); }, input);
  if (!left_) run_due();
  if (recount_) count_members();
  if (std::exchange(ghosts_kept_, shares_.unfenced_count()) != shares_.unfenced_count())
    effects_.emplace_back(Keep{});
  return std::exchange(effects_, {});
}

Time State::next_due() const {
  if (left_) return Time::max();
  Time due = std::min({next_probe_, next_seek_, next_exchange_});
  if (!queue_.empty() || !suspects_.empty()) due = std::min(due, next_gossip_);
  for (const auto& [number, probe] : probes_)
    due = std::min(due, probe.phase == Phase::direct ? probe.timeout : probe.end);
  for (const auto& [number, favour] : favours_)
    due = std::min(due, favour.nacked ? favour.end : favour.nack_at);
  if (!suspects_.empty()) due = std::min(due, suspects_.begin()->first);
  return due;
}

// ---- Inputs ----

void State::on(const Heard& in) {
  const Message& m = in.message;
  if (left_) return;
  if (!m.to.empty() && m.to != settings_.name) {
    ++counts_.not_for_here;
    return;
  }
  if (m.from.name == settings_.name) {
    // Its own words come back where a seed is its own address. Anything else is another process of its name.
    if (m.from.disk != self().disk || m.from.address != self().address) merge_self(m.from);
    return;
  }
  if (view_.full(m.from.name)) {
    ++counts_.turned_away;
    return;
  }
  merge(m.from, "it spoke");
  for (const News& news : m.news) merge(news, "told by " + m.from.name);
  Member* sender = view_.find(m.from.name);
  if (sender == nullptr) return;
  sender->heard = now_;
  if (in.stream != 0 && m.kind == Kind::whole) {
    Message answer = message(Kind::whole_answer, m.from.name, m.number);
    answer.news = all_news();
    effects_.emplace_back(Answer{in.stream, std::move(answer)});
  }
  compare(m);
  if (!takes_part()) {
    // It only tells whoever pings why it takes no part.
    if (m.kind == Kind::ping) send(m.from.name, message(Kind::gossip, m.from.name, 0), m.from.address);
    return;
  }
  switch (m.kind) {
    case Kind::ping:
      on_ping(m);
      break;
    case Kind::ack:
      on_ack(m);
      break;
    case Kind::nack:
      on_nack(m);
      break;
    case Kind::ask:
      on_ask(m);
      break;
    case Kind::carry:
      // Guards what others build on membership: who is not, or no more, a member has no part in it.
      if (registered(sender->news.state) && sender->news.disk == m.from.disk)
        effects_.emplace_back(Carried{m.from.name, m.payload});
      break;
    case Kind::gossip:
    case Kind::whole:
    case Kind::whole_answer:
      break;
  }
}

void State::on(const Refused& in) {
  const std::uint64_t count = ++counts_.refused[static_cast<std::size_t>(in.reason)];
  // Guards the log against a flood of them: the sums are among the figures.
  if (now_ - refusal_told_ < kRefusalToldEvery) return;
  refusal_told_ = now_;
  log("peers refused reason=" + std::string(name_of(in.reason)) + " from=" + in.address +
      " count=" + std::to_string(count));
}

void State::on(const StopAsked&) {
  if (left_) return;
  if (takes_part()) {
    News news = self();
    news.state = Liveness::left;
    view_.take(news, now_);
    queue_.add(news);
    for (const std::string& name : some(kLeaveTellsAtOnce, "")) {
      Message m = message(Kind::gossip, name, 0);
      if (std::find(m.news.begin(), m.news.end(), news) == m.news.end()) m.news.push_back(news);
      // Twice: guards what is said only now against one lost datagram.
      for (int i = 0; i < 2; ++i) effects_.emplace_back(Send{address_of(name), m});
    }
  }
  // Its share is given up within this turn: before anybody hears that it may be handed on.
  left_ = recount_ = true;
  log("peers left");
  effects_.emplace_back(Keep{});
}

void State::on(const Forget& in) {
  const Member* member = view_.find(in.name);
  if (member == nullptr || member->news.state != Liveness::dead) return;
  News news = member->news;
  news.state = Liveness::forgotten;
  news.by = settings_.name;
  merge(news, "an operator's word");
}

void State::on(const Carry& in) {
  const Member* member = view_.find(in.to);
  if (member == nullptr || !registered(member->news.state) || !takes_part()) return;
  Message m = message(Kind::carry, in.to, 0);
  m.payload = in.payload;
  if (head_size(m, settings_.cluster) <= settings_.datagram) {
    effects_.emplace_back(Send{address_of(in.to), std::move(m)});
  } else if (reachable(member->news.state)) {
    effects_.emplace_back(Exchange{address_of(in.to), std::move(m)});
  }
}

void State::on_ping(const Message& m) {
  if (recount_) count_members();
  Message ack = message(Kind::ack, m.from.name, m.number);
  const Member* sender = view_.find(m.from.name);
  // Only the process that is the member here is counted: a double of its name, or one that was forgotten, is
  // not.
  if (sender != nullptr && sender->news.disk == m.from.disk && sender->news.incarnation == m.from.incarnation)
    ack.counts = shares_.counted_disk_of(m.from.name);
  ack.names = shares_.member_names_hash();
  ack.sure = shares_.confirmed();
  send(m.from.name, std::move(ack), m.from.address);
}

void State::on_ack(const Message& m) {
  if (const auto favour = favours_.find(m.number); favour != favours_.end()) {
    if (favour->second.target != m.from.name) return;
    Message on = message(Kind::ack, favour->second.asker, favour->second.number);
    on.target = m.from.name;
    send(favour->second.asker, std::move(on));
    favours_.erase(favour);
    return;
  }
  const auto found = probes_.find(m.number);
  if (found == probes_.end()) return;
  Probe& probe = found->second;
  if (probe.target == m.from.name && m.target.empty()) {
    if (Member* member = view_.find(probe.target)) set_way(*member, Way::direct);
    if (settings_.lifeguard) doubt(-1);
    shares_.update_members(
        now_, limits::QuotaLeases::QuotaAck{m.from.name, probe.sent, probe.told, m.counts, m.names, m.sure});
    probes_.erase(found);
  } else if (probe.target == m.target) {
    probe.relayed = true;
    probe.nacks_due = std::max(0, probe.nacks_due - 1);
  }
}

void State::on_nack(const Message& m) {
  if (const auto found = probes_.find(m.number); found != probes_.end())
    found->second.nacks_due = std::max(0, found->second.nacks_due - 1);
}

void State::on_ask(const Message& m) {
  // Guards its own work against one that asks without end.
  if (favours_.size() >= kMostFavours || m.target == settings_.name) return;
  const std::uint64_t number = ++number_;
  const Time wait = times(settings_.probe_timeout, kNackAfter);
  favours_[number] = {m.target, m.from.name, m.number, now_ + wait, now_ + 4 * settings_.probe_timeout,
                      false};
  Message ping = message(Kind::ping, m.target, number);
  const Member* target = view_.find(m.target);
  effects_.emplace_back(
      Send{target == nullptr ? route(m.target_address) : address_of(m.target), std::move(ping)});
}

// ---- Timers ----

void State::run_due() {
  for (auto it = favours_.begin(); it != favours_.end();) {
    Favour& favour = it->second;
    if (!favour.nacked && favour.nack_at <= now_) {
      favour.nacked = true;
      if (settings_.lifeguard) send(favour.asker, message(Kind::nack, favour.asker, favour.number));
    }
    it = favour.end <= now_ ? favours_.erase(it) : std::next(it);
  }
  for (auto it = probes_.begin(); it != probes_.end();) {
    const std::uint64_t number = it->first;
    Probe& probe = it->second;
    if (probe.phase == Phase::direct && probe.timeout <= now_) ask_others(number, probe);
    if (probe.end <= now_) {
      const Probe over = std::move(probe);
      it = probes_.erase(it);
      judge(over);
    } else {
      ++it;
    }
  }
  while (!suspects_.empty() && suspects_.begin()->first <= now_) {
    News news = view_.find(suspects_.begin()->second)->news;
    news.state = Liveness::dead;
    news.by = settings_.name;
    ++counts_.died;
    merge(news, "did not refute");
  }
  if (next_probe_ <= now_) {
    next_probe_ = now_ + slow() * settings_.probe_every;
    probe_next();
  }
  if (next_seek_ <= now_) {
    next_seek_ = now_ + settings_.seek_every;
    seek();
  }
  if (next_exchange_ <= now_) {
    const double more = std::max(1.0, static_cast<double>(view_.registered()) / kExchangeMembers);
    next_exchange_ = now_ + times(settings_.exchange_every, more);
    for (const std::string& name : some(1, "")) exchange_with(name);
  }
  if ((!queue_.empty() || !suspects_.empty()) && next_gossip_ <= now_) {
    next_gossip_ = now_ + settings_.gossip_every;
    gossip();
    look_again();
  }
}

void State::probe_next() {
  if (!takes_part()) return;
  for (std::size_t tried = 0, most = order_.size() + view_.reached() + 1; tried < most; ++tried) {
    if (turn_ >= order_.size()) {
      order_.clear();
      for (const auto& [name, member] : view_.members()) {
        if (name != settings_.name && reachable(member.news.state)) order_.push_back(name);
      }
      std::shuffle(order_.begin(), order_.end(), random_);
      turn_ = 0;
      if (order_.empty()) return;
    }
    const std::string name = order_[turn_++];
    const Member* member = view_.find(name);
    if (member == nullptr || !reachable(member->news.state)) continue;
    const std::uint64_t number = ++number_;
    ++counts_.probes;
    Probe& probe = probes_[number];
    probe.target = name;
    probe.timeout = now_ + slow() * settings_.probe_timeout;
    probe.end = now_ + slow() * settings_.probe_every;
    probe.sent = now_;
    Message ping = message(Kind::ping, name, number);
    probe.told = add_marks(ping);
    send(name, std::move(ping));
    return;
  }
}

void State::ask_others(std::uint64_t number, Probe& probe) {
  probe.phase = Phase::indirect;
  for (const std::string& name : some(static_cast<std::size_t>(settings_.indirect), probe.target)) {
    Message ask = message(Kind::ask, name, number);
    ask.target = probe.target;
    ask.target_address = view_.find(probe.target)->news.address;
    send(name, std::move(ask));
    ++probe.nacks_due;
  }
}

/// A probe's time is over.
void State::judge(const Probe& probe) {
  Member* member = view_.find(probe.target);
  if (member == nullptr || !reachable(member->news.state)) return;
  if (probe.relayed) {
    set_way(*member, now_ - member->heard < kHeardLately ? Way::one_way : Way::through);
    if (settings_.lifeguard) doubt(-1);
    return;
  }
  ++counts_.unanswered;
  // Those who were asked say at least that nothing has come: where they are silent too, the fault is here.
  if (settings_.lifeguard) doubt(std::max(1, probe.nacks_due));
  suspect(probe.target);
}

/// Looks for those that are not reached: cuts heal by themselves, and one that knows nobody asks its seeds.
void State::seek() {
  if (sought_at_ != view_.revision()) look_for_lost();
  if (!lost_.empty() && takes_part()) {
    const std::string& name = lost_[random_() % lost_.size()];
    send(name, message(Kind::ping, name, ++number_));
  }
  if (strange_.empty()) return;
  const std::string& seed = strange_[random_() % strange_.size()];
  // Guards against islands: those that found each other first go on asking seeds that none of them is.
  if (view_.reached() > 1) {
    if (takes_part()) effects_.emplace_back(Send{seed, message(Kind::ping, "", ++number_)});
    return;
  }
  Message m = message(Kind::whole, "", ++number_);
  m.news = all_news();
  effects_.emplace_back(Exchange{seed, std::move(m)});
}

/// Who is registered and not reached, and which seeds are no member's: looked for anew only where the view
/// has changed, since that looks at every member.
void State::look_for_lost() {
  sought_at_ = view_.revision();
  lost_.clear();
  std::set<std::string> strange(settings_.seeds.begin(), settings_.seeds.end());
  for (const auto& [name, member] : view_.members()) {
    const News& news = member.news;
    if (!registered(news.state)) continue;
    if (name != settings_.name && !reachable(news.state)) lost_.push_back(name);
    strange.erase(news.address);
    strange.erase(route(news.address));
  }
  strange_.assign(strange.begin(), strange.end());
}

void State::gossip() {
  if (!takes_part() && self().state != Liveness::disputed) return;
  for (const std::string& name : some(static_cast<std::size_t>(settings_.gossip_to), "")) {
    if (queue_.empty()) return;
    send(name, message(Kind::gossip, name, 0));
  }
}

/// Asks the suspects that are next to count as dead, once half of their time is over, themselves. Guards them
/// against a refutation that all others have heard: news is told a bounded number of times, so that now and
/// then it misses somebody, who would declare a death alone. Only those that still hold the suspicion ask.
void State::look_again() {
  if (!settings_.lifeguard || !takes_part()) return;
  int asked = 0;
  for (const auto& [deadline, name] : suspects_) {
    if (asked == settings_.gossip_to) return;
    if (deadline - now_ > now_ - view_.find(name)->suspected) continue;
    ++asked;
    send(name, message(Kind::ping, name, ++number_));
  }
}

void State::exchange_with(const std::string& name) {
  ++counts_.exchanges;
  exchanged_ = now_;
  Message m = message(Kind::whole, name, ++number_);
  m.news = all_news();
  effects_.emplace_back(Exchange{address_of(name), std::move(m)});
}

// ---- Shares ----

/// Tells the shares who is registered.
void State::count_members() {
  recount_ = false;
  limits::QuotaLeases::MemberTable roster;
  std::set<std::string> in_order;
  for (const auto& [name, member] : view_.members()) {
    if (registered(member.news.state)) roster[name] = {member.news.disk, member.news.zone};
    if (member.news.state == Liveness::left) in_order.insert(name);
  }
  shares_.update_members(now_, roster, in_order, takes_part());
}

/// What others have to hear of ghosts goes with the ping. 0: not all of it fits.
std::uint64_t State::add_marks(Message& ping) const {
  std::size_t room = settings_.datagram / 2;
  for (const std::string& name : shares_.announced_names()) {
    const Member* member = view_.find(name);
    if (member == nullptr) continue;
    if (size_of(member->news) > room) return 0;
    room -= size_of(member->news);
    ping.news.push_back(member->news);
  }
  return shares_.announced_version();
}

// ---- Sending ----

Message State::message(Kind kind, const std::string& to, std::uint64_t number) {
  Message m;
  m.kind = kind;
  m.number = number;
  m.to = to;
  m.from = self();
  m.digest = view_.digest();
  return m;
}

/// To that member, at `address` where it is answered: it may not be where this view has it. With as much news
/// as fits. What the receiver should know of itself goes first, every time: it alone can refute it, and the
/// longer that takes the shorter is the time left to do so.
void State::send(const std::string& to, Message m, const std::string& address) {
  std::size_t room = settings_.datagram - std::min(settings_.datagram, head_size(m, settings_.cluster));
  for (const News& news : m.news) room -= std::min(room, size_of(news));
  const Member* member = view_.find(to);
  if (member != nullptr && settings_.lifeguard && member->news.state != Liveness::alive &&
      size_of(member->news) <= room) {
    m.news.push_back(member->news);
    room -= size_of(member->news);
  }
  if (!queue_.empty()) {
    const auto most = static_cast<std::size_t>(
        std::ceil(settings_.news_factor * std::log10(static_cast<double>(view_.registered()) + 1)));
    for (News& news : queue_.give(room, std::max<std::size_t>(most, 2), size_of))
      m.news.push_back(std::move(news));
  }
  effects_.emplace_back(Send{address.empty() ? address_of(to) : route(address), std::move(m)});
}

/// Where what is for that address is sent.
const std::string& State::route(const std::string& address) const {
  const auto booked = settings_.book.find(address);
  return booked == settings_.book.end() ? address : booked->second;
}

std::string State::address_of(const std::string& name) const {
  const Member* member = view_.find(name);
  return member == nullptr ? std::string() : route(member->news.address);
}

bool State::takes_part() const { return !left_ && self().state == Liveness::alive; }

double State::spread() const { return std::max(1.0, std::log10(static_cast<double>(view_.registered()))); }

void State::doubt(int steps) { doubt_ = std::clamp(doubt_ + steps, 0, settings_.most_doubt); }

/// Reachable members drawn at random, others than this one and `but`.
std::vector<std::string> State::some(std::size_t count, const std::string& but) {
  std::vector<std::string> drawn;
  const std::size_t tries = 4 * count + 8;
  // The order of probes holds nearly all of them: drawing from it costs nothing that grows with the members.
  for (std::size_t i = 0; i < tries && drawn.size() < count && !order_.empty(); ++i) {
    const std::string& name = order_[random_() % order_.size()];
    const Member* member = view_.find(name);
    if (name != but && member != nullptr && reachable(member->news.state) &&
        std::find(drawn.begin(), drawn.end(), name) == drawn.end())
      drawn.push_back(name);
  }
  return drawn;
}

// ---- What is told of it ----

std::pair<std::size_t, Time> State::differing() const {
  Time since = now_;
  for (const auto& [name, when] : differs_) since = std::min(since, when);
  return {differs_.size(), since};
}

std::vector<News> State::kept() const {
  std::vector<News> all = all_news();
  for (const limits::QuotaLeases::UnfencedHolder& ghost : shares_.unfenced_holders()) {
    const Member* member = view_.find(ghost.name);
    if (member != nullptr && member->news.state == Liveness::forgotten &&
        member->news.disk == ghost.identity.disk)
      continue;  // it is there already
    all.push_back({ghost.name,
                   settings_.address,
                   ghost.identity.disk,
                   kGhost,
                   ghost.identity.zone,
                   Liveness::forgotten,
                   {}});
  }
  return all;
}

std::vector<News> State::all_news() const {
  std::vector<News> all;
  all.reserve(view_.members().size());
  for (const auto& [name, member] : view_.members()) all.push_back(member.news);
  return all;
}

std::size_t State::entries() const {
  std::size_t by = 0;
  for (const auto& [deadline, name] : suspects_) by += view_.find(name)->by.size();
  return view_.members().size() + queue_.size() + probes_.size() + favours_.size() + order_.size() +
         suspects_.size() + differs_.size() + by;
}

}  // namespace dahliahall::peers
