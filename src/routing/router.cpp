// SPDX-License-Identifier: MIT
//
// The router handles each request from its arrival to its final answer. Its interface (settings, events,
// actions) is include/edge_proxy/router.h. docs/design.md names the paper that it follows, and states what
// differs and why.
//
// For each request, the router counts and ranks the part of the object (popularity.h), and chooses a cache
// and a source for the next attempt (attempt_planner.h, endpoint_selection.h, fill_policy.h). The outcome of
// the attempt updates the router's state (attempt_feedback.h, endpoint_health.h, concurrency_limit.h,
// slow_start.h). After a failure, or if an attempt stays unanswered, the router may send another attempt
// (retry_safety.h, retry_budget.h). Every request gets exactly one final answer.
#include "edge_proxy/router.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/hash.h"
#include "base/time_units.h"
#include "base/timer_queue.h"
#include "routing/attempt_feedback.h"
#include "routing/attempt_planner.h"
#include "routing/copy_age.h"
#include "routing/endpoint_selection.h"
#include "routing/endpoint_table.h"
#include "routing/fill_policy.h"
#include "routing/peer_group.h"
#include "routing/pending_request.h"
#include "routing/popularity.h"
#include "routing/retry_budget.h"
#include "routing/retry_safety.h"
#include "routing/settings_queries.h"
#include "routing/slow_start.h"
#include "routing/work_estimate.h"

namespace edge_proxy {
namespace routing {
namespace {

using namespace std::chrono_literals;

constexpr Time kPeriodicUpdateInterval = 1s;   // slow start's mean load counts work per second
constexpr Time kSubscribeRetryDelay = 1s;      // after a failed call for the endpoint list
constexpr double kRetryAfterRatio = 0.5;       // part of the maximum Retry-After that clients follow
constexpr double kLocalCopyTimeRatio = 0.7;    // a local copy must be sent within this part of the objective
constexpr std::size_t kLocalCopyMaxCount = 2;  // parts requested more often are in the caches

constexpr std::int64_t kWakeUpTimerToken = 1;
// Timers that are kept for ended requests: a fixed number, and a multiple of the pending requests.
constexpr std::size_t kMaxStaleTimers = 1024;
constexpr std::size_t kMaxTimersPerRequest = 6;

enum class TimerKind { hedge, latency_objective, deadline, periodic_update, subscribe };
struct Timer {
  TimerKind kind = TimerKind::periodic_update;
  std::string request_id;  // empty for a timer that belongs to no request
  std::uint64_t request_number = 0;
};

bool is_connection_fault(AttemptResult result) {
  return result == AttemptResult::malformed_response || result == AttemptResult::connection_lost;
}

}  // namespace
}  // namespace routing

using namespace routing;

class Router::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed)
      : settings_(std::move(settings)),
        popularity_(settings_),
        endpoints_(settings_),
        slow_start_(settings_, endpoints_, seed),
        selector_(settings_, endpoints_, slow_start_),
        work_estimate_(settings_),
        fill_policy_(settings_),
        copy_age_(settings_),
        retry_safety_(settings_, endpoints_),
        planner_({.settings = settings_,
                  .endpoints = endpoints_,
                  .selector = selector_,
                  .safety = retry_safety_,
                  .copy_age = copy_age_,
                  .fills = fill_policy_}),
        feedback_({.endpoints = endpoints_,
                   .slow_start = slow_start_,
                   .fills = fill_policy_,
                   .work = work_estimate_}) {}

  std::vector<Action> handle(Time now, const Event& event);
  [[nodiscard]] Router::Stats stats() const;
  [[nodiscard]] bool has_request(const std::string& id) const { return pending_.contains(id); }

 private:
  // Start and timers.
  void start();
  void run_timers();
  void run_timer(const Timer& timer);
  void drop_stale_timers();
  void schedule_wake_up();
  void run_periodic_update();

  // Events.
  void on_event(const TimerFired&) {}
  void on_event(const HealthChecked&) {}
  void on_event(const EndpointList& list);
  void on_event(const Request& request);
  void on_event(const Outcome& outcome);
  void on_event(const RequestCancelled& cancelled);
  void on_event(const StreamStarted& started);
  void on_event(const Invalidation& invalidation) { copy_age_.record_invalidation(now_, invalidation); }
  void on_event(const QuotaChanged& quota) { slow_start_.set_quota(quota); }
  void on_event(const SettingsChanged& changed) { settings_ = changed.settings; }

  // Timers of a request.
  void on_hedge_delay(const Timer& timer);
  void on_latency_objective(const Timer& timer);
  void on_deadline(const Timer& timer);

  // Request handling.
  [[nodiscard]] PendingRequest make_pending(const Request& request);
  void estimate_work(PendingRequest& pending);
  [[nodiscard]] bool should_serve_local_copy(const PendingRequest& pending) const;
  bool send_next_attempt(PendingRequest& pending);
  bool send_extra_attempt(PendingRequest& pending);
  void send(PendingRequest& pending, const Route& route);
  void record_sent(std::size_t endpoint, double work);
  void retry_or_give_up(PendingRequest& pending, AttemptResult result);
  [[nodiscard]] bool is_retry_useful(const AttemptRecord& last) const;
  void give_up(PendingRequest& pending);
  void finish(PendingRequest& pending);
  void remove_if_done(const std::string& request_id);
  void add_timer(Time due, TimerKind kind, const PendingRequest& pending);
  [[nodiscard]] bool is_stale(const Timer& timer) const;
  [[nodiscard]] PendingRequest* find_waiting(const Timer& timer);
  [[nodiscard]] Time retry_after() const;

  Settings settings_;
  Time now_{0};
  Time wake_up_at_{0};
  bool has_started_ = false;
  std::vector<Action> actions_;
  TimerQueue<Timer> timers_;
  std::map<std::string, PendingRequest> pending_;
  std::uint64_t last_request_number_ = 0;
  RetryBudget retry_budget_;

  // Declaration order matters: the components refer to the settings and to each other.
  Popularity popularity_;
  EndpointTable endpoints_;
  SlowStart slow_start_;
  EndpointSelector selector_;
  WorkEstimate work_estimate_;
  FillPolicy fill_policy_;
  CopyAge copy_age_;
  RetrySafety retry_safety_;
  AttemptPlanner planner_;
  AttemptFeedback feedback_;
};

