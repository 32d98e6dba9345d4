// SPDX-License-Identifier: MIT
#include "golden/routing_trace.h"

#include <optional>
#include <variant>

namespace golden {
namespace {

using namespace edge_proxy;

// ---- Enumerations ----

const char* label_of(Idempotency idempotency) {
  switch (idempotency) {
    case Idempotency::idempotent:
      return "idempotent";
    case Idempotency::with_key:
      return "with_key";
    case Idempotency::none:
      return "none";
  }
  return "?";
}

const char* label_of(DeduplicationScope scope) {
  switch (scope) {
    case DeduplicationScope::all:
      return "all";
    case DeduplicationScope::zone:
      return "zone";
    case DeduplicationScope::cell:
      return "cell";
  }
  return "?";
}

const char* label_of(WeightMeaning meaning) {
  switch (meaning) {
    case WeightMeaning::none:
      return "none";
    case WeightMeaning::nominal:
      return "nominal";
    case WeightMeaning::rough:
      return "rough";
    case WeightMeaning::live:
      return "live";
  }
  return "?";
}

const char* label_of(ReportVia via) {
  switch (via) {
    case ReportVia::none:
      return "none";
    case ReportVia::probes:
      return "health_checks";
    case ReportVia::answers:
      return "responses";
  }
  return "?";
}

const char* label_of(SiblingFills fills) {
  switch (fills) {
    case SiblingFills::none:
      return "none";
    case SiblingFills::location:
      return "location";
    case SiblingFills::any:
      return "any";
  }
  return "?";
}

const char* label_of(CacheStatusDetail detail) {
  switch (detail) {
    case CacheStatusDetail::none:
      return "none";
    case CacheStatusDetail::hits:
      return "hits";
    case CacheStatusDetail::all:
      return "all";
  }
  return "?";
}

const char* label_of(EndpointState state) {
  switch (state) {
    case EndpointState::running:
      return "running";
    case EndpointState::draining:
      return "draining";
    case EndpointState::removed:
      return "gone";
  }
  return "?";
}

const char* label_of(ListKind kind) {
  switch (kind) {
    case ListKind::changes:
      return "changes";
    case ListKind::complete:
      return "complete";
    case ListKind::from_configuration:
      return "remembered";
    case ListKind::failed:
      return "failed";
  }
  return "?";
}

const char* label_of(AttemptResult result) {
  switch (result) {
    case AttemptResult::served:
      return "served";
    case AttemptResult::error:
      return "error";
    case AttemptResult::shed:
      return "shed";
    case AttemptResult::timed_out:
      return "timed_out";
    case AttemptResult::unreachable:
      return "unreachable";
    case AttemptResult::connection_lost:
      return "connection_lost";
    case AttemptResult::cancelled:
      return "cancelled";
    case AttemptResult::not_sent:
      return "not_sent";
    case AttemptResult::cache_miss:
      return "cache_miss";
    case AttemptResult::malformed_response:
      return "malformed_response";
  }
  return "?";
}

const char* label_of(CacheStatus status) {
  switch (status) {
    case CacheStatus::unknown:
      return "unknown";
    case CacheStatus::hit:
      return "hit";
    case CacheStatus::filled:
      return "filled";
    case CacheStatus::filled_by_origin:
      return "filled_by_origin";
    case CacheStatus::joined:
      return "joined";
    case CacheStatus::stale:
      return "stale";
    case CacheStatus::source_shed:
      return "source_shed";
    case CacheStatus::source_unreachable:
      return "source_unreachable";
    case CacheStatus::source_miss:
      return "source_miss";
    case CacheStatus::no_fill_capacity:
      return "no_fill_capacity";
    case CacheStatus::origin_failed:
      return "origin_failed";
  }
  return "?";
}

const char* label_of(Rank rank) {
  switch (rank) {
    case Rank::uncached:
      return "uncached";
    case Rank::low:
      return "low";
    case Rank::middle:
      return "middle";
    case Rank::high:
      return "high";
  }
  return "?";
}

// ---- Nested values ----

template <typename Value>
void add_optional(RecordLine& line, std::string_view label, const std::optional<Value>& value) {
  if (value) {
    line.add(label, *value);
  } else {
    line.add(label, "-");
  }
}

std::string numbers(const std::vector<int>& values) {
  std::string text;
  for (const int value : values) text += std::to_string(value) + ",";
  return text;
}

std::string numbers(const std::vector<double>& values) {
  std::string text;
  for (const double value : values) text += exact(value) + ",";
  return text;
}

std::string text_of(const RequestClass& request_class) {
  return RecordLine("class")
      .add("name", request_class.name)
      .add("latency_objective", request_class.latency_objective)
      .add("latency_objective_per_transfer_time", request_class.latency_objective_per_transfer_time)
      .add("deadline", request_class.deadline)
      .add("idempotency", label_of(request_class.idempotency))
      .add("deduplication_scope", label_of(request_class.deduplication_scope))
      .add("deduplication_window", request_class.deduplication_window)
      .add("priority_weight", request_class.priority_weight)
      .add("late_weight", request_class.late_weight)
      .add("streamed", request_class.streamed)
      .add("max_age", request_class.max_age)
      .add("grace", request_class.grace)
      .add("stale_weight", request_class.stale_weight)
      .add("segmented", request_class.segmented)
      .add("uncacheable", request_class.uncacheable)
      .text();
}

std::string text_of(const CostWeights& weights) {
  return RecordLine("cost_weights")
      .add("cross_zone", weights.cross_zone)
      .add("waste", weights.waste)
      .add("origin", weights.origin)
      .add("health_check", weights.health_check)
      .add("late_failure", weights.late_failure)
      .add("link_bytes", weights.link_bytes)
      .text();
}

std::string text_of(const Endpoint& endpoint) {
  return RecordLine("endpoint")
      .add("id", endpoint.id)
      .add("state", label_of(endpoint.state))
      .add("weight", endpoint.weight)
      .add("zone", endpoint.zone)
      .add("cell", endpoint.cell)
      .add("kind", endpoint.kind)
      .add("started", endpoint.started)
      .text();
}

std::string text_of(const std::optional<LoadReport>& report) {
  if (!report) return "-";
  RecordLine line("load");
  add_optional(line, "busy", report->busy);
  add_optional(line, "in_flight", report->in_flight);
  add_optional(line, "queued", report->queued);
  add_optional(line, "hit_ratio", report->hit_ratio);
  add_optional(line, "link_utilization", report->link_utilization);
  return line.text();
}

// ---- Events ----

std::string event_text(const EndpointList& list) {
  RecordLine line("endpoint_list");
  line.add("kind", label_of(list.kind));
  for (const Endpoint& endpoint : list.endpoints) line.add_inner("item", text_of(endpoint));
  return line.text();
}

std::string event_text(const Request& request) {
  RecordLine line("request");
  line.add("id", request.id)
      .add("class", request.request_class)
      .add("object", request.object)
      .add("part", request.part)
      .add("group", request.group)
      .add("size_kb", request.size_kb)
      .add("expires", request.expires)
      .add("write", request.write)
      .add("client_retry", request.client_retry);
  add_optional(line, "local_copy_delay", request.local_copy_wait);
  return line.text();
}

std::string event_text(const TimerFired& timer) {
  return RecordLine("timer_expired").add("token", timer.token).text();
}

std::string event_text(const Outcome& outcome) {
  RecordLine line("attempt_completed");
  line.add("request", outcome.request)
      .add("attempt", outcome.attempt)
      .add("endpoint", outcome.endpoint)
      .add("result", label_of(outcome.result))
      .add("took", outcome.duration)
      .add("request_finished", outcome.request_finished)
      .add("cache_status", label_of(outcome.cache_status));
  add_optional(line, "first_byte", outcome.first_byte);
  line.add_inner("report", text_of(outcome.report));
  return line.text();
}

std::string event_text(const HealthChecked& check) {
  return RecordLine("health_checked")
      .add("endpoint", check.endpoint)
      .add("answered", check.answered)
      .add("took", check.duration)
      .add_inner("report", text_of(check.report))
      .text();
}

std::string event_text(const Invalidation& invalidation) {
  RecordLine line("invalidation");
  add_optional(line, "object", invalidation.object);
  return line.add("group", invalidation.group).add("age", invalidation.age).text();
}

std::string event_text(const RequestCancelled& cancelled) {
  return RecordLine("request_cancelled").add("request", cancelled.request).text();
}

std::string event_text(const StreamStarted& stream) {
  return RecordLine("stream_started").add("request", stream.request).add("attempt", stream.attempt).text();
}

std::string event_text(const QuotaChanged& quota) {
  return RecordLine("quota_changed")
      .add("of_parents", quota.parent_share)
      .add("of_caches", quota.cache_share)
      .text();
}

std::string event_text(const SettingsChanged& change) {
  return RecordLine("settings_changed").add_inner("settings", golden::text_of(change.settings)).text();
}

// ---- Actions ----

std::string action_text(const Attempt& attempt) {
  return RecordLine("attempt")
      .add("request", attempt.request)
      .add("endpoint", attempt.endpoint)
      .add("source", attempt.source)
      .add("rank", label_of(attempt.rank))
      .add("max_copy_age", attempt.max_copy_age)
      .add("timeout", attempt.timeout)
      .add("send_within", attempt.send_within)
      .add("join_fill", attempt.join_fill)
      .add("only_if_cached", attempt.cached_only)
      .add("parent_does_not_store", attempt.parent_uncached)
      .add("refresh", attempt.stale_while_revalidate)
      .text();
}

std::string action_text(const Cancel& cancel) {
  return RecordLine("cancel").add("request", cancel.request).add("attempt", cancel.attempt).text();
}

std::string action_text(const Reject& reject) {
  return RecordLine("reject").add("request", reject.request).add("retry_after", reject.retry_after).text();
}

std::string action_text(const Fail& fail) { return RecordLine("fail").add("request", fail.request).text(); }

std::string action_text(const SetTimer& timer) {
  return RecordLine("set_timer").add("after", timer.after).add("token", timer.token).text();
}

std::string action_text(const CheckHealth& check) {
  return RecordLine("check_health").add("endpoint", check.endpoint).text();
}

std::string action_text(const FetchEndpointList&) { return "fetch_list"; }
std::string action_text(const SubscribeEndpointList&) { return "subscribe_list"; }
std::string action_text(const LogMessage&) { return {}; }

std::string action_text(const ServeFromLocalCache& serve) {
  return RecordLine("serve_from_local_cache").add("request", serve.request).text();
}

}  // namespace

std::string text_of(const Settings& settings) {
  RecordLine line("settings");
  line.add("self", settings.router_number)
      .add("zone", settings.zone)
      .add("routers", settings.router_count)
      .add("routers_by_zone", numbers(settings.routers_by_zone))
      .add("hub_by_zone", numbers(settings.hub_by_zone))
      .add("link_in_kb_per_s", numbers(settings.link_in_kb_per_s));
  for (const RequestClass& request_class : settings.classes) line.add_inner("item", text_of(request_class));
  line.add("parent_kind", settings.parent_kind)
      .add("origin_kind", settings.origin_kind)
      .add("direct", settings.direct_to_sources)
      .add("sibling_fills", label_of(settings.sibling_fills))
      .add("cache_status_detail", label_of(settings.cache_status_detail))
      .add("stream_kb_per_s", settings.transfer_kb_per_s)
      .add("tick", settings.tick)
      .add("answer_slack", settings.answer_slack)
      .add("drain_grace", settings.drain_grace)
      .add("initial_capacity", settings.initial_capacity)
      .add("warm_up_time", settings.warm_up_time)
      .add("overload_factor", settings.overload_factor)
      .add("overload_window", settings.overload_window)
      .add("parent_initial_capacity", settings.parent_initial_capacity)
      .add("parent_warm_up_time", settings.parent_warm_up_time)
      .add("parent_overload_factor", settings.parent_overload_factor)
      .add("origin_overload_factor", settings.origin_overload_factor)
      .add("origin_overload_window", settings.origin_overload_window)
      .add("invalidation_slack", settings.invalidation_slack)
      .add("invalidation_complete_after", settings.invalidation_settled_after)
      .add("max_attempts", settings.max_attempts)
      .add("cancelling", settings.cancellation)
      .add("health_checks", settings.health_checks)
      .add("hedging", settings.hedging)
      .add("retry_after", settings.retry_after)
      .add("max_retry_after", settings.max_retry_after)
      .add("must_subscribe", settings.subscription_required)
      .add("must_poll_within", settings.poll_within)
      .add("marks_retries", settings.marks_client_retries)
      .add("report_via", label_of(settings.report_via))
      .add("weights", label_of(settings.weights))
      .add_inner("costs", text_of(settings.cost_weights));
  return line.text();
}

std::string text_of(const Event& event) {
  return std::visit([](const auto& alternative) { return event_text(alternative); }, event);
}

std::string text_of(const Action& action) {
  return std::visit([](const auto& alternative) { return action_text(alternative); }, action);
}

void record_routing_step(GoldenRecord& record, int router, Time now, const Event& event,
                         const std::vector<Action>& actions) {
  record.add(std::to_string(router) + " " + std::to_string(now.count()) + " " + text_of(event));
  for (const Action& action : actions) {
    const std::string text = text_of(action);
    if (!text.empty()) record.add("  " + text);
  }
}

}  // namespace golden
