// SPDX-License-Identifier: MIT
// Golden records of the routing module: the events that routers are given and the actions that come of them,
// over the worlds of the other tests and over random settings and events.
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

RoutingObserver recorder(GoldenRecord& record) {
  return [&record](int router, Time now, const Event& event, const std::vector<Action>& actions) {
    golden::record_routing_step(record, router, now, event, actions);
  };
}

// ---- The worlds of the other tests ----

void record_crowded(const std::string& name, CrowdedScenario plan, std::uint64_t seed) {
  GoldenRecord record("routing_crowded_" + name);
  plan.large_object_kb = 6400;  // half as many requests as the plan's usual ones
  plan.seed = seed;
  plan.observer = recorder(record);
  CrowdedWorld(plan).run();
  record.check();
}

TEST(RoutingGolden, CrowdedWorld) { record_crowded("usual", {}, 1); }

TEST(RoutingGolden, CrowdedWorldAboveItsCapacityWithFewParents) {
  CrowdedScenario plan;
  plan.load = 1.3;
  plan.parent_capacity = 0.25;
  record_crowded("overload", plan, 2);
}

TEST(RoutingGolden, CrowdedWorldThatLosesAllCopies) {
  CrowdedScenario plan;
  plan.copies_lost = true;
  record_crowded("empty_caches", plan, 3);
}

void record_slow_start(const std::string& name, SlowStartScenario plan, std::uint64_t seed) {
  GoldenRecord record("routing_slow_start_" + name);
  plan.routers = 5;
  plan.load = 0.5;
  plan.seed = seed;
  plan.observer = recorder(record);
  SlowStartWorld(plan).run();
  record.check();
}

TEST(RoutingGolden, SlowStart) { record_slow_start("usual", {}, 1); }

TEST(RoutingGolden, SlowStartWithRestartsAndNoSizes) {
  SlowStartScenario plan;
  plan.update_spread_seconds = 2;
  plan.restarted_fraction = 0.6;
  plan.sizes_known = false;
  plan.weights = WeightMeaning::none;
  record_slow_start("restarts", plan, 2);
}

TEST(RoutingGolden, SlowStartWithRoughWeightsAndLateConnections) {
  SlowStartScenario plan;
  plan.connect_seconds = 0.4;
  plan.weights = WeightMeaning::rough;
  record_slow_start("late_connections", plan, 3);
}

// ---- Random settings and events ----

/// Random numbers by arithmetic of its own: the same with each standard library.
class Draws {
 public:
  explicit Draws(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t below(std::uint64_t bound) { return engine_() % bound; }
  bool chance(std::uint64_t percent) { return below(100) < percent; }
  double part() { return static_cast<double>(engine_() >> 11U) / 9007199254740992.0; }
  Time up_to(Time most) {
    return Time{static_cast<std::int64_t>(below(static_cast<std::uint64_t>(most.count())))};
  }
  template <typename Value, std::size_t Size>
  Value one_of(const std::array<Value, Size>& values) {
    return values[below(Size)];
  }

 private:
  std::mt19937_64 engine_;
};

/// One router that is given all kinds of events. Its endpoints fail by turns, so that each comes to be
/// ejected and to recover.
class RandomRouting {
 public:
  RandomRouting(GoldenRecord& record, std::uint64_t seed)
      : record_(record),
        draws_(seed),
        settings_(draw_settings()),
        router_(settings_, draws_.below(1U << 30U)) {
    record_.add(golden::text_of(settings_));
  }

  void run(int steps) {
    feed(list(ListKind::from_configuration));
    for (int step = 0; step < steps; ++step) {
      if (step % 400 == 0) change_phase();
      pass(draws_.up_to(draws_.chance(2) ? Time{4s} : quiet_ ? Time{60ms} : Time{12ms}));
      random_event();
      if (step % 50 == 0) record_beliefs();
    }
    pass(10s);
    record_beliefs();
  }

 private:
  struct OpenAttempt {
    std::string request;
    int number = 0;
    std::string endpoint;
    std::string source;
    Time sent{0};
    AttemptResult ending = AttemptResult::served;
    CacheStatus note = CacheStatus::hit;
  };

  // ---- Settings ----

