// SPDX-License-Identifier: MIT
#include "edge/pool.h"

#include <algorithm>

namespace dahliahall::edge {
namespace {

using namespace std::chrono_literals;

constexpr Time kBeforePeer = 2s;  // idle connections are closed this much before the peer does
constexpr Time kAskedWithin = 250ms;
// A link that was asked something and on which nothing was heard for this long takes nothing new: the machine
// may have vanished, and only a new connection tells.
constexpr Time kDoubtAfter = 1s;
// An attempt that this side ended counts as out until the other side has read of it, and the next attempt
// travels on another connection: its ending is told a moment later.
constexpr Time kCancelTravels = 10ms;
constexpr std::size_t kMostLinks = 32;  // to one member

std::int64_t whole_ms(Time span) { return std::chrono::floor<std::chrono::milliseconds>(span).count(); }

std::optional<LoadReport> read_report(std::string_view text) {
  LoadReport report;
  while (!text.empty()) {
    const std::string_view item = text.substr(0, text.find(';'));
    text.remove_prefix(std::min(item.size() + 1, text.size()));
    const std::size_t colon = item.find(':');
    if (colon == std::string_view::npos) continue;
    double value = 0;
    const std::string_view digits = item.substr(colon + 1);
    if (std::from_chars(digits.data(), digits.data() + digits.size(), value).ec != std::errc{}) continue;
    const std::string_view name = item.substr(0, colon);
    if (name == "inflight") report.in_flight = value;
    if (name == "queue") report.queued = value;
    if (name == "util") report.busy = value;
    if (name == "x0") report.hit_ratio = value;
    if (name == "x1") report.link_utilization = value;
  }
  return report;
}

bool names(const codec::Recall& recall, const Order& order) {
  return recall.object ? *recall.object == order.object : recall.group == order.group;
}

}  // namespace

Pool::Pool(Context& context, const config::Config& config, std::function<bool(const std::string&)> owed)
    : context_(context),
      connect_timeout_(config.connect_timeout),
      idle_(std::max(config.connection_idle - kBeforePeer, config.connection_idle / 2)),
      per_link_(static_cast<std::size_t>(config.requests_per_connection)),
      report_via_(config.settings.report_via),
      cancelling_(config.settings.cancellation),
      owed_(std::move(owed)),
      written_(config.settings.classes.size()) {}

// ---- Members ----

void Pool::apply(const codec::Roster& roster) {
  if (roster.complete) {  // who is not in it is gone
    for (auto& [id, entry] : members_) entry.member.state = EndpointState::removed;
  }
  for (const codec::ListedMember& listed : roster.members) {
    MemberEntry& entry = members_[listed.member.id];
    // Guards against an id whose process or address is another one now: the old connections, which may be
    // silent for ever, are not its own.
    const bool moved = !listed.address.empty() && entry.address != listed.address;
    if (listed.member.state != EndpointState::removed && (entry.process != listed.process || moved)) {
      retire(entry, CloseReason::member_replaced);
    }
    entry.member = listed.member;
    entry.process = listed.process;
    if (!listed.address.empty()) entry.address = listed.address;
  }
  for (auto& [id, entry] : members_) {
    if (entry.member.state != EndpointState::removed) continue;
    retire(entry, CloseReason::member_left);
  }
  for (auto& [id, link] : links_) drop_queued(id);
  for (const ConnectionId id : ids_of_links())
    end_if_in_write(id, [this](const Order& o) { return !may_go(o); });
  // Guards the memory through days on which members are replaced for ever: their links have ended, or will
  // within a moment, and with them all attempts on them.
  std::erase_if(members_, [](const auto& m) { return m.second.member.state == EndpointState::removed; });
}

/// The member's process has gone, or is another one now. Guards answers that it gave before against being
/// lost unread: the list is read before them. What is not wholly written can't have been answered.
void Pool::retire(MemberEntry& entry, CloseReason reason) {
  for (const ConnectionId id : std::set(entry.links)) {
    Link& link = links_.at(id);
    if (!link.up || link.writing || link.open.empty()) {
      end(id, reason, true);
      continue;
    }
    entry.links.erase(id);
    link.retired = reason;
    for (const Key& key : std::deque(link.waiting)) finish(key, AttemptResult::not_sent);
    context_.close_when_read(id);
  }
}

std::size_t Pool::not_running() const {
  return static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [](const auto& m) {
    return m.second.member.state != EndpointState::running;
  }));
}

