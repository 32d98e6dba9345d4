// SPDX-License-Identifier: MIT
#include "proxy/upstream/upstream_pool.h"

#include <algorithm>

namespace edge_proxy::proxy {
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

bool names(const codec::Invalidation& recall, const UpstreamRequest& order) {
  return recall.object ? *recall.object == order.object : recall.group == order.group;
}

}  // namespace

UpstreamPool::UpstreamPool(Context& context, const config::Config& config,
                           std::function<bool(const std::string&)> is_owed)
    : context_(context),
      connect_timeout_(config.connect_timeout),
      idle_timeout_(std::max(config.connection_idle - kBeforePeer, config.connection_idle / 2)),
      max_requests_per_connection_(static_cast<std::size_t>(config.requests_per_connection)),
      load_report_via_(config.settings.report_via),
      cancellation_(config.settings.cancellation),
      is_owed_(std::move(is_owed)),
      written_by_class_(config.settings.classes.size()) {}

// ---- Members ----

void UpstreamPool::apply(const codec::EndpointUpdate& update) {
  if (update.is_complete) {  // who is not in it is gone
    for (auto& [id, entry] : endpoints_) entry.endpoint.state = EndpointState::removed;
  }
  for (const codec::ListedEndpoint& listed : update.endpoints) {
    EndpointEntry& entry = endpoints_[listed.endpoint.id];
    // Guards against an id whose process or address is another one now: the old connections, which may be
    // silent for ever, are not its own.
    const bool moved = !listed.address.empty() && entry.address != listed.address;
    if (listed.endpoint.state != EndpointState::removed &&
        (entry.process_started != listed.process_started || moved)) {
      retire_connections(entry, CloseReason::endpoint_replaced);
    }
    entry.endpoint = listed.endpoint;
    entry.process_started = listed.process_started;
    if (!listed.address.empty()) entry.address = listed.address;
  }
  for (auto& [id, entry] : endpoints_) {
    if (entry.endpoint.state != EndpointState::removed) continue;
    retire_connections(entry, CloseReason::endpoint_left);
  }
  for (auto& [id, link] : connections_) drop_stale_queued(id);
  for (const ConnectionId id : connection_ids())
    close_if_writing_stale(id, [this](const UpstreamRequest& o) { return !can_send(o); });
  // Guards the memory through days on which members are replaced for ever: their links have ended, or will
  // within a moment, and with them all attempts on them.
  std::erase_if(endpoints_, [](const auto& m) { return m.second.endpoint.state == EndpointState::removed; });
}

/// The member's process has gone, or is another one now. Guards answers that it gave before against being
/// lost unread: the list is read before them. What is not wholly written can't have been answered.
void UpstreamPool::retire_connections(EndpointEntry& endpoint, CloseReason reason) {
  for (const ConnectionId id : std::set(endpoint.connections)) {
    UpstreamConnection& link = connections_.at(id);
    if (!link.is_connected || link.is_writing || link.open_attempts.empty()) {
      close(id, reason, true);
      continue;
    }
    endpoint.connections.erase(id);
    link.retired_for = reason;
    for (const AttemptKey& key : std::deque(link.queued_attempts)) complete(key, AttemptResult::not_sent);
    context_.drain_and_close(id);
  }
}

std::size_t UpstreamPool::not_running_count() const {
  return static_cast<std::size_t>(std::count_if(endpoints_.begin(), endpoints_.end(), [](const auto& m) {
    return m.second.endpoint.state != EndpointState::running;
  }));
}

bool UpstreamPool::accepts_attempts(const std::string& endpoint) const {
  const auto found = endpoints_.find(endpoint);
  return found != endpoints_.end() && found->second.endpoint.state == EndpointState::running;
}

bool UpstreamPool::can_send(const UpstreamRequest& request) const {
  return accepts_attempts(request.endpoint) && accepts_attempts(request.source);
}