std::vector<Action> Router::Impl::handle(Time now, const Event& event) {
  now_ = now;
  actions_.clear();
  if (!has_started_) start();
  run_timers();
  std::visit([this](const auto& specific_event) { on_event(specific_event); }, event);
  run_timers();
  schedule_wake_up();
  return std::move(actions_);
}

Router::Stats Router::Impl::stats() const {
  Router::Stats stats;
  for (const auto& [id, pending] : pending_) {
    const auto& attempts = pending.attempts;
    stats.in_flight += static_cast<std::size_t>(std::count_if(
        attempts.begin(), attempts.end(), [](const AttemptRecord& attempt) { return attempt.is_open; }));
  }
  stats.ejected = endpoints_.ejected_count(now_);
  stats.endpoints = endpoints_.known_count();
  stats.table_entries =
      endpoints_.entry_count() + pending_.size() + retry_safety_.size() + copy_age_.size() + timers_.size();
  return stats;
}

// ---- Start and timers ----

void Router::Impl::start() {
  has_started_ = true;
  popularity_.start(now_);
  slow_start_.start(now_);
  timers_.add(now_ + kPeriodicUpdateInterval, {TimerKind::periodic_update, {}, 0});
  if (settings_.subscription_required) actions_.emplace_back(SubscribeEndpointList{});
}

void Router::Impl::run_timers() {
  while (const auto timer = timers_.pop_due(now_)) run_timer(*timer);
}

void Router::Impl::run_timer(const Timer& timer) {
  switch (timer.kind) {
    case TimerKind::hedge:
      on_hedge_delay(timer);
      break;
    case TimerKind::latency_objective:
      on_latency_objective(timer);
      break;
    case TimerKind::deadline:
      on_deadline(timer);
      break;
    case TimerKind::periodic_update:
      run_periodic_update();
      break;
    case TimerKind::subscribe:
      actions_.emplace_back(SubscribeEndpointList{});
      break;
  }
}

