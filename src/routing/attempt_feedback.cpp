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

constexpr double kSharedBlame = 0.5;   // of an endpoint whose source is the likelier cause
constexpr double kSilenceLatency = 1;  // a silent attempt counts as a response at the latency objective
constexpr double kMinObjectiveSeconds = 1e-3;

bool is_hit(CacheStatus status) { return status == CacheStatus::hit || status == CacheStatus::stale; }

bool is_failure_of_source(CacheStatus status) {
  return status == CacheStatus::source_shed || status == CacheStatus::source_unreachable ||
         status == CacheStatus::origin_failed;
}

double relative_latency_of(const Outcome& outcome, const PendingRequest& pending) {
  return to_seconds(outcome.duration) / std::max(to_seconds(pending.latency_objective), kMinObjectiveSeconds);
}

void blame_endpoint(EndpointStats& endpoint) {
  endpoint.limit.decrease();
  endpoint.health.sample_latency(kWorstLatency);
}

}  // namespace

FillKind AttemptFeedback::fill_kind_of(const AttemptRecord& attempt) const {
  if (!attempt.has_source()) return FillKind::none;
  if (attempt.is_cached_only) return FillKind::parent_cached;
  return parts_.endpoints[attempt.source].role == Role::origin ? FillKind::origin : FillKind::parent;
}

void AttemptFeedback::close(const AttemptRecord& attempt) {
  --parts_.endpoints[attempt.endpoint].in_flight;
  if (attempt.has_source()) --parts_.endpoints[attempt.source].in_flight;
}

void AttemptFeedback::record_outcome(Time now, const PendingRequest& pending, AttemptRecord& attempt,
                                     const Outcome& outcome) {
  attempt.is_open = false;
  attempt.is_malformed = outcome.result == AttemptResult::malformed_response;
  close(attempt);
  EndpointStats& endpoint = parts_.endpoints[attempt.endpoint];
  const FillKind fill_kind = fill_kind_of(attempt);
  parts_.fills.record_attempt_ended(now, fill_kind);
  if (endpoint.role == Role::cache && outcome.report && outcome.report->link_utilization) {
    parts_.fills.record_link_utilization(*outcome.report->link_utilization);
  }
  endpoint.health.record_attempt(outcome.result == AttemptResult::error);
  record_result({.now = now,
                 .pending = pending,
                 .attempt = attempt,
                 .outcome = outcome,
                 .endpoint = endpoint,
                 .source = parts_.endpoints[attempt.source],
                 .fill_kind = fill_kind});
}

void AttemptFeedback::record_result(const Ended& ended) {
  switch (ended.outcome.result) {
    case AttemptResult::served:
      record_served(ended);
      break;
    case AttemptResult::cache_miss:
      if (ended.fill_kind == FillKind::none || ended.fill_kind == FillKind::parent_cached) {
        parts_.fills.record_cache_miss(ended.fill_kind);
      } else {
        record_refused(ended);
      }
      break;
    case AttemptResult::shed:
    case AttemptResult::error:
      record_refused(ended);
      break;
    case AttemptResult::unreachable:
    case AttemptResult::connection_lost:
      ended.endpoint.health.record_failure(ended.now);
      break;
    case AttemptResult::timed_out:
      if (!ended.attempt.is_latency_sampled) ended.endpoint.health.sample_latency(kWorstLatency);
      break;
    case AttemptResult::cancelled:
    case AttemptResult::not_sent:
    case AttemptResult::malformed_response:  // comes from all endpoints alike: no evidence against this one
      break;
  }
}

void AttemptFeedback::record_served(const Ended& ended) {
  const PendingRequest& pending = ended.pending;
  EndpointStats& endpoint = ended.endpoint;
  if (!pending.is_size_known) {
    parts_.work.record(class_index(pending.request), to_seconds(ended.outcome.duration));
  }
  const double relative_latency = relative_latency_of(ended.outcome, pending);
  const bool hit = is_hit(ended.outcome.cache_status);
  endpoint.health.record_success();
  if (!ended.attempt.is_latency_sampled) endpoint.health.sample_latency(relative_latency);
  if (hit && relative_latency > 1) {
    endpoint.limit.decrease();
  } else {
    endpoint.limit.increase(endpoint.in_flight);
  }
  if (endpoint.role == Role::cache) parts_.slow_start.record_served(Role::cache, pending.work);

  if (ended.fill_kind == FillKind::none) return;
  if (hit) {
    parts_.fills.record_hit(ended.fill_kind);
  } else {
    record_served_fill(ended, relative_latency);
  }
}