bool Pool::takes_new(const std::string& member) const {
  const auto found = members_.find(member);
  return found != members_.end() && found->second.member.state == EndpointState::running;
}

bool Pool::may_go(const Order& order) const { return takes_new(order.member) && takes_new(order.source); }

/// Guards the rule on drains: what waits for a connection goes neither to nor by way of a member that does
/// not run any more. Guards caches against work for clients that have gone meanwhile, and the idempotency
/// window of a key against a repeat that waited too long. It never ran.
void Pool::drop_queued(ConnectionId id) {
  std::vector<Key> gone;
  for (const Key& key : links_.at(id).waiting) {
    const Order& order = attempts_.at(key).order;
    const bool too_late =
        order.until <= context_.now || (order.send_by > Time{0} && order.send_by <= context_.now);
    if (too_late || !owed_(order.request) || !may_go(order)) gone.push_back(key);
  }
  for (const Key& key : gone) finish(key, AttemptResult::not_sent);
}

/// What is being written on a connection that takes no more bytes may begin much later. Where the attempt in
/// it must not go any more, the connection ends with it. Guards the rules on drains and purges against a
/// member that does not read for a while. Harm: what else is open there is broken off.
void Pool::end_if_in_write(ConnectionId id, const std::function<bool(const Order&)>& stale) {
  const Link& link = links_.at(id);
  if (!link.writing || !link.in_write) return;
  const auto attempt = attempts_.find(*link.in_write);
  if (attempt != attempts_.end() && stale(attempt->second.order)) end(id, CloseReason::stalled, true);
}

std::vector<ConnectionId> Pool::ids_of_links() const {
  std::vector<ConnectionId> ids;
  for (const auto& [id, link] : links_) ids.push_back(id);
  return ids;
}

/// Guards the rule on purges: an attempt decided before the purge and not written yet must not be served from
/// an older copy.
void Pool::purged(const codec::Recall& recall) {
  for (auto& [key, attempt] : attempts_) {
    Order& order = attempt.order;
    if (attempt.written || !names(recall, order)) continue;
    const Time since = std::max(Time{1}, context_.now - recall.issued);
    order.oldest = order.oldest.count() == 0 ? since : std::min(order.oldest, since);
  }
  for (const ConnectionId id : ids_of_links()) {
    end_if_in_write(id, [&recall](const Order& o) { return names(recall, o); });
  }
}

// ---- Attempts and probes ----

bool Pool::doubtful(const Link& link) const {
  return (link.unanswered > 0 || !link.open.empty()) && context_.now - link.heard >= kDoubtAfter;
}

ConnectionId Pool::link_for(MemberEntry& entry, const std::string& request) {
  ConnectionId best = 0;
  std::size_t best_load = 0;
  bool best_up = false;
  for (const ConnectionId id : entry.links) {
    const Link& link = links_.at(id);
    const std::size_t load = link.open.size() + link.waiting.size();
    // Guards against an answer that comes late or twice and is taken for that of a further attempt.
    const bool same = link.carried.count(request) != 0;
    if (same || load >= per_link_ || doubtful(link)) continue;
    if (best == 0 || std::pair(!link.up, load) < std::pair(!best_up, best_load)) {
      best = id;
      best_load = load;
      best_up = link.up;
    }
  }
  // Guards what shares a connection with an answer that turns out spoilt, and is lost with it: where none is
  // free, another is brought up, so that soon each request has its own. Until then the least busy one serves.
  const bool coming_up = std::any_of(entry.links.begin(), entry.links.end(),
                                     [this](ConnectionId id) { return !links_.at(id).up; });
  if (best != 0 && (best_load == 0 || coming_up)) return best;
  if (entry.links.size() >= most_links()) return best;
  if (links_.size() >= static_cast<std::size_t>(context_.bounds.to_caches) && (best != 0 || !make_room()))
    return best;
  const ConnectionId id = open_link(entry);
  return best != 0 ? best : id;
}