  RequestClass request_class(const std::string& name, Idempotency effect, DeduplicationScope group) {
    RequestClass c;
    c.name = name;
    c.latency_objective = Time{200ms} + draws_.up_to(400ms);
    c.latency_objective_per_transfer_time = draws_.chance(50) ? 2 : 0;
    c.deadline = Time{2000ms} + draws_.up_to(1500ms);
    c.idempotency = effect;
    c.deduplication_scope = group;
    if (effect == Idempotency::with_key) c.deduplication_window = Time{400ms} + draws_.up_to(1500ms);
    c.priority_weight = 0.5 + 3 * draws_.part();
    c.late_weight = draws_.part();
    return c;
  }

  Settings draw_settings() {
    Settings s = default_settings();
    RequestClass aged = request_class("aged", Idempotency::idempotent, DeduplicationScope::all);
    aged.max_age = 4s;
    aged.grace = 9s;
    aged.stale_weight = 0.5;
    RequestClass streamed = request_class("streamed", Idempotency::idempotent, DeduplicationScope::all);
    streamed.streamed = streamed.segmented = true;
    RequestClass stored = request_class("stored", Idempotency::none, DeduplicationScope::all);
    RequestClass written = request_class("written", Idempotency::none, DeduplicationScope::all);
    written.uncacheable = true;
    s.classes = {aged,
                 streamed,
                 request_class("plain", Idempotency::idempotent, DeduplicationScope::all),
                 request_class("keyed_all", Idempotency::with_key, DeduplicationScope::all),
                 request_class("keyed_zone", Idempotency::with_key, DeduplicationScope::zone),
                 request_class("keyed_cell", Idempotency::with_key, DeduplicationScope::cell),
                 stored,
                 written};
    s.router_count = 1 + static_cast<int>(draws_.below(4));
    s.routers_by_zone = {0, 0, 1 + static_cast<int>(draws_.below(2))};
    s.link_in_kb_per_s = {0, 0, 20000};
    s.transfer_kb_per_s = draws_.chance(80) ? 1000 : 0;
    s.cost_weights = {0.1, 0.2, 0.3, 0.01, 0.5, 0.05};
    s.weights = draws_.one_of(
        std::array{WeightMeaning::none, WeightMeaning::nominal, WeightMeaning::rough, WeightMeaning::live});
    s.report_via = draws_.one_of(std::array{ReportVia::none, ReportVia::probes, ReportVia::answers});
    s.sibling_fills =
        draws_.one_of(std::array{SiblingFills::none, SiblingFills::location, SiblingFills::any});
    s.subscription_required = draws_.chance(60);
    redraw_permissions(s);
    return s;
  }

  void redraw_permissions(Settings& s) {
    s.direct_to_sources = draws_.chance(40);
    s.cancellation = draws_.chance(70);
    s.hedging = draws_.chance(70);
    s.retry_after = draws_.chance(50);
    s.max_retry_after = 500ms;
    s.max_attempts = draws_.chance(70) ? 8 : 2;
    s.cache_status_detail =
        draws_.one_of(std::array{CacheStatusDetail::none, CacheStatusDetail::hits, CacheStatusDetail::all});
  }

  // ---- Endpoints ----

