// SPDX-License-Identifier: MIT
// Golden records of the routing module: the events that routers handle and the actions that they return, in
// the simulated worlds of the other tests and with random settings and events.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "golden/golden_record.h"
#include "golden/routing_trace.h"
#include "support/crowded_world.h"
#include "support/slow_start_world.h"

namespace edge_proxy::test {
namespace {

using golden::GoldenRecord;

RoutingObserver step_recorder(GoldenRecord& record) {
  return [&record](int router, Time now, const Event& event, const std::vector<Action>& actions) {
    golden::record_routing_step(record, router, now, event, actions);
  };
}

// ---- Simulated worlds of the other tests ----

void record_crowded(const std::string& name, CrowdedScenario scenario, std::uint64_t seed) {
  GoldenRecord record("routing_crowded_" + name);
  scenario.large_object_kb = 6400;  // half as many requests as with the default
  scenario.seed = seed;
  scenario.observer = step_recorder(record);
  CrowdedWorld(scenario).run();
  record.check();
}

TEST(RoutingGolden, CrowdedWorldMatchesRecord) { record_crowded("usual", {}, 1); }

TEST(RoutingGolden, CrowdedWorldAboveCapacityWithFewParentsMatchesRecord) {
  CrowdedScenario scenario;
  scenario.load = 1.3;
  scenario.parent_capacity = 0.25;
  record_crowded("overload", scenario, 2);
}

TEST(RoutingGolden, CrowdedWorldThatLosesAllCopiesMatchesRecord) {
  CrowdedScenario scenario;
  scenario.copies_lost = true;
  record_crowded("empty_caches", scenario, 3);
}

void record_slow_start(const std::string& name, SlowStartScenario scenario, std::uint64_t seed) {
  GoldenRecord record("routing_slow_start_" + name);
  scenario.routers = 5;
  scenario.load = 0.5;
  scenario.seed = seed;
  scenario.observer = step_recorder(record);
  SlowStartWorld(scenario).run();
  record.check();
}

TEST(RoutingGolden, SlowStartMatchesRecord) { record_slow_start("usual", {}, 1); }

TEST(RoutingGolden, SlowStartWithRestartsAndUnknownSizesMatchesRecord) {
  SlowStartScenario scenario;
  scenario.update_spread_seconds = 2;
  scenario.restarted_fraction = 0.6;
  scenario.sizes_known = false;
  scenario.weights = WeightMeaning::none;
  record_slow_start("restarts", scenario, 2);
}

TEST(RoutingGolden, SlowStartWithRoughWeightsAndLateConnectionsMatchesRecord) {
  SlowStartScenario scenario;
  scenario.connect_seconds = 0.4;
  scenario.weights = WeightMeaning::rough;
  record_slow_start("late_connections", scenario, 3);
}

// ---- Random settings and events ----

/// Draws random numbers without the standard distributions, whose results differ between standard libraries.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t below(std::uint64_t bound) { return engine_() % bound; }
  bool chance(std::uint64_t percent) { return below(100) < percent; }
  double fraction() { return static_cast<double>(engine_() >> 11U) / 9007199254740992.0; }
  Time up_to(Time bound) {
    return Time{static_cast<std::int64_t>(below(static_cast<std::uint64_t>(bound.count())))};
  }
  template <typename Value, std::size_t Size>
  Value one_of(const std::array<Value, Size>& values) {
    return values[below(Size)];
  }

 private:
  std::mt19937_64 engine_;
};

/// Feeds all kinds of events to one router. The endpoints fail in turn, so that they are ejected and recover.
class RandomRouting {
 public:
  RandomRouting(GoldenRecord& record, std::uint64_t seed)
      : record_(record),
        random_(seed),
        settings_(random_settings()),
        router_(settings_, random_.below(1U << 30U)) {
    record_.add(golden::text_of(settings_));
  }

  void run(int steps) {
    feed(list(ListKind::from_configuration));
    for (int step = 0; step < steps; ++step) {
      if (step % 400 == 0) change_phase();
      advance_time(random_.up_to(random_.chance(2) ? Time{4s} : long_pauses_ ? Time{60ms} : Time{12ms}));
      random_event();
      if (step % 50 == 0) record_stats();
    }
    advance_time(10s);
    record_stats();
  }

 private:
  struct OpenAttempt {
    std::string request;
    int number = 0;
    std::string endpoint;
    std::string source;
    Time sent{0};
    AttemptResult result = AttemptResult::served;
    CacheStatus cache_status = CacheStatus::hit;
  };

  // ---- Settings ----