/// Ends the connection that has served nobody for longest, so that one to another member can come up.
bool Pool::make_room() {
  auto idlest = links_.end();
  for (auto link = links_.begin(); link != links_.end(); ++link) {
    if (link->second.up && free(link->second) &&
        (idlest == links_.end() || link->second.active < idlest->second.active))
      idlest = link;
  }
  if (idlest == links_.end()) return false;
  end(idlest->first, CloseReason::too_many, true);
  return true;
}

bool Pool::free(const Link& link) {
  return link.open.empty() && link.waiting.empty() && link.probes.empty() && link.commands.empty();
}

/// How many connections one member may have: an even share of a third of the descriptors.
std::size_t Pool::most_links() const {
  const auto caches =
      std::count_if(members_.begin(), members_.end(), [](const auto& m) { return !m.second.links.empty(); });
  const auto share =
      static_cast<std::size_t>(context_.bounds.to_caches / std::max<std::ptrdiff_t>(caches, 1));
  return std::clamp(share, std::size_t{4}, kMostLinks);
}

ConnectionId Pool::open_link(MemberEntry& entry) {
  const ConnectionId id = context_.connect(entry.address);
  Link& link = links_[id];
  link.member = entry.member.id;
  link.opened = link.active = link.heard = context_.now;
  entry.links.insert(id);
  context_.timers.add(context_.now + connect_timeout_, {Due::connect_timeout, {}, 0, id});
  return id;
}

void Pool::start(Order order) {
  const Key key{order.request, order.number};
  const auto found = members_.find(order.member);
  ConnectionId id = 0;
  if (takes_new(order.member) && takes_new(order.source) && order.until > context_.now) {
    id = link_for(found->second, order.request);
  }
  const Time until = order.until;
  attempts_[key] = {std::move(order), id, false};
  if (id == 0) {
    finish(
        key,
        AttemptResult::not_sent);  // also for want of a descriptor, which is no evidence against the member
    return;
  }
  context_.timers.add(until, {Due::attempt_timeout, key.first, key.second, 0});
  links_.at(id).waiting.push_back(key);
  flush(id);
}

std::string Pool::render(const Order& order) const {
  codec::FieldList fields = order.fields;
  fields.add("max", std::to_string(std::max<std::int64_t>(1, whole_ms(order.until - context_.now))));
  if (order.source != order.member) fields.add("from", order.source);
  if (order.oldest.count() > 0)
    fields.add("oldest", std::to_string(std::max<std::int64_t>(1, whole_ms(order.oldest))));
  return codec::write_serve(order.request, fields, order.body);
}

/// Writes the next of what waits once all before it has gone: a send counts from its first byte, so what is
/// left here can still be checked against drains, purges and clients that have gone.
void Pool::flush(ConnectionId id) {
  Link& link = links_.at(id);
  if (!link.up || link.writing) return;
  drop_queued(id);
  std::string out = std::exchange(link.commands, {});
  link.in_write.reset();
  if (!link.waiting.empty()) {
    const Key key = link.waiting.front();
    link.waiting.pop_front();
    Outstanding& attempt = attempts_.at(key);
    attempt.written = true;
    link.in_write = key;
    if (link.open.empty()) link.heard = context_.now;  // silence counts from when something was asked
    link.open[key.first] = key.second;
    link.carried[key.first] = attempt.order.until;
    ++link.requests;
    ++written_.at(attempt.order.request_class);
    out += render(attempt.order);
    attempt.order.body.clear();
  }
  if (out.empty()) return;
  link.writing = true;
  link.active = context_.now;
  context_.write(id, std::move(out));
}