  Endpoint endpoint(const std::string& id, int kind, int zone, int cell) {
    Endpoint m = make_endpoint(id, kind, zone);
    m.cell = cell;
    m.weight = 0.5 + draws_.part();
    return m;
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

  void change_list() {
    if (draws_.chance(15)) {
      feed(EndpointList{ListKind::failed, {}});
      return;
    }
    if (draws_.chance(25)) {
      EndpointList complete = list(ListKind::complete);
      if (draws_.chance(60))
        complete.endpoints.erase(complete.endpoints.begin() + static_cast<int>(draws_.below(3)));
      feed(complete);
      return;
    }
    Endpoint& changed = endpoints_[draws_.below(endpoints_.size())];
    switch (draws_.below(7)) {
      case 0:
        changed.state = EndpointState::draining;
        break;
      case 1:
        changed.state = EndpointState::removed;
        break;
      case 2:
        changed.started = now_ - draws_.up_to(3s);
        changed.state = EndpointState::running;
        break;
      default:
        changed.state = EndpointState::running;
        if (changed.kind == 0 && draws_.chance(50)) {  // another one takes its place
          const Endpoint replaced = changed;
          changed.id = "cache-new-" + std::to_string(++replacements_);
          changed.started = now_;
          Endpoint gone = replaced;
          gone.state = EndpointState::removed;
          feed(EndpointList{ListKind::changes, {gone, changed}});
          return;
        }
    }
    feed(EndpointList{ListKind::changes, {changed}});
  }

  void change_phase() {
    failing_ = endpoints_[draws_.below(5)].id;  // a cache
    failing_source_ = "parent-" + std::to_string(draws_.below(3));
    failure_ = draws_.one_of(std::array{AttemptResult::connection_lost, AttemptResult::unreachable,
                                        AttemptResult::connection_lost, AttemptResult::unreachable,
                                        AttemptResult::error, AttemptResult::shed, AttemptResult::timed_out,
                                        AttemptResult::cache_miss, AttemptResult::malformed_response});
    slow_ = draws_.chance(50);
    quiet_ = draws_.chance(40);
  }

  // ---- Events ----

  void random_event() {
    const std::uint64_t draw = draws_.below(1000);
    if (draw < 520) {
      ask();
    } else if (draw < 880) {
      end_one();
    } else if (draw < 910) {
      feed(draw < 895
               ? Invalidation{draws_.below(40), 0, draws_.up_to(2s)}
               : Invalidation{std::nullopt, static_cast<std::int64_t>(draws_.below(6)), draws_.up_to(2s)});
    } else if (draw < 930) {
      feed(RequestCancelled{"r" + std::to_string(made_ - static_cast<int>(draws_.below(4)))});
    } else if (draw < 950) {
      if (!open_.empty()) {
        const OpenAttempt& a = open_[draws_.below(open_.size())];
        feed(StreamStarted{a.request, a.number});
      }
    } else if (draw < 970) {
      change_list();
    } else if (draw < 978) {
      feed(QuotaChanged{2 * draws_.part(), 2 * draws_.part()});
    } else if (draw < 984) {
      redraw_permissions(settings_);
      feed(SettingsChanged{settings_});
    } else if (draw < 990) {
      feed(HealthChecked{"cache-1", draws_.chance(80), draws_.up_to(30ms), report()});
    } else if (draw < 995) {
      feed(Outcome{"none", 0, "cache-1", AttemptResult::served, 5ms, true, CacheStatus::hit, {}, {}});
    } else {
      feed(TimerFired{1});
    }
  }

  void ask() {
    Request r;
    r.id = "r" + std::to_string(++made_);
    r.request_class = draws_.chance(1) ? 99 : static_cast<int>(draws_.below(settings_.classes.size()));
    const std::uint64_t wide = draws_.below(400), narrow = draws_.below(40);
    r.object = std::min(wide, narrow);
    r.part = draws_.below(2);
    r.group = static_cast<std::int64_t>(r.object % 6);
    const double factor = draws_.part(), other_factor = draws_.part();
    r.size_kb = draws_.chance(20) ? 0 : 5 + 300 * factor * other_factor;
    const Time deadline = r.request_class == 99
                              ? Time{1s}
                              : settings_.classes[static_cast<std::size_t>(r.request_class)].deadline;
    r.expires = now_ + (draws_.chance(10) ? draws_.up_to(50ms) : deadline);
    r.write = draws_.chance(4);
    r.client_retry = draws_.chance(8);
    if (draws_.chance(6)) r.local_copy_wait = draws_.chance(50) ? Time{0} : draws_.up_to(300ms);
    feed(r);
  }

  std::optional<LoadReport> report() {
    if (draws_.chance(40)) return std::nullopt;
    LoadReport load;
    if (draws_.chance(70)) load.busy = draws_.part();
    if (draws_.chance(50)) load.in_flight = 20 * draws_.part();
    if (draws_.chance(50)) load.queued = 5 * draws_.part();
    if (draws_.chance(50)) load.hit_ratio = draws_.part();
    if (draws_.chance(80)) load.link_utilization = 4 * draws_.part();
    return load;
  }

  void end_one() {
    if (open_.empty()) return;
    const std::size_t at = draws_.chance(60) ? 0 : draws_.below(open_.size());
    const OpenAttempt a = open_[at];
    if (slow_ && a.ending == AttemptResult::served && draws_.chance(70)) return;
    open_.erase(open_.begin() + static_cast<std::ptrdiff_t>(at));
    end(a, a.ending, a.note);
    if (draws_.chance(2)) end(a, a.ending, a.note);  // told twice
  }

  void end(const OpenAttempt& a, AttemptResult ending, CacheStatus note) {
    Outcome o;
    o.request = a.request;
    o.attempt = a.number;
    o.endpoint = a.endpoint;
    o.result = ending;
    o.duration = now_ - a.sent;
    o.request_finished = ending == AttemptResult::served && draws_.chance(95);
    o.cache_status = note;
    if (draws_.chance(50)) o.first_byte = draws_.up_to(200ms);
    o.report = report();
    feed(o);
  }

  void choose_ending(OpenAttempt& a) {
    constexpr std::array kNotes{CacheStatus::unknown,      CacheStatus::hit,
                                CacheStatus::filled,       CacheStatus::filled_by_origin,
                                CacheStatus::joined,       CacheStatus::stale,
                                CacheStatus::source_shed,  CacheStatus::source_unreachable,
                                CacheStatus::source_miss,  CacheStatus::no_fill_capacity,
                                CacheStatus::origin_failed};
    constexpr std::array kEndings{AttemptResult::error,           AttemptResult::shed,
                                  AttemptResult::timed_out,       AttemptResult::unreachable,
                                  AttemptResult::connection_lost, AttemptResult::not_sent,
                                  AttemptResult::cache_miss,      AttemptResult::malformed_response,
                                  AttemptResult::cancelled};
    if ((a.endpoint == failing_ || a.source == failing_source_) && draws_.chance(95)) {
      a.ending = failure_;
      a.note = draws_.chance(40) ? CacheStatus::unknown : draws_.one_of(kNotes);
    } else if (draws_.chance(8)) {
      a.ending = draws_.one_of(kEndings);
      a.note = draws_.one_of(kNotes);
    } else {
      a.note = draws_.chance(50) ? CacheStatus::hit : draws_.one_of(kNotes);
    }
  }

  void pass(Time span) {
    const Time end = now_ + span;
    while (wake_at_ > Time{0} && wake_at_ <= end) {
      now_ = std::max(now_, std::exchange(wake_at_, Time{0}));
      feed(TimerFired{1});
    }
    now_ = end;
  }

  void feed(const Event& event) {
    const std::vector<Action> actions = router_.handle(now_, event);
    golden::record_routing_step(record_, 0, now_, event, actions);
    for (const Action& action : actions) {
      if (const auto* wake = std::get_if<SetTimer>(&action)) wake_at_ = now_ + wake->after;
      if (const auto* a = std::get_if<Attempt>(&action)) {
        OpenAttempt attempt{a->request, attempts_[a->request]++, a->endpoint, a->source, now_};
        choose_ending(attempt);
        open_.push_back(attempt);
      }
      if (const auto* cancel = std::get_if<Cancel>(&action)) {
        for (OpenAttempt& attempt : open_) {
          if (attempt.request != cancel->request || attempt.number != cancel->attempt) continue;
          attempt.ending = AttemptResult::cancelled;
          attempt.note = CacheStatus::unknown;
        }
      }
    }
  }

  void record_beliefs() {
    const Router::Stats beliefs = router_.stats();
    record_.add(golden::TraceLine("beliefs")
                    .add("in_flight", beliefs.in_flight)
                    .add("ejected", beliefs.ejected)
                    .add("endpoints", beliefs.endpoints)
                    .text());
  }

  GoldenRecord& record_;
  Draws draws_;
  std::vector<Endpoint> endpoints_;
  Settings settings_;
  Router router_;
  Time now_{1000s};
  Time wake_at_{0};
  int made_ = 0, replacements_ = 0;
  std::vector<OpenAttempt> open_;
  std::map<std::string, int> attempts_;  // by request
  std::string failing_, failing_source_;
  AttemptResult failure_ = AttemptResult::connection_lost;
  bool slow_ = false, quiet_ = false;
};

TEST(RoutingGolden, RandomSettingsAndEvents) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    GoldenRecord record("routing_random_" + std::to_string(seed));
    RandomRouting(record, seed).run(2000);
    record.check();
  }
}

}  // namespace
}  // namespace edge_proxy::test