/// Timers of ended requests stay until they are due, which takes a client no effort to exploit: it sends and
/// cancels requests at full speed.
void Router::Impl::drop_stale_timers() {
  if (timers_.size() <= kMaxStaleTimers + kMaxTimersPerRequest * pending_.size()) return;
  timers_.erase_if([this](const Timer& timer) { return is_stale(timer); });
}

void Router::Impl::schedule_wake_up() {
  const auto due = timers_.next_due();
  if (!due || (wake_up_at_ > now_ && wake_up_at_ <= *due)) return;
  wake_up_at_ = *due;
  actions_.emplace_back(SetTimer{*due - now_, kWakeUpTimerToken});
}

void Router::Impl::run_periodic_update() {
  popularity_.update_gold_parts(now_);
  slow_start_.update_mean_load(now_);
  for (const Role role : {Role::cache, Role::parent}) {
    const auto group = endpoints_.running(role);
    const double reference = reference_latency(endpoints_, group);
    for (const std::size_t index : group) endpoints_[index].health.decay_latency_towards(reference);
  }
  timers_.add(now_ + kPeriodicUpdateInterval, {TimerKind::periodic_update, {}, 0});
}

// ---- Events ----

void Router::Impl::on_event(const EndpointList& list) {
  if (list.kind != ListKind::failed) {
    endpoints_.apply(list);
  } else if (settings_.subscription_required) {
    timers_.add(now_ + kSubscribeRetryDelay, {TimerKind::subscribe, {}, 0});
  }
}

void Router::Impl::on_event(const Request& request) {
  PendingRequest arrived = make_pending(request);
  if (class_index(request) >= settings_.classes.size()) {
    actions_.emplace_back(Reject{request.id, retry_after()});
    return;
  }
  estimate_work(arrived);
  if (should_serve_local_copy(arrived)) {
    actions_.emplace_back(ServeFromLocalCache{request.id});
    return;
  }
  drop_stale_timers();
  fill_policy_.record_request(arrived);
  retry_budget_.record_request();
  add_timer(request.expires - settings_.tick, TimerKind::deadline, arrived);
  if (!runs_at_origin(settings_, request)) {
    add_timer(now_ + arrived.latency_objective, TimerKind::latency_objective, arrived);
  }
  PendingRequest& pending = pending_[request.id] = std::move(arrived);
  if (!send_next_attempt(pending)) give_up(pending);
  remove_if_done(request.id);
}

void Router::Impl::on_event(const Outcome& outcome) {
  const auto found = pending_.find(outcome.request);
  if (found == pending_.end() || outcome.attempt < 0) return;
  PendingRequest& pending = found->second;
  const auto attempt_number = static_cast<std::size_t>(outcome.attempt);
  if (attempt_number >= pending.attempts.size() || !pending.attempts[attempt_number].is_open) return;
  feedback_.record_outcome(now_, pending, pending.attempts[attempt_number], outcome);
  retry_safety_.record_result(outcome.request, outcome.result);
  if (outcome.request_finished) finish(pending);
  if (!pending.is_finished && outcome.result != AttemptResult::served) {
    retry_or_give_up(pending, outcome.result);
  }
  remove_if_done(outcome.request);
}

void Router::Impl::on_event(const RequestCancelled& cancelled) {
  const auto found = pending_.find(cancelled.request);
  if (found == pending_.end()) return;
  finish(found->second);
  remove_if_done(cancelled.request);
}

void Router::Impl::on_event(const StreamStarted& started) {
  const auto found = pending_.find(started.request);
  if (found != pending_.end()) found->second.is_streaming = true;
}

// ---- Timers of a request ----

/// An attempt that is unanswered after most of its latency objective counts as slow, and a hedged request is
/// sent to the next endpoint and source in rendezvous order. The retry budget keeps hedged requests from
/// adding to an overload.
void Router::Impl::on_hedge_delay(const Timer& timer) {
  PendingRequest* pending = find_waiting(timer);
  if (pending == nullptr) return;
  feedback_.record_silent_attempts(now_, *pending);
  const auto open_count = std::count_if(pending->attempts.begin(), pending->attempts.end(),
                                        [](const AttemptRecord& attempt) { return attempt.is_open; });
  if (open_count <= 1) send_extra_attempt(*pending);
}