/// Guards the rule on drains: what waits for a connection goes neither to nor by way of a member that does
/// not run any more. Guards caches against work for clients that have gone meanwhile, and the idempotency
/// window of a key against a repeat that waited too long. It never ran.
void UpstreamPool::drop_stale_queued(ConnectionId id) {
  std::vector<AttemptKey> gone;
  for (const AttemptKey& key : connections_.at(id).queued_attempts) {
    const UpstreamRequest& order = attempts_.at(key).request;
    const bool too_late = order.expires_at <= context_.now ||
                          (order.send_before > Time{0} && order.send_before <= context_.now);
    if (too_late || !is_owed_(order.request) || !can_send(order)) gone.push_back(key);
  }
  for (const AttemptKey& key : gone) complete(key, AttemptResult::not_sent);
}

/// What is being written on a connection that takes no more bytes may begin much later. Where the attempt in
/// it must not go any more, the connection ends with it. Guards the rules on drains and purges against a
/// member that does not read for a while. Harm: what else is open there is broken off.
void UpstreamPool::close_if_writing_stale(ConnectionId id,
                                          const std::function<bool(const UpstreamRequest&)>& stale) {
  const UpstreamConnection& link = connections_.at(id);
  if (!link.is_writing || !link.attempt_being_written) return;
  const auto attempt = attempts_.find(*link.attempt_being_written);
  if (attempt != attempts_.end() && stale(attempt->second.request)) close(id, CloseReason::stalled, true);
}

std::vector<ConnectionId> UpstreamPool::connection_ids() const {
  std::vector<ConnectionId> ids;
  for (const auto& [id, link] : connections_) ids.push_back(id);
  return ids;
}

/// Guards the rule on purges: an attempt decided before the purge and not written yet must not be served from
/// an older copy.
void UpstreamPool::invalidate(const codec::Invalidation& invalidation) {
  for (auto& [key, attempt] : attempts_) {
    UpstreamRequest& order = attempt.request;
    if (attempt.is_written || !names(invalidation, order)) continue;
    const Time since = std::max(Time{1}, context_.now - invalidation.issued_at);
    order.max_copy_age = order.max_copy_age.count() == 0 ? since : std::min(order.max_copy_age, since);
  }
  for (const ConnectionId id : connection_ids()) {
    close_if_writing_stale(id, [&invalidation](const UpstreamRequest& o) { return names(invalidation, o); });
  }
}

// ---- Attempts and probes ----

bool UpstreamPool::is_suspicious(const UpstreamConnection& link) const {
  return (link.unanswered_count > 0 || !link.open_attempts.empty()) &&
         context_.now - link.heard_at >= kDoubtAfter;
}

ConnectionId UpstreamPool::connection_for(EndpointEntry& endpoint, const std::string& request) {
  ConnectionId best = 0;
  std::size_t best_load = 0;
  bool best_up = false;
  for (const ConnectionId id : endpoint.connections) {
    const UpstreamConnection& link = connections_.at(id);
    const std::size_t load = link.open_attempts.size() + link.queued_attempts.size();
    // Guards against an answer that comes late or twice and is taken for that of a further attempt.
    const bool same = link.used_by_requests.count(request) != 0;
    if (same || load >= max_requests_per_connection_ || is_suspicious(link)) continue;
    if (best == 0 || std::pair(!link.is_connected, load) < std::pair(!best_up, best_load)) {
      best = id;
      best_load = load;
      best_up = link.is_connected;
    }
  }
  // Guards what shares a connection with an answer that turns out spoilt, and is lost with it: where none is
  // free, another is brought up, so that soon each request has its own. Until then the least busy one serves.
  const bool coming_up = std::any_of(endpoint.connections.begin(), endpoint.connections.end(),
                                     [this](ConnectionId id) { return !connections_.at(id).is_connected; });
  if (best != 0 && (best_load == 0 || coming_up)) return best;
  if (endpoint.connections.size() >= max_connections_per_endpoint()) return best;
  if (connections_.size() >= static_cast<std::size_t>(context_.limits.upstream_connections) &&
      (best != 0 || !close_idlest()))
    return best;
  const ConnectionId id = open_connection(endpoint);
  return best != 0 ? best : id;
}

/// Ends the connection that has served nobody for longest, so that one to another member can come up.
bool UpstreamPool::close_idlest() {
  auto idlest = connections_.end();
  for (auto link = connections_.begin(); link != connections_.end(); ++link) {
    if (link->second.is_connected && is_idle(link->second) &&
        (idlest == connections_.end() || link->second.active_at < idlest->second.active_at))
      idlest = link;
  }
  if (idlest == connections_.end()) return false;
  close(idlest->first, CloseReason::too_many, true);
  return true;
}

