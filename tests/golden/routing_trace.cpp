// SPDX-License-Identifier: MIT
#include "golden/routing_trace.h"

#include <optional>
#include <variant>

namespace golden {
namespace {

using namespace edge_proxy;

// ---- Enumerations ----

const char* label_of(Idempotency effect) {
  switch (effect) {
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

const char* label_of(WeightMeaning weights) {
  switch (weights) {
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

const char* label_of(CacheStatusDetail notes) {
  switch (notes) {
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

// ---- Parts ----

template <typename Value>
void add_optional(TraceLine& line, std::string_view label, const std::optional<Value>& value) {
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

std::string text_of(const RequestClass& c) {
  return TraceLine("class")
      .add("name", c.name)
      .add("latency_objective", c.latency_objective)
      .add("latency_objective_per_transfer_time", c.latency_objective_per_transfer_time)
      .add("deadline", c.deadline)
      .add("idempotency", label_of(c.idempotency))
      .add("deduplication_scope", label_of(c.deduplication_scope))
      .add("deduplication_window", c.deduplication_window)
      .add("priority_weight", c.priority_weight)
      .add("late_weight", c.late_weight)
      .add("streamed", c.streamed)
      .add("max_age", c.max_age)
      .add("grace", c.grace)
      .add("stale_weight", c.stale_weight)
      .add("segmented", c.segmented)
      .add("uncacheable", c.uncacheable)
      .text();
}

std::string text_of(const CostWeights& fees) {
  return TraceLine("cost_weights")
      .add("cross_zone", fees.cross_zone)
      .add("waste", fees.waste)
      .add("origin", fees.origin)
      .add("health_check", fees.health_check)
      .add("late_failure", fees.late_failure)
      .add("link_bytes", fees.link_bytes)
      .text();
}

std::string text_of(const Endpoint& member) {
  return TraceLine("endpoint")
      .add("id", member.id)
      .add("state", label_of(member.state))
      .add("weight", member.weight)
      .add("zone", member.zone)
      .add("cell", member.cell)
      .add("kind", member.kind)
      .add("started", member.started)
      .text();
}

std::string text_of(const std::optional<LoadReport>& report) {
  if (!report) return "-";
  TraceLine line("load");
  add_optional(line, "busy", report->busy);
  add_optional(line, "in_flight", report->in_flight);
  add_optional(line, "queued", report->queued);
  add_optional(line, "hit_ratio", report->hit_ratio);
  add_optional(line, "link_utilization", report->link_utilization);
  return line.text();
}

// ---- Events ----

std::string event_text(const EndpointList& list) {
  TraceLine line("endpoint_list");
  line.add("kind", label_of(list.kind));
  for (const Endpoint& member : list.endpoints) line.add_inner("item", text_of(member));
  return line.text();
}

std::string event_text(const Request& request) {
  TraceLine line("request");
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
  return TraceLine("timer_expired").add("token", timer.token).text();
}

std::string event_text(const Outcome& outcome) {
  TraceLine line("attempt_completed");
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
  return TraceLine("health_checked")
      .add("endpoint", check.endpoint)
      .add("answered", check.answered)
      .add("took", check.duration)
      .add_inner("report", text_of(check.report))
      .text();
}

std::string event_text(const Invalidation& purge) {
  TraceLine line("invalidation");
  add_optional(line, "object", purge.object);
  return line.add("group", purge.group).add("age", purge.age).text();
}

std::string event_text(const RequestCancelled& cancelled) {
  return TraceLine("request_cancelled").add("request", cancelled.request).text();
}

std::string event_text(const StreamStarted& stream) {
  return TraceLine("stream_started").add("request", stream.request).add("attempt", stream.attempt).text();
}

std::string event_text(const QuotaChanged& quota) {
  return TraceLine("quota_changed")
      .add("of_parents", quota.parent_share)
      .add("of_caches", quota.cache_share)
      .text();
}

std::string event_text(const SettingsChanged& change) {
  return TraceLine("settings_changed").add_inner("settings", golden::text_of(change.settings)).text();
}

// ---- Actions ----

std::string action_text(const Attempt& attempt) {
  return TraceLine("attempt")
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
  return TraceLine("cancel").add("request", cancel.request).add("attempt", cancel.attempt).text();
}

std::string action_text(const Reject& reject) {
  return TraceLine("reject").add("request", reject.request).add("retry_after", reject.retry_after).text();
}

std::string action_text(const Fail& fail) { return TraceLine("fail").add("request", fail.request).text(); }

std::string action_text(const SetTimer& timer) {
  return TraceLine("set_timer").add("after", timer.after).add("token", timer.token).text();
}

std::string action_text(const CheckHealth& check) {
  return TraceLine("check_health").add("endpoint", check.endpoint).text();
}

std::string action_text(const FetchEndpointList&) { return "fetch_list"; }
std::string action_text(const SubscribeEndpointList&) { return "subscribe_list"; }
std::string action_text(const LogMessage&) { return {}; }

std::string action_text(const ServeFromLocalCache& serve) {
  return TraceLine("serve_from_local_cache").add("request", serve.request).text();
}

}  // namespace

std::string text_of(const Settings& s) {
  TraceLine line("settings");
  line.add("self", s.router_number)
      .add("zone", s.zone)
      .add("routers", s.router_count)
      .add("routers_by_zone", numbers(s.routers_by_zone))
      .add("hub_by_zone", numbers(s.hub_by_zone))
      .add("link_in_kb_per_s", numbers(s.link_in_kb_per_s));
  for (const RequestClass& c : s.classes) line.add_inner("item", text_of(c));
  line.add("parent_kind", s.parent_kind)
      .add("origin_kind", s.origin_kind)
      .add("direct", s.direct_to_sources)
      .add("sibling_fills", label_of(s.sibling_fills))
      .add("cache_status_detail", label_of(s.cache_status_detail))
      .add("stream_kb_per_s", s.transfer_kb_per_s)
      .add("tick", s.tick)
      .add("answer_slack", s.answer_slack)
      .add("drain_grace", s.drain_grace)
      .add("initial_capacity", s.initial_capacity)
      .add("warm_up_time", s.warm_up_time)
      .add("overload_factor", s.overload_factor)
      .add("overload_window", s.overload_window)
      .add("parent_initial_capacity", s.parent_initial_capacity)
      .add("parent_warm_up_time", s.parent_warm_up_time)
      .add("parent_overload_factor", s.parent_overload_factor)
      .add("origin_overload_factor", s.origin_overload_factor)
      .add("origin_overload_window", s.origin_overload_window)
      .add("invalidation_slack", s.invalidation_slack)
      .add("invalidation_complete_after", s.invalidation_settled_after)
      .add("max_attempts", s.max_attempts)
      .add("cancelling", s.cancellation)
      .add("health_checks", s.health_checks)
      .add("hedging", s.hedging)
      .add("retry_after", s.retry_after)
      .add("max_retry_after", s.max_retry_after)
      .add("must_subscribe", s.subscription_required)
      .add("must_poll_within", s.poll_within)
      .add("marks_retries", s.marks_client_retries)
      .add("report_via", label_of(s.report_via))
      .add("weights", label_of(s.weights))
      .add_inner("costs", text_of(s.cost_weights));
  return line.text();
}

std::string text_of(const Event& event) {
  return std::visit([](const auto& e) { return event_text(e); }, event);
}

std::string text_of(const Action& action) {
  return std::visit([](const auto& a) { return action_text(a); }, action);
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