void Pool::finish(const Key& key, AttemptResult ending, codec::CacheAnswer answer) {
  const auto found = attempts_.find(key);
  if (found == attempts_.end()) return;
  Outstanding& attempt = found->second;
  if (const auto link = links_.find(attempt.link); link != links_.end()) {
    if (attempt.written) {
      link->second.open.erase(key.first);
    } else {
      std::erase(link->second.waiting, key);
    }
  }
  const Time took = context_.now - attempt.order.decided;
  ended_.push_back(
      {key.first, key.second, attempt.order.member, attempt.order.source, ending, took, std::move(answer)});
  attempts_.erase(found);
}

/// The ending of an attempt that this side broke off.
void Pool::finish_later(const Key& key, AttemptResult ending) {
  finish(key, ending);
  held_back_.push_back(std::move(ended_.back()));
  ended_.pop_back();
  context_.timers.add(context_.now + kCancelTravels, {Due::late_ending, {}, 0, 0});
}

void Pool::late_endings() {
  if (held_back_.empty()) return;
  ended_.push_back(std::move(held_back_.front()));
  held_back_.pop_front();
}

void Pool::abandon(const Key& key, AttemptResult ending) {
  const auto found = attempts_.find(key);
  if (found == attempts_.end()) return;
  if (!found->second.written) {
    finish(key, AttemptResult::not_sent);
    return;
  }
  const ConnectionId id = found->second.link;
  Link& link = links_.at(id);
  ++link.unanswered;
  if (cancelling_) link.commands += codec::write_cancel(key.first);
  if (ending == AttemptResult::cancelled) {
    finish(key, ending);
  } else {
    finish_later(key, ending);
  }
  flush(id);
}

void Pool::cancel(const std::string& request, int number) {
  abandon({request, number}, AttemptResult::cancelled);
}
void Pool::timed_out(const std::string& request, int number) {
  abandon({request, number}, AttemptResult::timed_out);
}

void Pool::probe(const std::string& member) {
  const auto found = members_.find(member);
  const ConnectionId id = found != members_.end() && takes_new(member) ? link_for(found->second, {}) : 0;
  if (id == 0) {
    probed_.push_back({member, false, Time{0}, std::nullopt});
    return;
  }
  const std::string tag = std::string("g").append(std::to_string(++last_probe_));
  Link& link = links_.at(id);
  link.probes[tag] = context_.now;
  link.commands += codec::write_gauges(tag);
  flush(id);
}

bool Pool::take_ended(Ended& ended) {
  if (ended_.empty()) return false;
  ended = std::move(ended_.front());
  ended_.pop_front();
  return true;
}

bool Pool::take_probed(HealthChecked& probed) {
  if (probed_.empty()) return false;
  probed = std::move(probed_.front());
  probed_.pop_front();
  return true;
}

// ---- Connections ----

void Pool::connected(ConnectionId connection) {
  Link& link = links_.at(connection);
  link.up = true;
  link.heard = link.active = context_.now;
  flush(connection);
}

void Pool::bytes(ConnectionId connection, std::string_view bytes) {
  Link& link = links_.at(connection);
  link.heard = link.active = context_.now;
  link.unanswered = 0;
  link.reader.feed(bytes);
  while (auto answer = link.reader.next()) on_answer(connection, std::move(*answer));
  if (link.reader.error() != codec::LineError::none) {
    // Guards against a peer that does not speak the protocol: nothing more it says can be told apart.
    context_.log("member unreadable answer member=" + link.member +
                 " error=" + std::to_string(static_cast<int>(link.reader.error())));
    end(connection, CloseReason::bad_answer, true);
  }
}