bool UpstreamPool::is_idle(const UpstreamConnection& link) {
  return link.open_attempts.empty() && link.queued_attempts.empty() && link.health_checks.empty() &&
         link.commands.empty();
}

/// How many connections one member may have: an even share of a third of the descriptors.
std::size_t UpstreamPool::max_connections_per_endpoint() const {
  const auto caches = std::count_if(endpoints_.begin(), endpoints_.end(),
                                    [](const auto& m) { return !m.second.connections.empty(); });
  const auto share =
      static_cast<std::size_t>(context_.limits.upstream_connections / std::max<std::ptrdiff_t>(caches, 1));
  return std::clamp(share, std::size_t{4}, kMostLinks);
}

ConnectionId UpstreamPool::open_connection(EndpointEntry& endpoint) {
  const ConnectionId id = context_.connect(endpoint.address);
  UpstreamConnection& link = connections_[id];
  link.endpoint = endpoint.endpoint.id;
  link.opened_at = link.active_at = link.heard_at = context_.now;
  endpoint.connections.insert(id);
  context_.timers.add(context_.now + connect_timeout_, {TimerKind::connect_timeout, {}, 0, id});
  return id;
}

void UpstreamPool::start_attempt(UpstreamRequest request) {
  const AttemptKey key{request.request, request.attempt};
  const auto found = endpoints_.find(request.endpoint);
  ConnectionId id = 0;
  if (accepts_attempts(request.endpoint) && accepts_attempts(request.source) &&
      request.expires_at > context_.now) {
    id = connection_for(found->second, request.request);
  }
  const Time until = request.expires_at;
  attempts_[key] = {std::move(request), id, false};
  if (id == 0) {
    complete(
        key,
        AttemptResult::not_sent);  // also for want of a descriptor, which is no evidence against the member
    return;
  }
  context_.timers.add(until, {TimerKind::attempt_timeout, key.first, key.second, 0});
  connections_.at(id).queued_attempts.push_back(key);
  write_next(id);
}

std::string UpstreamPool::render(const UpstreamRequest& request) const {
  codec::FieldList fields = request.fields;
  fields.add("max", std::to_string(std::max<std::int64_t>(1, whole_ms(request.expires_at - context_.now))));
  if (request.source != request.endpoint) fields.add("from", request.source);
  if (request.max_copy_age.count() > 0)
    fields.add("oldest", std::to_string(std::max<std::int64_t>(1, whole_ms(request.max_copy_age))));
  return codec::write_request(request.request, fields, request.body);
}

/// Writes the next of what waits once all before it has gone: a send counts from its first byte, so what is
/// left here can still be checked against drains, purges and clients that have gone.
void UpstreamPool::write_next(ConnectionId id) {
  UpstreamConnection& link = connections_.at(id);
  if (!link.is_connected || link.is_writing) return;
  drop_stale_queued(id);
  std::string out = std::exchange(link.commands, {});
  link.attempt_being_written.reset();
  if (!link.queued_attempts.empty()) {
    const AttemptKey key = link.queued_attempts.front();
    link.queued_attempts.pop_front();
    OutstandingAttempt& attempt = attempts_.at(key);
    attempt.is_written = true;
    link.attempt_being_written = key;
    if (link.open_attempts.empty())
      link.heard_at = context_.now;  // silence counts from when something was asked
    link.open_attempts[key.first] = key.second;
    link.used_by_requests[key.first] = attempt.request.expires_at;
    ++link.request_count;
    ++written_by_class_.at(attempt.request.request_class);
    out += render(attempt.request);
    attempt.request.body.clear();
  }
  if (out.empty()) return;
  link.is_writing = true;
  link.active_at = context_.now;
  context_.write(id, std::move(out));
}

void UpstreamPool::complete(const AttemptKey& key, AttemptResult result, codec::CacheResponse response) {
  const auto found = attempts_.find(key);
  if (found == attempts_.end()) return;
  OutstandingAttempt& attempt = found->second;
  if (const auto link = connections_.find(attempt.connection); link != connections_.end()) {
    if (attempt.is_written) {
      link->second.open_attempts.erase(key.first);
    } else {
      std::erase(link->second.queued_attempts, key);
    }
  }
  const Time took = context_.now - attempt.request.decided_at;
  completions_.push_back({key.first, key.second, attempt.request.endpoint, attempt.request.source, result,
                          took, std::move(response)});
  attempts_.erase(found);
}