  RequestClass request_class(const std::string& name, Idempotency idempotency, DeduplicationScope scope) {
    RequestClass result;
    result.name = name;
    result.latency_objective = Time{200ms} + random_.up_to(400ms);
    result.latency_objective_per_transfer_time = random_.chance(50) ? 2 : 0;
    result.deadline = Time{2000ms} + random_.up_to(1500ms);
    result.idempotency = idempotency;
    result.deduplication_scope = scope;
    if (idempotency == Idempotency::with_key)
      result.deduplication_window = Time{400ms} + random_.up_to(1500ms);
    result.priority_weight = 0.5 + 3 * random_.fraction();
    result.late_weight = random_.fraction();
    return result;
  }

  Settings random_settings() {
    Settings settings = default_settings();
    RequestClass aged = request_class("aged", Idempotency::idempotent, DeduplicationScope::all);
    aged.max_age = 4s;
    aged.grace = 9s;
    aged.stale_weight = 0.5;
    RequestClass streamed = request_class("streamed", Idempotency::idempotent, DeduplicationScope::all);
    streamed.streamed = streamed.segmented = true;
    RequestClass stored = request_class("stored", Idempotency::none, DeduplicationScope::all);
    RequestClass written = request_class("written", Idempotency::none, DeduplicationScope::all);
    written.uncacheable = true;
    settings.classes = {aged,
                        streamed,
                        request_class("plain", Idempotency::idempotent, DeduplicationScope::all),
                        request_class("keyed_all", Idempotency::with_key, DeduplicationScope::all),
                        request_class("keyed_zone", Idempotency::with_key, DeduplicationScope::zone),
                        request_class("keyed_cell", Idempotency::with_key, DeduplicationScope::cell),
                        stored,
                        written};
    settings.router_count = 1 + static_cast<int>(random_.below(4));
    settings.routers_by_zone = {0, 0, 1 + static_cast<int>(random_.below(2))};
    settings.link_in_kb_per_s = {0, 0, 20000};
    settings.transfer_kb_per_s = random_.chance(80) ? 1000 : 0;
    settings.cost_weights = {0.1, 0.2, 0.3, 0.01, 0.5, 0.05};
    settings.weights = random_.one_of(
        std::array{WeightMeaning::none, WeightMeaning::nominal, WeightMeaning::rough, WeightMeaning::live});
    settings.report_via = random_.one_of(std::array{ReportVia::none, ReportVia::probes, ReportVia::answers});
    settings.sibling_fills =
        random_.one_of(std::array{SiblingFills::none, SiblingFills::location, SiblingFills::any});
    settings.subscription_required = random_.chance(60);
    randomize_permissions(settings);
    return settings;
  }

  void randomize_permissions(Settings& settings) {
    settings.direct_to_sources = random_.chance(40);
    settings.cancellation = random_.chance(70);
    settings.hedging = random_.chance(70);
    settings.retry_after = random_.chance(50);
    settings.max_retry_after = 500ms;
    settings.max_attempts = random_.chance(70) ? 8 : 2;
    settings.cache_status_detail =
        random_.one_of(std::array{CacheStatusDetail::none, CacheStatusDetail::hits, CacheStatusDetail::all});
  }

  // ---- Endpoints ----

  Endpoint endpoint(const std::string& id, int kind, int zone, int cell) {
    Endpoint created = make_endpoint(id, kind, zone);
    created.cell = cell;
    created.weight = 0.5 + random_.fraction();
    return created;
  }

  EndpointList list(ListKind kind) {
    if (endpoints_.empty()) {
      for (int i = 0; i < 5; ++i) endpoints_.push_back(endpoint("cache-" + std::to_string(i), 0, 2, i % 2));
      endpoints_.push_back(endpoint("cache-elsewhere", 0, 1, 0));
      for (int i = 0; i < 3; ++i) endpoints_.push_back(endpoint("parent-" + std::to_string(i), 1, i % 2, i));
      endpoints_.push_back(endpoint("origin", 2, 0, 0));
    }
    return {kind, endpoints_};
  }

