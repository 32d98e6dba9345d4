// SPDX-License-Identifier: MIT
#include "config/settings_reader.h"

#include <utility>

namespace edge_proxy {
namespace {

constexpr std::array<std::string_view, 3> kIdempotencyWords{"retryable", "dedup", "fragile"};
constexpr std::array<std::string_view, 3> kDeduplicationScopeWords{"all", "zone", "cell"};
constexpr std::array<std::string_view, 4> kWeightsWords{"none", "nominal", "rough", "live"};
constexpr std::array<std::string_view, 3> kReportViaWords{"none", "probe", "answers"};
constexpr std::array<std::string_view, 3> kSiblingFillsWords{"none", "location", "any"};
constexpr std::array<std::string_view, 3> kCacheStatusDetailWords{"none", "hit", "all"};

/// Delivery of endpoint updates to a router: pushed, or fetched on request.
enum class DiscoveryMode { pushed, on_request };
constexpr std::array<std::string_view, 2> kDiscoveryModeWords{"pushed", "on_request"};

std::vector<int> to_integers(const std::vector<double>& values) { return {values.begin(), values.end()}; }

void read_router(const Fields& fields, Settings& settings) {
  settings.router_number = fields.small_integer("me", 0);
  settings.zone = fields.small_integer("az", 0);
  settings.router_count = fields.small_integer("fleet_size", 1);
  settings.tick = fields.time("tick", Time{0});
  const auto discovery = fields.enumerator("discovery", kDiscoveryModeWords, DiscoveryMode::pushed);
  settings.subscription_required = discovery == DiscoveryMode::on_request;
  settings.weights = fields.enumerator("weights", kWeightsWords, WeightMeaning::none);
}

/// Reads the settings that apply only to content networks.
void read_specifics(const Fields& fields, Settings& settings) {
  settings.routers_by_zone = to_integers(fields.numbers("seats_by_zone"));
  settings.hub_by_zone = to_integers(fields.numbers("hub_by_zone"));
  settings.link_in_kb_per_s = fields.numbers("inlet_kb_per_s");
  settings.parent_kind = fields.small_integer("upper_kind", -1);
  settings.origin_kind = fields.small_integer("origin_kind", -1);
  settings.direct_to_sources = fields.boolean("straight", false);
  settings.sibling_fills = fields.enumerator("peers_fill", kSiblingFillsWords, SiblingFills::none);
  settings.cache_status_detail = fields.enumerator("says", kCacheStatusDetailWords, CacheStatusDetail::none);
  settings.transfer_kb_per_s = fields.number("stream_kb_per_s", 0);
  settings.parent_initial_capacity = fields.number("parent_floor", 1);
  settings.parent_warm_up_time = fields.time("parent_warms_in", Time{0});
  settings.parent_overload_factor = fields.number("upper_fall_multiple", 0);
  settings.origin_overload_factor = fields.number("origin_fall_multiple", 0);
  settings.origin_overload_window = fields.time("origin_fall", Time{0});
  settings.invalidation_slack = fields.time("purge_slack", Time{0});
  settings.invalidation_settled_after = fields.time("cleared_within", Time{0});
}

/// Lists in the section `specifics` that hold one value per request class. A list may be shorter than the
/// list of classes; the missing values get their defaults.
class PerClassLists {
 public:
  explicit PerClassLists(const Fields& specifics)
      : max_age_(specifics.numbers("max_age")),
        grace_(specifics.numbers("grace_for")),
        stale_weight_(specifics.numbers("stale_earns")),
        segmented_(specifics.numbers("segmented")),
        uncacheable_(specifics.numbers("never_kept")) {}

  void apply(std::size_t index, RequestClass& request_class) const {
    request_class.max_age = to_time(value_at(max_age_, index, 0));
    request_class.grace = to_time(value_at(grace_, index, 0));
    request_class.stale_weight = value_at(stale_weight_, index, 1);
    request_class.segmented = value_at(segmented_, index, 0) != 0;
    request_class.uncacheable = value_at(uncacheable_, index, 0) != 0;
  }

 private:
  static double value_at(const std::vector<double>& values, std::size_t index, double default_value) {
    return index < values.size() ? values[index] : default_value;
  }
  static Time to_time(double microseconds) { return Time{static_cast<std::int64_t>(microseconds)}; }

  std::vector<double> max_age_;
  std::vector<double> grace_;
  std::vector<double> stale_weight_;
  std::vector<double> segmented_;
  std::vector<double> uncacheable_;
};

RequestClass read_class(const Fields& fields) {
  RequestClass request_class;
  request_class.name = fields.text("name", "");
  request_class.latency_objective = fields.time("aim");
  request_class.latency_objective_per_transfer_time = fields.number("aim_stretch", 0);
  request_class.deadline = fields.time("deadline");
  request_class.idempotency = fields.enumerator("effect", kIdempotencyWords, Idempotency::idempotent);
  request_class.deduplication_scope =
      fields.enumerator("group", kDeduplicationScopeWords, DeduplicationScope::all);
  request_class.deduplication_window = fields.time("memory_span", Time{0});
  request_class.priority_weight = fields.number("worth", 1);
  request_class.late_weight = fields.number("late_worth", 0);
  request_class.streamed = fields.boolean("streamed", false);
  return request_class;
}

void read_rules(const Fields& fields, Settings& settings) {
  settings.answer_slack = fields.time("answer_slack", Time{0});
  settings.drain_grace = fields.time("drain_grace", Time{0});
  settings.initial_capacity = fields.number("cold_share", 1);
  settings.warm_up_time = fields.time("warm_after", Time{0});
  settings.overload_factor = fields.number("fall_multiple", 0);
  settings.overload_window = fields.time("fall", Time{0});
  settings.poll_within = fields.time("must_ask_in", Time{0});
}

void read_bounds(const Fields& fields, Settings& settings) {
  settings.max_attempts = fields.small_integer("attempts_cap", 1);
  settings.cancellation = fields.boolean("cancelling", false);
  settings.health_checks = fields.boolean("probes", false);
  settings.hedging = fields.boolean("second_copies", false);
  settings.retry_after = fields.boolean("retry_after", false);
  settings.max_retry_after = fields.time("max_retry_after", Time{0});
}

CostWeights read_cost_weights(const Fields& fees, const Fields& specifics) {
  CostWeights weights;
  weights.cross_zone = fees.number("cross_zone", 0);
  weights.waste = fees.number("waste", 0);
  weights.origin = fees.number("origin", 0);
  weights.health_check = fees.number("probe", 0);
  weights.late_failure = fees.number("late_fail", 0);
  weights.link_bytes = specifics.number("byte_fee", 0);
  return weights;
}

}  // namespace

Settings read_settings(const Fields& fields) {
  Settings settings;
  read_router(fields, settings);
  const Fields specifics = fields.object_or_empty("specifics");
  read_specifics(specifics, settings);
  const PerClassLists class_lists(specifics);
  for (const Fields& entry : fields.objects("request_classes")) {
    RequestClass request_class = read_class(entry);
    class_lists.apply(settings.classes.size(), request_class);
    settings.classes.push_back(std::move(request_class));
  }
  read_rules(fields.object_or_empty("rules"), settings);
  read_bounds(fields.object_or_empty("bounds"), settings);
  settings.marks_client_retries = fields.object_or_empty("clients").boolean("marks_retry", false);
  const Fields report = fields.object_or_empty("report");
  settings.report_via = report.enumerator("via", kReportViaWords, ReportVia::none);
  settings.cost_weights = read_cost_weights(fields.object_or_empty("fees"), specifics);
  return settings;
}

}  // namespace edge_proxy