/// After its latency objective, a request is given up if an endpoint or a source of its attempts is at
/// capacity: a late response scores little, and requests that can still be in time need the concurrency and
/// the bandwidth that it occupies. With capacity left it continues, so that a slow fill still leaves its
/// copy. An attempt with a fill gets the same time once more: a cache may drop a fill whose client has left,
/// and its bytes would have to be transferred again.
void Router::Impl::on_latency_objective(const Timer& timer) {
  PendingRequest* pending = find_waiting(timer);
  if (pending == nullptr) return;
  const OverdueAttempts overdue = feedback_.record_overdue_attempts(now_, *pending);
  if (overdue.has_newly_overdue_fill) {
    add_timer(now_ + pending->latency_objective, TimerKind::latency_objective, *pending);
  } else if (overdue.is_at_capacity) {
    give_up(*pending);
    remove_if_done(timer.request_id);
  }
}

void Router::Impl::on_deadline(const Timer& timer) {
  PendingRequest* pending = find_waiting(timer);
  if (pending == nullptr) return;
  give_up(*pending);
  remove_if_done(timer.request_id);
}

// ---- Request handling ----

PendingRequest Router::Impl::make_pending(const Request& request) {
  PendingRequest pending;
  pending.request = request;
  pending.number = ++last_request_number_;
  pending.part_key = splitmix64(request.object ^ splitmix64(request.part));
  pending.rank = popularity_.count_and_rank(now_, pending.part_key, request.client_retry);
  return pending;
}

void Router::Impl::estimate_work(PendingRequest& pending) {
  const Request& request = pending.request;
  const RequestClass& request_class = class_of(settings_, request);
  pending.is_size_known = request.size_kb > 0 && settings_.transfer_kb_per_s > 0;
  pending.work = pending.is_size_known ? request.size_kb / settings_.transfer_kb_per_s
                                       : work_estimate_.mean(class_index(request));
  if (pending.is_size_known) work_estimate_.record(class_index(request), pending.work);
  const Time transfer_allowance =
      from_seconds(request_class.latency_objective_per_transfer_time * pending.work);
  pending.latency_objective =
      std::min(request_class.latency_objective + transfer_allowance, request_class.deadline);
}

/// A local copy saves a fill that would be late or expensive. The proxy's own link is narrow: copies of
/// frequently requested parts, which the caches have, are served locally only while the link is idle.
bool Router::Impl::should_serve_local_copy(const PendingRequest& pending) const {
  const auto& wait = pending.request.local_copy_wait;
  if (!wait) return false;
  const Time max_local_copy_time = from_seconds(kLocalCopyTimeRatio * to_seconds(pending.latency_objective));
  if (*wait + from_seconds(pending.work) > max_local_copy_time) return false;
  return wait->count() == 0 || popularity_.count(pending.part_key) <= kLocalCopyMaxCount;
}

/// Sends the next attempt. Returns false if no attempt is possible.
bool Router::Impl::send_next_attempt(PendingRequest& pending) {
  const auto route = planner_.plan(now_, pending, work_estimate_.slow_start_work(pending.request));
  if (!route) return false;
  send(pending, *route);
  return true;
}

bool Router::Impl::send_extra_attempt(PendingRequest& pending) {
  if (!retry_budget_.has_retry() || !send_next_attempt(pending)) return false;
  retry_budget_.take_retry();
  return true;
}

void Router::Impl::send(PendingRequest& pending, const Route& route) {
  Attempt attempt = planner_.build_attempt(now_, pending, route);
  pending.attempts.push_back({.endpoint = route.endpoint,
                              .source = route.source,
                              .sent_at = now_,
                              .is_cached_only = route.is_cached_only});
  endpoints_.add_reference(route.endpoint);
  endpoints_.add_reference(route.source);
  record_sent(route.endpoint, route.work);
  if (route.source != route.endpoint) record_sent(route.source, route.work);
  actions_.emplace_back(std::move(attempt));
  if (runs_at_origin(settings_, pending.request)) return;
  add_timer(now_ + hedge_delay(pending.latency_objective), TimerKind::hedge, pending);
}