  void change_endpoint_list() {
    if (random_.chance(15)) {
      feed(EndpointList{ListKind::failed, {}});
      return;
    }
    if (random_.chance(25)) {
      EndpointList complete = list(ListKind::complete);
      if (random_.chance(60))
        complete.endpoints.erase(complete.endpoints.begin() + static_cast<int>(random_.below(3)));
      feed(complete);
      return;
    }
    Endpoint& changed = endpoints_[random_.below(endpoints_.size())];
    switch (random_.below(7)) {
      case 0:
        changed.state = EndpointState::draining;
        break;
      case 1:
        changed.state = EndpointState::removed;
        break;
      case 2:
        changed.started = now_ - random_.up_to(3s);
        changed.state = EndpointState::running;
        break;
      default:
        changed.state = EndpointState::running;
        if (changed.kind == 0 && random_.chance(50)) {  // a new endpoint replaces this one
          const Endpoint previous = changed;
          changed.id = "cache-new-" + std::to_string(++replacements_);
          changed.started = now_;
          Endpoint removed = previous;
          removed.state = EndpointState::removed;
          feed(EndpointList{ListKind::changes, {removed, changed}});
          return;
        }
    }
    feed(EndpointList{ListKind::changes, {changed}});
  }

  void change_phase() {
    failing_ = endpoints_[random_.below(5)].id;  // one of the five local caches
    failing_source_ = "parent-" + std::to_string(random_.below(3));
    failure_ = random_.one_of(std::array{AttemptResult::connection_lost, AttemptResult::unreachable,
                                         AttemptResult::connection_lost, AttemptResult::unreachable,
                                         AttemptResult::error, AttemptResult::shed, AttemptResult::timed_out,
                                         AttemptResult::cache_miss, AttemptResult::malformed_response});
    slow_ = random_.chance(50);
    long_pauses_ = random_.chance(40);
  }

  // ---- Events ----

  void random_event() {
    const std::uint64_t draw = random_.below(1000);
    if (draw < 520) {
      send_request();
    } else if (draw < 880) {
      end_random_attempt();
    } else if (draw < 910) {
      feed(draw < 895
               ? Invalidation{random_.below(40), 0, random_.up_to(2s)}
               : Invalidation{std::nullopt, static_cast<std::int64_t>(random_.below(6)), random_.up_to(2s)});
    } else if (draw < 930) {
      feed(RequestCancelled{"r" + std::to_string(last_request_ - static_cast<int>(random_.below(4)))});
    } else if (draw < 950) {
      if (!open_attempts_.empty()) {
        const OpenAttempt& attempt = open_attempts_[random_.below(open_attempts_.size())];
        feed(StreamStarted{attempt.request, attempt.number});
      }
    } else if (draw < 970) {
      change_endpoint_list();
    } else if (draw < 978) {
      feed(QuotaChanged{2 * random_.fraction(), 2 * random_.fraction()});
    } else if (draw < 984) {
      randomize_permissions(settings_);
      feed(SettingsChanged{settings_});
    } else if (draw < 990) {
      feed(HealthChecked{"cache-1", random_.chance(80), random_.up_to(30ms), report()});
    } else if (draw < 995) {
      feed(Outcome{"none", 0, "cache-1", AttemptResult::served, 5ms, true, CacheStatus::hit, {}, {}});
    } else {
      feed(TimerFired{1});
    }
  }

  void send_request() {
    Request request;
    request.id = "r" + std::to_string(++last_request_);
    request.request_class =
        random_.chance(1) ? 99 : static_cast<int>(random_.below(settings_.classes.size()));
    const std::uint64_t wide = random_.below(400), narrow = random_.below(40);
    request.object = std::min(wide, narrow);
    request.part = random_.below(2);
    request.group = static_cast<std::int64_t>(request.object % 6);
    const double factor = random_.fraction(), other_factor = random_.fraction();
    request.size_kb = random_.chance(20) ? 0 : 5 + 300 * factor * other_factor;
    const Time deadline = request.request_class == 99
                              ? Time{1s}
                              : settings_.classes[static_cast<std::size_t>(request.request_class)].deadline;
    request.expires = now_ + (random_.chance(10) ? random_.up_to(50ms) : deadline);
    request.write = random_.chance(4);
    request.client_retry = random_.chance(8);
    if (random_.chance(6)) request.local_copy_wait = random_.chance(50) ? Time{0} : random_.up_to(300ms);
    feed(request);
  }

  std::optional<LoadReport> report() {
    if (random_.chance(40)) return std::nullopt;
    LoadReport load;
    if (random_.chance(70)) load.busy = random_.fraction();
    if (random_.chance(50)) load.in_flight = 20 * random_.fraction();
    if (random_.chance(50)) load.queued = 5 * random_.fraction();
    if (random_.chance(50)) load.hit_ratio = random_.fraction();
    if (random_.chance(80)) load.link_utilization = 4 * random_.fraction();
    return load;
  }

