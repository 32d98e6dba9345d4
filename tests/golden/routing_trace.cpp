// SPDX-License-Identifier: MIT
#include "golden/routing_trace.h"

#include <optional>
#include <variant>

namespace golden {
namespace {

using namespace dahliahall;

// ---- Enumerations ----

const char* label_of(Effect effect) {
  switch (effect) {
    case Effect::safe:
      return "idempotent";
    case Effect::keyed:
      return "with_key";
    case Effect::unsafe:
      return "none";
  }
  return "?";
}

const char* label_of(DedupGroup scope) {
  switch (scope) {
    case DedupGroup::all:
      return "all";
    case DedupGroup::zone:
      return "zone";
    case DedupGroup::cell:
      return "cell";
  }
  return "?";
}

const char* label_of(Weights weights) {
  switch (weights) {
    case Weights::none:
      return "none";
    case Weights::nominal:
      return "nominal";
    case Weights::rough:
      return "rough";
    case Weights::live:
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

const char* label_of(Notes notes) {
  switch (notes) {
    case Notes::none:
      return "none";
    case Notes::hits:
      return "hits";
    case Notes::all:
      return "all";
  }
  return "?";
}

const char* label_of(MemberState state) {
  switch (state) {
    case MemberState::running:
      return "running";
    case MemberState::draining:
      return "draining";
    case MemberState::gone:
      return "gone";
  }
  return "?";
}

const char* label_of(ListKind kind) {
  switch (kind) {
    case ListKind::changes:
      return "changes";
    case ListKind::whole:
      return "complete";
    case ListKind::remembered:
      return "remembered";
    case ListKind::failed:
      return "failed";
  }
  return "?";
}

const char* label_of(Ending result) {
  switch (result) {
    case Ending::served:
      return "served";
    case Ending::error:
      return "error";
    case Ending::shed:
      return "shed";
    case Ending::timed_out:
      return "timed_out";
    case Ending::unreachable:
      return "unreachable";
    case Ending::broken:
      return "connection_lost";
    case Ending::cancelled:
      return "cancelled";
    case Ending::unsent:
      return "not_sent";
    case Ending::missing:
      return "cache_miss";
    case Ending::spoilt:
      return "malformed_response";
  }
  return "?";
}

const char* label_of(Note status) {
  switch (status) {
    case Note::unknown:
      return "unknown";
    case Note::hit:
      return "hit";
    case Note::filled:
      return "filled";
    case Note::filled_by_origin:
      return "filled_by_origin";
    case Note::joined:
      return "joined";
    case Note::stale:
      return "stale";
    case Note::source_shed:
      return "source_shed";
    case Note::source_unreached:
      return "source_unreachable";
    case Note::source_lacks:
      return "source_miss";
    case Note::no_fill_place:
      return "no_fill_capacity";
    case Note::origin_failed:
      return "origin_failed";
  }
  return "?";
}

const char* label_of(Rank rank) {
  switch (rank) {
    case Rank::unkept:
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
      .add("latency_objective", c.aim)
      .add("latency_objective_per_transfer_time", c.aim_stretch)
      .add("deadline", c.deadline)
      .add("idempotency", label_of(c.effect))
      .add("deduplication_scope", label_of(c.group))
      .add("deduplication_window", c.memory)
      .add("priority_weight", c.worth)
      .add("late_weight", c.late_worth)
      .add("streamed", c.streamed)
      .add("max_age", c.max_age)
      .add("grace", c.grace)
      .add("stale_weight", c.stale_earns)
      .add("segmented", c.segmented)
      .add("uncacheable", c.never_kept)
      .text();
}

std::string text_of(const Fees& fees) {
  return TraceLine("cost_weights")
      .add("cross_zone", fees.cross_zone)
      .add("waste", fees.waste)
      .add("origin", fees.origin)
      .add("health_check", fees.probe)
      .add("late_failure", fees.late_fail)
      .add("link_bytes", fees.link_bytes)
      .text();
}

std::string text_of(const Member& member) {
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
  add_optional(line, "hit_ratio", report->hit_share);
  add_optional(line, "link_utilization", report->link_fill);
  return line.text();
}

// ---- Events ----

std::string event_text(const MemberList& list) {
  TraceLine line("endpoint_list");
  line.add("kind", label_of(list.kind));
  for (const Member& member : list.members) line.add_inner("item", text_of(member));
  return line.text();
}

std::string event_text(const Request& request) {
  TraceLine line("request");
  line.add("id", request.id)
      .add("class", request.request_class)
      .add("object", request.object)
      .add("part", request.part)
      .add("group", request.group)
      .add("size_kb", request.kb)
      .add("expires", request.expires)
      .add("write", request.write)
      .add("client_retry", request.client_retry);
  add_optional(line, "local_copy_delay", request.own_copy);
  return line.text();
}

std::string event_text(const TimerFired& timer) {
  return TraceLine("timer_expired").add("token", timer.token).text();
}

std::string event_text(const Outcome& outcome) {
  TraceLine line("attempt_completed");
  line.add("request", outcome.request)
      .add("attempt", outcome.attempt)
      .add("endpoint", outcome.member)
      .add("result", label_of(outcome.ending))
      .add("took", outcome.took)
      .add("request_finished", outcome.settled)
      .add("cache_status", label_of(outcome.note));
  add_optional(line, "first_byte", outcome.first_byte);
  line.add_inner("report", text_of(outcome.report));
  return line.text();
}

std::string event_text(const Probed& check) {
  return TraceLine("health_checked")
      .add("endpoint", check.member)
      .add("answered", check.answered)
      .add("took", check.took)
      .add_inner("report", text_of(check.report))
      .text();
}

std::string event_text(const Purge& purge) {
  TraceLine line("invalidation");
  add_optional(line, "object", purge.object);
  return line.add("group", purge.group).add("age", purge.ago).text();
}

std::string event_text(const Withdrawn& cancelled) {
  return TraceLine("request_cancelled").add("request", cancelled.request).text();
}

std::string event_text(const StreamStarted& stream) {
  return TraceLine("stream_started").add("request", stream.request).add("attempt", stream.attempt).text();
}

std::string event_text(const Portion& quota) {
  return TraceLine("quota_changed")
      .add("of_parents", quota.of_parents)
      .add("of_caches", quota.of_caches)
      .text();
}

std::string event_text(const Resettle& change) {
  return TraceLine("settings_changed").add_inner("settings", golden::text_of(change.settings)).text();
}

// ---- Actions ----

std::string action_text(const Attempt& attempt) {
  return TraceLine("attempt")
      .add("request", attempt.request)
      .add("endpoint", attempt.member)
      .add("source", attempt.source)
      .add("rank", label_of(attempt.rank))
      .add("max_copy_age", attempt.oldest)
      .add("timeout", attempt.timeout)
      .add("send_within", attempt.send_within)
      .add("join_fill", attempt.join)
      .add("only_if_cached", attempt.held_only)
      .add("parent_does_not_store", attempt.parent_keeps_none)
      .add("refresh", attempt.renew)
      .text();
}

std::string action_text(const Cancel& cancel) {
  return TraceLine("cancel").add("request", cancel.request).add("attempt", cancel.attempt).text();
}

std::string action_text(const Refuse& reject) {
  return TraceLine("reject").add("request", reject.request).add("retry_after", reject.retry_after).text();
}

std::string action_text(const Fail& fail) { return TraceLine("fail").add("request", fail.request).text(); }

std::string action_text(const Wake& timer) {
  return TraceLine("set_timer").add("after", timer.after).add("token", timer.token).text();
}

std::string action_text(const ProbeMember& check) {
  return TraceLine("check_health").add("endpoint", check.member).text();
}

std::string action_text(const FetchList&) { return "fetch_list"; }
std::string action_text(const SubscribeList&) { return "subscribe_list"; }
std::string action_text(const Remark&) { return {}; }

std::string action_text(const ServeOwn& serve) {
  return TraceLine("serve_from_local_cache").add("request", serve.request).text();
}

}  // namespace

std::string text_of(const Settings& s) {
  TraceLine line("settings");
  line.add("self", s.me)
      .add("zone", s.zone)
      .add("routers", s.routers)
      .add("routers_by_zone", numbers(s.routers_by_zone))
      .add("hub_by_zone", numbers(s.hub_by_zone))
      .add("link_in_kb_per_s", numbers(s.link_in_kb_per_s));
  for (const RequestClass& c : s.classes) line.add_inner("item", text_of(c));
  line.add("parent_kind", s.parent_kind)
      .add("origin_kind", s.origin_kind)
      .add("direct", s.straight)
      .add("sibling_fills", label_of(s.sibling_fills))
      .add("cache_status_detail", label_of(s.notes))
      .add("stream_kb_per_s", s.stream_kb_per_s)
      .add("tick", s.tick)
      .add("answer_slack", s.answer_slack)
      .add("drain_grace", s.drain_grace)
      .add("initial_capacity", s.cold_share)
      .add("warm_up_time", s.warm_after)
      .add("overload_factor", s.fall_multiple)
      .add("overload_window", s.fall_span)
      .add("parent_initial_capacity", s.parent_cold_share)
      .add("parent_warm_up_time", s.parent_warm_after)
      .add("parent_overload_factor", s.parent_fall_multiple)
      .add("origin_overload_factor", s.origin_fall_multiple)
      .add("origin_overload_window", s.origin_fall_span)
      .add("invalidation_slack", s.purge_slack)
      .add("invalidation_complete_after", s.purge_cleared)
      .add("max_attempts", s.max_attempts)
      .add("cancelling", s.cancelling)
      .add("health_checks", s.probes)
      .add("hedging", s.second_copies)
      .add("retry_after", s.retry_after)
      .add("max_retry_after", s.max_retry_after)
      .add("must_subscribe", s.must_subscribe)
      .add("must_poll_within", s.must_ask_within)
      .add("marks_retries", s.marks_retry)
      .add("report_via", label_of(s.report_via))
      .add("weights", label_of(s.weights))
      .add_inner("costs", text_of(s.fees));
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