void AttemptFeedback::record_served_fill(const Ended& ended, double relative_latency) {
  const Outcome& outcome = ended.outcome;
  EndpointStats& source = ended.source;
  const bool is_in_time = relative_latency <= 1;
  if (source.role == Role::parent) parts_.slow_start.record_served(Role::parent, ended.pending.work);
  if (outcome.cache_status != CacheStatus::unknown) source.health.record_success();
  if (!ended.attempt.is_latency_sampled) source.health.sample_latency(relative_latency);
  if (is_in_time) source.limit.increase(source.in_flight);
  parts_.fills.record_filled(ended.fill_kind, is_in_time, outcome.cache_status);
  if (ended.attempt.is_overdue) return;  // counted before
  const Time beyond_transfer = std::max(Time{0}, outcome.duration - from_seconds(ended.pending.work));
  parts_.fills.record_fill_time(ended.pending, is_in_time, outcome.first_byte.value_or(beyond_transfer));
}

/// An error, a rejection, or a miss for which a fill was asked.
void AttemptFeedback::record_refused(const Ended& ended) {
  const bool is_unknown = ended.outcome.cache_status == CacheStatus::unknown;
  if (is_unknown && ended.outcome.result == AttemptResult::error &&
      has_own_errors(parts_.endpoints, ended.endpoint)) {
    blame_endpoint(ended.endpoint);
    return;
  }
  if (ended.fill_kind == FillKind::none) {
    blame_endpoint(ended.endpoint);
    return;
  }
  if (!ended.attempt.is_overdue) parts_.fills.record_rejected(ended.fill_kind);
  blame_endpoint_or_source(ended);
}

void AttemptFeedback::blame_endpoint_or_source(const Ended& ended) {
  const CacheStatus status = ended.outcome.cache_status;
  if (is_failure_of_source(status)) {
    ended.source.limit.decrease();
    ended.source.health.record_failure(ended.now);
  } else if (status == CacheStatus::unknown) {  // either may have refused, the source more often
    ended.source.limit.decrease();
    ended.source.health.sample_latency(kWorstLatency);
    ended.endpoint.limit.decrease(kSharedBlame);
  } else {
    blame_endpoint(ended.endpoint);
  }
}

void AttemptFeedback::record_silence(Time now, PendingRequest& pending) {
  for (AttemptRecord& attempt : pending.attempts) {
    if (!attempt.is_open || attempt.is_latency_sampled) continue;
    if (now - attempt.sent < hedge_delay(pending.latency_objective)) continue;
    attempt.is_latency_sampled = true;
    parts_.endpoints[attempt.endpoint].health.sample_latency(kSilenceLatency);
    if (attempt.has_source()) parts_.endpoints[attempt.source].health.sample_latency(kSilenceLatency);
  }
}

OverdueAttempts AttemptFeedback::record_overdue(Time now, PendingRequest& pending) {
  OverdueAttempts overdue;
  for (AttemptRecord& attempt : pending.attempts) {
    if (!attempt.is_open) continue;
    EndpointStats& endpoint = parts_.endpoints[attempt.endpoint];
    EndpointStats& source = parts_.endpoints[attempt.source];  // the endpoint itself where there is no fill
    if (endpoint.limit.is_reached(endpoint.in_flight) || source.limit.is_reached(source.in_flight)) {
      overdue.is_at_capacity = true;
    }
    if (std::exchange(attempt.is_overdue, true)) continue;
    source.limit.decrease();
    endpoint.health.sample_latency(kWorstLatency);
    parts_.fills.record_overdue(fill_kind_of(attempt));
    if (!attempt.has_source()) continue;
    overdue.has_new_fill = true;
    endpoint.limit.decrease(kSharedBlame);
    parts_.fills.record_fill_time(pending, false, now - attempt.sent);
  }
  return overdue;
}

}  // namespace edge_proxy::routing