  void end_random_attempt() {
    if (open_attempts_.empty()) return;
    const std::size_t index = random_.chance(60) ? 0 : random_.below(open_attempts_.size());
    const OpenAttempt attempt = open_attempts_[index];
    if (slow_ && attempt.result == AttemptResult::served && random_.chance(70)) return;
    open_attempts_.erase(open_attempts_.begin() + static_cast<std::ptrdiff_t>(index));
    end_attempt(attempt, attempt.result, attempt.cache_status);
    if (random_.chance(2)) end_attempt(attempt, attempt.result, attempt.cache_status);  // a duplicate outcome
  }

  void end_attempt(const OpenAttempt& attempt, AttemptResult result, CacheStatus cache_status) {
    Outcome outcome;
    outcome.request = attempt.request;
    outcome.attempt = attempt.number;
    outcome.endpoint = attempt.endpoint;
    outcome.result = result;
    outcome.duration = now_ - attempt.sent;
    outcome.request_finished = result == AttemptResult::served && random_.chance(95);
    outcome.cache_status = cache_status;
    if (random_.chance(50)) outcome.first_byte = random_.up_to(200ms);
    outcome.report = report();
    feed(outcome);
  }

  void choose_result(OpenAttempt& attempt) {
    constexpr std::array kCacheStatuses{CacheStatus::unknown,      CacheStatus::hit,
                                        CacheStatus::filled,       CacheStatus::filled_by_origin,
                                        CacheStatus::joined,       CacheStatus::stale,
                                        CacheStatus::source_shed,  CacheStatus::source_unreachable,
                                        CacheStatus::source_miss,  CacheStatus::no_fill_capacity,
                                        CacheStatus::origin_failed};
    constexpr std::array kFailures{AttemptResult::error,           AttemptResult::shed,
                                   AttemptResult::timed_out,       AttemptResult::unreachable,
                                   AttemptResult::connection_lost, AttemptResult::not_sent,
                                   AttemptResult::cache_miss,      AttemptResult::malformed_response,
                                   AttemptResult::cancelled};
    if ((attempt.endpoint == failing_ || attempt.source == failing_source_) && random_.chance(95)) {
      attempt.result = failure_;
      attempt.cache_status = random_.chance(40) ? CacheStatus::unknown : random_.one_of(kCacheStatuses);
    } else if (random_.chance(8)) {
      attempt.result = random_.one_of(kFailures);
      attempt.cache_status = random_.one_of(kCacheStatuses);
    } else {
      attempt.cache_status = random_.chance(50) ? CacheStatus::hit : random_.one_of(kCacheStatuses);
    }
  }

  void advance_time(Time span) {
    const Time end = now_ + span;
    while (timer_due_ > Time{0} && timer_due_ <= end) {
      now_ = std::max(now_, std::exchange(timer_due_, Time{0}));
      feed(TimerFired{1});
    }
    now_ = end;
  }

  void feed(const Event& event) {
    const std::vector<Action> actions = router_.handle(now_, event);
    golden::record_routing_step(record_, 0, now_, event, actions);
    for (const Action& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action)) timer_due_ = now_ + timer->after;
      if (const auto* started = std::get_if<Attempt>(&action)) {
        OpenAttempt attempt{started->request, attempt_counts_[started->request]++, started->endpoint,
                            started->source, now_};
        choose_result(attempt);
        open_attempts_.push_back(attempt);
      }
      if (const auto* cancel = std::get_if<Cancel>(&action)) {
        for (OpenAttempt& attempt : open_attempts_) {
          if (attempt.request != cancel->request || attempt.number != cancel->attempt) continue;
          attempt.result = AttemptResult::cancelled;
          attempt.cache_status = CacheStatus::unknown;
        }
      }
    }
  }

  void record_stats() {
    const Router::Stats stats = router_.stats();
    record_.add(golden::RecordLine("beliefs")
                    .add("in_flight", stats.in_flight)
                    .add("ejected", stats.ejected)
                    .add("endpoints", stats.endpoints)
                    .text());
  }

  GoldenRecord& record_;
  RandomSource random_;
  std::vector<Endpoint> endpoints_;
  Settings settings_;
  Router router_;
  Time now_{1000s};
  Time timer_due_{0};
  int last_request_ = 0, replacements_ = 0;
  std::vector<OpenAttempt> open_attempts_;
  std::map<std::string, int> attempt_counts_;  // by request id
  std::string failing_, failing_source_;
  AttemptResult failure_ = AttemptResult::connection_lost;
  bool slow_ = false, long_pauses_ = false;
};

TEST(RoutingGolden, RandomSettingsAndEventsMatchRecords) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    GoldenRecord record("routing_random_" + std::to_string(seed));
    RandomRouting(record, seed).run(2000);
    record.check();
  }
}

}  // namespace
}  // namespace edge_proxy::test