void Router::Impl::record_sent(std::size_t endpoint, double work) {
  EndpointStats& stats = endpoints_[endpoint];
  ++stats.in_flight;
  slow_start_.record_sent(now_, stats, work);
}

void Router::Impl::retry_or_give_up(PendingRequest& pending, AttemptResult result) {
  // A connection fault is no sign of overload, so that its retry is not charged to the budget.
  if (is_connection_fault(result) && send_next_attempt(pending)) return;
  if (is_retry_useful(pending.attempts.back()) && send_extra_attempt(pending)) return;
  if (!pending.has_open_attempt()) give_up(pending);
}

/// If an attempt allowed only cached copies, at the cache itself or at a parent, its failure is most likely a
/// miss, and the next cache would miss as well.
bool Router::Impl::is_retry_useful(const AttemptRecord& last) const {
  if (last.is_cached_only) return false;
  return last.has_source() || endpoints_[last.endpoint].role != Role::cache;
}

/// Gives the final answer of a request that is not served.
void Router::Impl::give_up(PendingRequest& pending) {
  if (pending.is_finished) return;
  if (retry_safety_.may_reject(pending)) {
    actions_.emplace_back(Reject{pending.request.id, retry_after()});
  } else {
    actions_.emplace_back(Fail{pending.request.id});
  }
  finish(pending);
}

/// Marks the request as finished and cancels its open attempts.
void Router::Impl::finish(PendingRequest& pending) {
  if (std::exchange(pending.is_finished, true)) return;
  if (!settings_.cancellation || pending.is_streaming) return;
  for (std::size_t attempt_number = 0; attempt_number < pending.attempts.size(); ++attempt_number) {
    if (pending.attempts[attempt_number].is_open) {
      actions_.emplace_back(Cancel{pending.request.id, static_cast<int>(attempt_number)});
    }
  }
}

/// Removes a request that has its final answer and the outcomes of all its attempts.
void Router::Impl::remove_if_done(const std::string& request_id) {
  const auto found = pending_.find(request_id);
  if (found == pending_.end()) return;
  if (!found->second.is_finished || found->second.has_open_attempt()) return;
  const std::vector<AttemptRecord> attempts = std::move(found->second.attempts);
  pending_.erase(found);
  retry_safety_.forget(request_id);
  for (const AttemptRecord& attempt : attempts) {
    endpoints_.remove_reference(attempt.endpoint);
    endpoints_.remove_reference(attempt.source);
  }
}

void Router::Impl::add_timer(Time due, TimerKind kind, const PendingRequest& pending) {
  timers_.add(due, {kind, pending.request.id, pending.number});
}

/// Whether the timer belongs to a request that is removed. Another request may have the same id.
bool Router::Impl::is_stale(const Timer& timer) const {
  if (timer.request_id.empty()) return false;
  const auto found = pending_.find(timer.request_id);
  return found == pending_.end() || found->second.number != timer.request_number;
}

/// Returns the timer's request, or null if it is removed, finished or streaming.
PendingRequest* Router::Impl::find_waiting(const Timer& timer) {
  if (is_stale(timer)) return nullptr;
  PendingRequest& pending = pending_.at(timer.request_id);
  return pending.is_waiting() ? &pending : nullptr;
}

/// The delay keeps the client of a rejected request from retrying while the overload lasts. Drawback: after a
/// short overload the client waits longer than needed.
Time Router::Impl::retry_after() const {
  if (!settings_.retry_after) return Time{0};
  return from_seconds(kRetryAfterRatio * to_seconds(settings_.max_retry_after));
}

Router::Router(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

std::vector<Action> Router::handle(Time now, const Event& event) { return impl_->handle(now, event); }
Router::Stats Router::stats() const { return impl_->stats(); }
bool Router::has_request(const std::string& id) const { return impl_->has_request(id); }

}  // namespace edge_proxy