void Pool::on_answer(ConnectionId id, codec::CacheAnswer answer) {
  Link& link = links_.at(id);
  using codec::AnswerWord;
  if (answer.word == AnswerWord::pong || answer.word == AnswerWord::sick) {
    const auto probe = link.probes.find(answer.id);
    if (probe == link.probes.end()) return;
    const auto report = codec::field_in(answer.fields, "report");
    probed_.push_back({link.member, answer.word == AnswerWord::pong, context_.now - probe->second,
                       report ? read_report(*report) : std::nullopt});
    link.probes.erase(probe);
    return;
  }
  const auto open = link.open.find(answer.id);
  if (open == link.open.end()) return;  // a late answer to what was given up
  const Key key{open->first, open->second};
  switch (answer.word) {
    case AnswerWord::hit:
    case AnswerWord::valid:
      finish(key, AttemptResult::served, std::move(answer));
      break;
    case AnswerWord::none:
      finish(key, AttemptResult::cache_miss);
      break;
    case AnswerWord::shed:
      finish(key, AttemptResult::shed);
      break;
    case AnswerWord::late:
      finish(key, AttemptResult::not_sent);
      break;
    default:
      finish(key, AttemptResult::error);
  }
}

void Pool::drained(ConnectionId connection) {
  links_.at(connection).writing = false;
  flush(connection);
}

void Pool::lost(ConnectionId connection, CloseReason reason) { end(connection, reason, false); }

void Pool::excuse() {
  for (auto& [id, link] : links_) link.heard = context_.now;
}

void Pool::connect_overdue(ConnectionId connection) {
  const auto found = links_.find(connection);
  if (found == links_.end() || found->second.up) return;
  const std::string member = found->second.member;
  const Time since = found->second.opened;
  end(connection, CloseReason::connect_timeout, true);
  // Guards against work that waits on a vanished machine until its clients leave: a new connection does not
  // come up, and on an old one nothing was heard since it was tried.
  for (const ConnectionId id : std::set(members_.at(member).links)) {
    const Link& link = links_.at(id);
    if (link.up && link.heard < since && (link.unanswered > 0 || !link.open.empty()))
      end(id, CloseReason::silent, true);
  }
}

/// Ends a connection. What was written on it may have run; what was not never did.
void Pool::end(ConnectionId id, CloseReason reason, bool close_it) {
  const auto found = links_.find(id);
  if (found == links_.end()) return;
  const Link link = std::move(found->second);
  links_.erase(found);
  if (const auto member = members_.find(link.member); member != members_.end())
    member->second.links.erase(id);
  context_.ended({"member", id, link.opened, link.requests, link.member}, link.retired.value_or(reason),
                 close_it);
  for (const Key& key : link.waiting)
    finish(key, link.up ? AttemptResult::not_sent : AttemptResult::unreachable);
  for (const auto& [request, number] : link.open) {
    if (reason == CloseReason::bad_answer) {
      finish_later({request, number}, AttemptResult::malformed_response);
    } else if (close_it || link.retired) {
      finish_later({request, number}, AttemptResult::connection_lost);
    } else {
      finish({request, number}, AttemptResult::connection_lost);
    }
  }
  for (const auto& [tag, at] : link.probes)
    probed_.push_back({link.member, false, context_.now - at, std::nullopt});
}

void Pool::sweep() {
  std::vector<std::pair<ConnectionId, CloseReason>> due;
  for (auto& [id, link] : links_) {
    std::erase_if(link.probes, [&, &from = link](const auto& probe) {
      if (context_.now - probe.second < kAskedWithin) return false;
      probed_.push_back({from.member, false, context_.now - probe.second, std::nullopt});
      return true;
    });
    std::erase_if(link.carried, [this](const auto& g) { return g.second <= context_.now; });
    if (!free(link) || !link.up) continue;
    if (doubtful(link)) {
      due.emplace_back(id, CloseReason::silent);
    } else if (context_.now - link.active >= idle_ || !takes_new(link.member)) {
      due.emplace_back(id, takes_new(link.member) ? CloseReason::idle : CloseReason::member_left);
    }
  }
  for (const auto& [id, reason] : due) end(id, reason, true);
}

void Pool::stop() {
  while (!links_.empty()) end(links_.begin()->first, CloseReason::stopping, true);
}

}  // namespace dahliahall::edge
