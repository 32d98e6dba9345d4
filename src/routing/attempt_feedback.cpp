// SPDX-License-Identifier: MIT
#include "routing/attempt_feedback.h"

#include <algorithm>
#include <utility>

#include "base/time_units.h"
#include "routing/peer_group.h"
#include "routing/retry_budget.h"
#include "routing/settings_queries.h"

namespace edge_proxy::routing {
namespace {

// Part of the blame on an endpoint whose source is the more likely cause.
constexpr double kSharedBlameRatio = 0.5;
// An unanswered attempt counts as a response at the latency objective.
constexpr double kSilentAttemptLatency = 1;
constexpr double kMinLatencyObjectiveSeconds = 1e-3;

bool is_hit(CacheStatus status) { return status == CacheStatus::hit || status == CacheStatus::stale; }

bool is_source_failure(CacheStatus status) {
  return status == CacheStatus::source_shed || status == CacheStatus::source_unreachable ||
         status == CacheStatus::origin_failed;
}

double relative_latency_of(const Outcome& outcome, const PendingRequest& pending) {
  return to_seconds(outcome.duration) /
         std::max(to_seconds(pending.latency_objective), kMinLatencyObjectiveSeconds);
}

void blame_endpoint(EndpointStats& endpoint) {
  endpoint.limit.decrease();
  endpoint.health.record_latency(kWorstLatency);
}

}  // namespace

FillKind AttemptFeedback::fill_kind_of(const AttemptRecord& attempt) const {
  if (!attempt.has_source()) return FillKind::none;
  if (attempt.is_cached_only) return FillKind::parent_cached;
  return dependencies_.endpoints[attempt.source].role == Role::origin ? FillKind::origin : FillKind::parent;
}

void AttemptFeedback::decrement_in_flight(const AttemptRecord& attempt) {
  --dependencies_.endpoints[attempt.endpoint].in_flight;
  if (attempt.has_source()) --dependencies_.endpoints[attempt.source].in_flight;
}

void AttemptFeedback::record_outcome(Time now, const PendingRequest& pending, AttemptRecord& attempt,
                                     const Outcome& outcome) {
  attempt.is_open = false;
  attempt.is_malformed = outcome.result == AttemptResult::malformed_response;
  decrement_in_flight(attempt);
  EndpointStats& endpoint = dependencies_.endpoints[attempt.endpoint];
  const FillKind fill_kind = fill_kind_of(attempt);
  dependencies_.fills.record_attempt_ended(now, fill_kind);
  if (endpoint.role == Role::cache && outcome.report && outcome.report->link_utilization) {
    dependencies_.fills.record_link_utilization(*outcome.report->link_utilization);
  }
  endpoint.health.record_attempt(outcome.result == AttemptResult::error);
  record_result({.now = now,
                 .pending = pending,
                 .attempt = attempt,
                 .outcome = outcome,
                 .endpoint = endpoint,
                 .source = dependencies_.endpoints[attempt.source],
                 .fill_kind = fill_kind});
}

void AttemptFeedback::record_result(const EndedAttempt& ended) {
  switch (ended.outcome.result) {
    case AttemptResult::served:
      record_served(ended);
      break;
    case AttemptResult::cache_miss:
      if (ended.fill_kind == FillKind::none || ended.fill_kind == FillKind::parent_cached) {
        dependencies_.fills.record_cache_miss(ended.fill_kind);
      } else {
        record_failed(ended);
      }
      break;
    case AttemptResult::shed:
    case AttemptResult::error:
      record_failed(ended);
      break;
    case AttemptResult::unreachable:
    case AttemptResult::connection_lost:
      ended.endpoint.health.record_failure(ended.now);
      break;
    case AttemptResult::timed_out:
      if (!ended.attempt.is_latency_recorded) ended.endpoint.health.record_latency(kWorstLatency);
      break;
    case AttemptResult::cancelled:
    case AttemptResult::not_sent:
    case AttemptResult::malformed_response:  // affects all endpoints alike: no evidence against this one
      break;
  }
}

void AttemptFeedback::record_served(const EndedAttempt& ended) {
  const PendingRequest& pending = ended.pending;
  EndpointStats& endpoint = ended.endpoint;
  if (!pending.is_size_known) {
    dependencies_.work.record(class_index(pending.request), to_seconds(ended.outcome.duration));
  }
  const double relative_latency = relative_latency_of(ended.outcome, pending);
  const bool is_cache_hit = is_hit(ended.outcome.cache_status);
  endpoint.health.record_success();
  if (!ended.attempt.is_latency_recorded) endpoint.health.record_latency(relative_latency);
  if (is_cache_hit && relative_latency > 1) {
    endpoint.limit.decrease();
  } else {
    endpoint.limit.increase(endpoint.in_flight);
  }
  if (endpoint.role == Role::cache) dependencies_.slow_start.record_served(Role::cache, pending.work);

  if (ended.fill_kind == FillKind::none) return;
  if (is_cache_hit) {
    dependencies_.fills.record_hit(ended.fill_kind);
  } else {
    record_served_fill(ended, relative_latency);
  }
}

void AttemptFeedback::record_served_fill(const EndedAttempt& ended, double relative_latency) {
  const Outcome& outcome = ended.outcome;
  EndpointStats& source = ended.source;
  const bool is_in_time = relative_latency <= 1;
  if (source.role == Role::parent) dependencies_.slow_start.record_served(Role::parent, ended.pending.work);
  if (outcome.cache_status != CacheStatus::unknown) source.health.record_success();
  if (!ended.attempt.is_latency_recorded) source.health.record_latency(relative_latency);
  if (is_in_time) source.limit.increase(source.in_flight);
  dependencies_.fills.record_filled(ended.fill_kind, is_in_time, outcome.cache_status);
  if (ended.attempt.is_overdue) return;  // record_overdue_attempts() has counted it
  const Time beyond_transfer = std::max(Time{0}, outcome.duration - from_seconds(ended.pending.work));
  dependencies_.fills.record_fill_time(ended.pending, is_in_time,
                                       outcome.first_byte.value_or(beyond_transfer));
}

/// Records an error, a rejection, or a cache miss although the attempt allowed a fill.
void AttemptFeedback::record_failed(const EndedAttempt& ended) {
  const bool is_status_unknown = ended.outcome.cache_status == CacheStatus::unknown;
  if (is_status_unknown && ended.outcome.result == AttemptResult::error &&
      has_outlier_error_rate(dependencies_.endpoints, ended.endpoint)) {
    blame_endpoint(ended.endpoint);
    return;
  }
  if (ended.fill_kind == FillKind::none) {
    blame_endpoint(ended.endpoint);
    return;
  }
  if (!ended.attempt.is_overdue) dependencies_.fills.record_rejected(ended.fill_kind);
  blame_endpoint_or_source(ended);
}

void AttemptFeedback::blame_endpoint_or_source(const EndedAttempt& ended) {
  const CacheStatus status = ended.outcome.cache_status;
  if (is_source_failure(status)) {
    ended.source.limit.decrease();
    ended.source.health.record_failure(ended.now);
  } else if (status == CacheStatus::unknown) {  // either may have failed; the source does more often
    ended.source.limit.decrease();
    ended.source.health.record_latency(kWorstLatency);
    ended.endpoint.limit.decrease(kSharedBlameRatio);
  } else {
    blame_endpoint(ended.endpoint);
  }
}

void AttemptFeedback::record_silent_attempts(Time now, PendingRequest& pending) {
  for (AttemptRecord& attempt : pending.attempts) {
    if (!attempt.is_open || attempt.is_latency_recorded) continue;
    if (now - attempt.sent_at < hedge_delay(pending.latency_objective)) continue;
    attempt.is_latency_recorded = true;
    dependencies_.endpoints[attempt.endpoint].health.record_latency(kSilentAttemptLatency);
    if (attempt.has_source())
      dependencies_.endpoints[attempt.source].health.record_latency(kSilentAttemptLatency);
  }
}

OverdueAttempts AttemptFeedback::record_overdue_attempts(Time now, PendingRequest& pending) {
  OverdueAttempts overdue;
  for (AttemptRecord& attempt : pending.attempts) {
    if (!attempt.is_open) continue;
    EndpointStats& endpoint = dependencies_.endpoints[attempt.endpoint];
    EndpointStats& source = dependencies_.endpoints[attempt.source];  // the endpoint itself without a fill
    if (endpoint.limit.is_reached(endpoint.in_flight) || source.limit.is_reached(source.in_flight)) {
      overdue.is_at_capacity = true;
    }
    if (std::exchange(attempt.is_overdue, true)) continue;
    source.limit.decrease();
    endpoint.health.record_latency(kWorstLatency);
    dependencies_.fills.record_overdue(fill_kind_of(attempt));
    if (!attempt.has_source()) continue;
    overdue.has_newly_overdue_fill = true;
    endpoint.limit.decrease(kSharedBlameRatio);
    dependencies_.fills.record_fill_time(pending, false, now - attempt.sent_at);
  }
  return overdue;
}

}  // namespace edge_proxy::routing
