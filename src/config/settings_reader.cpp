// SPDX-License-Identifier: MIT
#include "config/settings_reader.h"

namespace edge_proxy {
namespace {

constexpr std::array<std::string_view, 3> kEffects{"retryable", "dedup", "fragile"};
constexpr std::array<std::string_view, 3> kGroups{"all", "zone", "cell"};
constexpr std::array<std::string_view, 4> kWeights{"none", "nominal", "rough", "live"};
constexpr std::array<std::string_view, 3> kReports{"none", "probe", "answers"};
constexpr std::array<std::string_view, 3> kSiblings{"none", "location", "any"};
constexpr std::array<std::string_view, 3> kNotes{"none", "hit", "all"};
constexpr std::array<std::string_view, 2> kDiscovery{"pushed", "on_request"};

template <typename Enum, std::size_t N>
Enum word_or(const Fields& fields, const char* name, const std::array<std::string_view, N>& words,
             Enum absent) {
  return fields.find(name) == nullptr ? absent : static_cast<Enum>(fields.word(name, words));
}

/// The value at `at`, or `absent` where the list is shorter.
double at_or(const std::vector<double>& values, std::size_t at, double absent) {
  return at < values.size() ? values[at] : absent;
}

std::vector<int> whole(const std::vector<double>& values) { return {values.begin(), values.end()}; }

}  // namespace

Settings read_settings(const Fields& env) {
  Settings s;
  s.router_number = env.small("me", 0);
  s.zone = env.small("az", 0);
  s.router_count = env.small("fleet_size", 1);
  s.tick = env.time("tick", Time{0});
  s.subscription_required = env.find("discovery") != nullptr && env.word("discovery", kDiscovery) == 1;
  s.weights = word_or(env, "weights", kWeights, Weights::none);
  const Fields own = env.object_or_empty("specifics");
  s.routers_by_zone = whole(own.numbers("seats_by_zone"));
  s.hub_by_zone = whole(own.numbers("hub_by_zone"));
  s.link_in_kb_per_s = own.numbers("inlet_kb_per_s");
  s.parent_kind = own.small("upper_kind", -1);
  s.origin_kind = own.small("origin_kind", -1);
  s.direct_to_sources = own.boolean("straight", false);
  s.sibling_fills = word_or(own, "peers_fill", kSiblings, SiblingFills::none);
  s.cache_status_detail = word_or(own, "says", kNotes, CacheStatusDetail::none);
  s.transfer_kb_per_s = own.number("stream_kb_per_s", 0);
  s.parent_initial_capacity = own.number("parent_floor", 1);
  s.parent_warm_up_time = own.time("parent_warms_in", Time{0});
  s.parent_overload_factor = own.number("upper_fall_multiple", 0);
  s.origin_overload_factor = own.number("origin_fall_multiple", 0);
  s.origin_overload_window = own.time("origin_fall", Time{0});
  s.invalidation_slack = own.time("purge_slack", Time{0});
  s.invalidation_settled_after = own.time("cleared_within", Time{0});
  const auto max_age = own.numbers("max_age"), grace = own.numbers("grace_for"),
             stale = own.numbers("stale_earns");
  const auto segmented = own.numbers("segmented"), never_kept = own.numbers("never_kept");
  for (const Fields& fields : env.objects("request_classes")) {
    const std::size_t at = s.classes.size();
    RequestClass c;
    c.name = fields.text("name", "");
    c.latency_objective = fields.time("aim");
    c.latency_objective_per_transfer_time = fields.number("aim_stretch", 0);
    c.deadline = fields.time("deadline");
    c.idempotency = word_or(fields, "effect", kEffects, Idempotency::idempotent);
    c.deduplication_scope = word_or(fields, "group", kGroups, DeduplicationScope::all);
    c.deduplication_window = fields.time("memory_span", Time{0});
    c.priority_weight = fields.number("worth", 1);
    c.late_weight = fields.number("late_worth", 0);
    c.streamed = fields.boolean("streamed", false);
    c.max_age = Time{static_cast<std::int64_t>(at_or(max_age, at, 0))};
    c.grace = Time{static_cast<std::int64_t>(at_or(grace, at, 0))};
    c.stale_weight = at_or(stale, at, 1);
    c.segmented = at_or(segmented, at, 0) != 0;
    c.uncacheable = at_or(never_kept, at, 0) != 0;
    s.classes.push_back(std::move(c));
  }
  const Fields rules = env.object_or_empty("rules");
  s.answer_slack = rules.time("answer_slack", Time{0});
  s.drain_grace = rules.time("drain_grace", Time{0});
  s.initial_capacity = rules.number("cold_share", 1);
  s.warm_up_time = rules.time("warm_after", Time{0});
  s.overload_factor = rules.number("fall_multiple", 0);
  s.overload_window = rules.time("fall", Time{0});
  s.poll_within = rules.time("must_ask_in", Time{0});
  const Fields bounds = env.object_or_empty("bounds");
  s.max_attempts = bounds.small("attempts_cap", 1);
  s.cancellation = bounds.boolean("cancelling", false);
  s.health_checks = bounds.boolean("probes", false);
  s.hedging = bounds.boolean("second_copies", false);
  s.retry_after = bounds.boolean("retry_after", false);
  s.max_retry_after = bounds.time("max_retry_after", Time{0});
  s.marks_client_retries = env.object_or_empty("clients").boolean("marks_retry", false);
  const Fields report = env.object_or_empty("report");
  s.report_via = word_or(report, "via", kReports, ReportVia::none);
  const Fields fees = env.object_or_empty("fees");
  s.cost_weights = {fees.number("cross_zone", 0), fees.number("waste", 0),     fees.number("origin", 0),
                    fees.number("probe", 0),      fees.number("late_fail", 0), own.number("byte_fee", 0)};
  return s;
}

}  // namespace edge_proxy