/// The ending of an attempt that this side broke off.
void UpstreamPool::complete_later(const AttemptKey& key, AttemptResult result) {
  complete(key, result);
  delayed_completions_.push_back(std::move(completions_.back()));
  completions_.pop_back();
  context_.timers.add(context_.now + kCancelTravels, {TimerKind::delayed_completion, {}, 0, 0});
}

void UpstreamPool::release_delayed_completion() {
  if (delayed_completions_.empty()) return;
  completions_.push_back(std::move(delayed_completions_.front()));
  delayed_completions_.pop_front();
}

void UpstreamPool::abandon_attempt(const AttemptKey& key, AttemptResult result) {
  const auto found = attempts_.find(key);
  if (found == attempts_.end()) return;
  if (!found->second.is_written) {
    complete(key, AttemptResult::not_sent);
    return;
  }
  const ConnectionId id = found->second.connection;
  UpstreamConnection& link = connections_.at(id);
  ++link.unanswered_count;
  if (cancellation_) link.commands += codec::write_cancel(key.first);
  if (result == AttemptResult::cancelled) {
    complete(key, result);
  } else {
    complete_later(key, result);
  }
  write_next(id);
}

void UpstreamPool::cancel_attempt(const std::string& request, int number) {
  abandon_attempt({request, number}, AttemptResult::cancelled);
}
void UpstreamPool::time_out_attempt(const std::string& request, int number) {
  abandon_attempt({request, number}, AttemptResult::timed_out);
}

void UpstreamPool::check_health(const std::string& endpoint) {
  const auto found = endpoints_.find(endpoint);
  const ConnectionId id =
      found != endpoints_.end() && accepts_attempts(endpoint) ? connection_for(found->second, {}) : 0;
  if (id == 0) {
    health_results_.push_back({endpoint, false, Time{0}, std::nullopt});
    return;
  }
  const std::string tag = std::string("g").append(std::to_string(++last_health_check_));
  UpstreamConnection& link = connections_.at(id);
  link.health_checks[tag] = context_.now;
  link.commands += codec::write_health_check(tag);
  write_next(id);
}

bool UpstreamPool::take_completion(AttemptCompletion& ended) {
  if (completions_.empty()) return false;
  ended = std::move(completions_.front());
  completions_.pop_front();
  return true;
}

bool UpstreamPool::take_health_result(HealthChecked& probed) {
  if (health_results_.empty()) return false;
  probed = std::move(health_results_.front());
  health_results_.pop_front();
  return true;
}

// ---- Connections ----

void UpstreamPool::on_connected(ConnectionId connection) {
  UpstreamConnection& link = connections_.at(connection);
  link.is_connected = true;
  link.heard_at = link.active_at = context_.now;
  write_next(connection);
}

void UpstreamPool::on_bytes(ConnectionId connection, std::string_view on_bytes) {
  UpstreamConnection& link = connections_.at(connection);
  link.heard_at = link.active_at = context_.now;
  link.unanswered_count = 0;
  link.reader.feed(on_bytes);
  while (auto answer = link.reader.next()) on_answer(connection, std::move(*answer));
  if (link.reader.error() != codec::LineError::none) {
    // Guards against a peer that does not speak the protocol: nothing more it says can be told apart.
    context_.log("member unreadable answer member=" + link.endpoint +
                 " error=" + std::to_string(static_cast<int>(link.reader.error())));
    close(connection, CloseReason::malformed_response, true);
  }
}

void UpstreamPool::on_answer(ConnectionId id, codec::CacheResponse answer) {
  UpstreamConnection& link = connections_.at(id);
  using codec::CacheResponseStatus;
  if (answer.status == CacheResponseStatus::healthy || answer.status == CacheResponseStatus::unhealthy) {
    const auto probe = link.health_checks.find(answer.id);
    if (probe == link.health_checks.end()) return;
    const auto report = codec::field_in(answer.fields, "report");
    health_results_.push_back({link.endpoint, answer.status == CacheResponseStatus::healthy,
                               context_.now - probe->second, report ? read_report(*report) : std::nullopt});
    link.health_checks.erase(probe);
    return;
  }
  const auto open = link.open_attempts.find(answer.id);
  if (open == link.open_attempts.end()) return;  // a late answer to what was given up
  const AttemptKey key{open->first, open->second};
  switch (answer.status) {
    case CacheResponseStatus::hit:
    case CacheResponseStatus::not_modified:
      complete(key, AttemptResult::served, std::move(answer));
      break;
    case CacheResponseStatus::not_found:
      complete(key, AttemptResult::cache_miss);
      break;
    case CacheResponseStatus::shed:
      complete(key, AttemptResult::shed);
      break;
    case CacheResponseStatus::expired:
      complete(key, AttemptResult::not_sent);
      break;
    default:
      complete(key, AttemptResult::error);
  }
}

void UpstreamPool::on_write_drained(ConnectionId connection) {
  connections_.at(connection).is_writing = false;
  write_next(connection);
}

void UpstreamPool::on_closed(ConnectionId connection, CloseReason reason) {
  close(connection, reason, false);
}

void UpstreamPool::on_loop_stall() {
  for (auto& [id, link] : connections_) link.heard_at = context_.now;
}

void UpstreamPool::on_connect_timeout(ConnectionId connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end() || found->second.is_connected) return;
  const std::string member = found->second.endpoint;
  const Time since = found->second.opened_at;
  close(connection, CloseReason::connect_timeout, true);
  // Guards against work that waits on a vanished machine until its clients leave: a new connection does not
  // come up, and on an old one nothing was heard since it was tried.
  for (const ConnectionId id : std::set(endpoints_.at(member).connections)) {
    const UpstreamConnection& link = connections_.at(id);
    if (link.is_connected && link.heard_at < since &&
        (link.unanswered_count > 0 || !link.open_attempts.empty()))
      close(id, CloseReason::silent, true);
  }
}

/// Ends a connection. What was written on it may have run; what was not never did.
void UpstreamPool::close(ConnectionId id, CloseReason reason, bool close_it) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  const UpstreamConnection link = std::move(found->second);
  connections_.erase(found);
  if (const auto member = endpoints_.find(link.endpoint); member != endpoints_.end())
    member->second.connections.erase(id);
  context_.log_closed({"member", id, link.opened_at, link.request_count, link.endpoint},
                      link.retired_for.value_or(reason), close_it);
  for (const AttemptKey& key : link.queued_attempts)
    complete(key, link.is_connected ? AttemptResult::not_sent : AttemptResult::unreachable);
  for (const auto& [request, number] : link.open_attempts) {
    if (reason == CloseReason::malformed_response) {
      complete_later({request, number}, AttemptResult::malformed_response);
    } else if (close_it || link.retired_for) {
      complete_later({request, number}, AttemptResult::connection_lost);
    } else {
      complete({request, number}, AttemptResult::connection_lost);
    }
  }
  for (const auto& [tag, at] : link.health_checks)
    health_results_.push_back({link.endpoint, false, context_.now - at, std::nullopt});
}

void UpstreamPool::close_expired() {
  std::vector<std::pair<ConnectionId, CloseReason>> due;
  for (auto& [id, link] : connections_) {
    std::erase_if(link.health_checks, [&, &from = link](const auto& probe) {
      if (context_.now - probe.second < kAskedWithin) return false;
      health_results_.push_back({from.endpoint, false, context_.now - probe.second, std::nullopt});
      return true;
    });
    std::erase_if(link.used_by_requests, [this](const auto& g) { return g.second <= context_.now; });
    if (!is_idle(link) || !link.is_connected) continue;
    if (is_suspicious(link)) {
      due.emplace_back(id, CloseReason::silent);
    } else if (context_.now - link.active_at >= idle_timeout_ || !accepts_attempts(link.endpoint)) {
      due.emplace_back(id, accepts_attempts(link.endpoint) ? CloseReason::idle : CloseReason::endpoint_left);
    }
  }
  for (const auto& [id, reason] : due) close(id, reason, true);
}

void UpstreamPool::stop() {
  while (!connections_.empty()) close(connections_.begin()->first, CloseReason::stopping, true);
}

}  // namespace edge_proxy::proxy
