// SPDX-License-Identifier: MIT
/// @file
/// Simulates many real routers in virtual time, which decide independently, while a cache and a parent are
/// warming up. Compares the work that all of them send there with the limit from the settings.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "support/routing_world.h"

namespace edge_proxy::test {

struct SlowStartScenario {
  int routers = 20;
  /// Requested work, divided by what all caches can send.
  double load = 1.1;
  /// Seconds over which the routers learn of the new endpoints, one after another.
  double update_spread_seconds = 0;
  /// Fraction of the routers that restart in the middle of the warm-up, all at the same time.
  double restarted_fraction = 0;
  /// Mean size in the class of large objects; the other class has a sixth of it.
  double large_object_kb = 3200;
  /// Whether requests state their size.
  bool sizes_known = true;
  /// Seconds until a router's connection to the new cache is up. Attempts that it sends before arrive
  /// together at that time.
  double connect_seconds = 0;
  WeightMeaning weights = WeightMeaning::nominal;
  std::uint64_t seed = 1;
  RoutingObserver observer{};
};

struct SlowStartResult {
  /// Excess over the limit in the worst overload window: (requests - N) / (sqrt(N) + 1), where N is the
  /// number of requests of mean work that the limit allows. Up to 2 is accepted as random variation.
  double cache_excess = -1e9, parent_excess = -1e9;
  /// Work sent during the warm-up, divided by the work that the settings allow.
  double cache_used = 0, parent_used = 0;
  /// Fraction of the requests that were served.
  double served_ratio = 0;
};

class SlowStartWorld {
 public:
  explicit SlowStartWorld(const SlowStartScenario& scenario)
      : scenario_(scenario), random_(scenario.seed * 7919 + 1) {
    settings_ = default_settings();
    settings_.router_count = scenario.routers;
    settings_.routers_by_zone = {0, 0, scenario.routers};
    settings_.weights = scenario.weights;
    settings_.cache_status_detail = CacheStatusDetail::none;
    settings_.hedging = settings_.direct_to_sources = false;
    settings_.transfer_kb_per_s = 9100;
    settings_.initial_capacity = 0.18;
    settings_.warm_up_time = 18s;
    settings_.overload_factor = 4;
    settings_.parent_initial_capacity = 0.07;
    settings_.parent_warm_up_time = 22s;
    RequestClass heavy = settings_.classes[0], light = heavy;
    heavy.deadline = 5s;
    heavy.latency_objective_per_transfer_time = light.latency_objective_per_transfer_time = 2;
    light.latency_objective = 250ms;
    settings_.classes = {heavy, light};
  }

  SlowStartResult run() {
    for (int i = 0; i < scenario_.routers; ++i) {
      routers_.push_back({});
      start_router(i);
      schedule(kBegin + seconds_of(next_interarrival_seconds()), i, Kind::arrival);
      schedule(kEndpointStart + seconds_of(scenario_.update_spread_seconds * i / scenario_.routers), i,
               Kind::list_update);
      if (i < scenario_.restarted_fraction * scenario_.routers)
        schedule(kEndpointStart + 3s, i, Kind::restart);
    }
    while (!events_.empty() && events_.top().at < kEndpointStart + 22s) {
      const ScheduledEvent event = events_.top();
      events_.pop();
      now_ = event.at;
      process(event);
    }
    SlowStartResult result;
    result.cache_excess = cache_.worst_excess;
    result.parent_excess = parent_.worst_excess;
    result.cache_used = cache_.total_work / cache_.total_allowed_work();
    result.parent_used = parent_.total_work / parent_.total_allowed_work();
    result.served_ratio = static_cast<double>(served_count_) / std::max(1, request_count_);
    return result;
  }

 private:
  enum class Kind { arrival, list_update, restart, timer, attempt_end, attempt_sent };
  struct ScheduledEvent {
    Time at{0};
    std::uint64_t order = 0;
    int router = 0;
    Kind kind = Kind::arrival;
    int generation = 0;
    Attempt attempt;
    int number = 0;
    bool operator>(const ScheduledEvent& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  struct RequestState {
    int attempts = 0, request_class = 0;
    Time duration{0};
  };
  struct RouterState {
    std::unique_ptr<Router> router;
    bool has_list_update = false;
    int generation = 0;    ///< incremented at a restart, which invalidates earlier events
    Time connected_at{0};  ///< when its connection to the new cache is up; 0: it has none
    std::map<std::string, RequestState> requests;  ///< by request id
  };
  /// An endpoint that is warming up, with the work that it received.
  struct WarmingEndpoint {
    double weight, overload_factor, initial_capacity, warm_up_seconds;
    double worst_excess = -1e9, total_work = 0, window_work = 0;
    std::deque<std::pair<Time, double>> window{};
    [[nodiscard]] double allowed_work(Time now) const {
      const double age = std::chrono::duration<double>(now - kEndpointStart).count() / warm_up_seconds;
      return overload_factor * (initial_capacity + (1 - initial_capacity) * std::min(1.0, age)) * weight * 2;
    }
    [[nodiscard]] double total_allowed_work() const {
      return overload_factor * (initial_capacity + (1 - initial_capacity) / 2) * weight * warm_up_seconds;
    }
    void record_sent(Time now, double work, double mean) {
      if (std::chrono::duration<double>(now - kEndpointStart).count() > warm_up_seconds) return;
      window.emplace_back(now, work);
      window_work += work;
      total_work += work;
      for (; window.front().first <= now - 2s; window.pop_front()) window_work -= window.front().second;
      const double allowed_requests = allowed_work(now) / mean;
      worst_excess =
          std::max(worst_excess, (window_work / mean - allowed_requests) / (std::sqrt(allowed_requests) + 1));
    }
  };

  static constexpr Time kBegin{1000s}, kEndpointStart{1006s};
  static constexpr double kCacheWeight = 6, kParentWeight = 24;

  static Time seconds_of(double seconds) { return Time{static_cast<std::int64_t>(seconds * 1e6)}; }
  [[nodiscard]] double work_of(int request_class) const {
    return scenario_.large_object_kb / 9100 / (request_class == 0 ? 1 : 6);
  }
  [[nodiscard]] double mean_work() const { return 0.55 * work_of(0) + 0.45 * work_of(1); }
  double next_interarrival_seconds() {
    const double rate = scenario_.load * 4 * kCacheWeight / mean_work() / scenario_.routers;
    return std::exponential_distribution<double>(rate)(random_);
  }

  void schedule(Time at, int router, Kind kind, Attempt attempt = {}, int number = 0) {
    events_.push({at, ++order_, router, kind, routers_[static_cast<std::size_t>(router)].generation,
                  std::move(attempt), number});
  }

  [[nodiscard]] Endpoint with_weight(Endpoint endpoint, double weight) const {
    endpoint.weight = scenario_.weights == WeightMeaning::none ? 1 : weight;
    if (scenario_.weights == WeightMeaning::rough)
      endpoint.weight *= endpoint.id == "cache-a" || endpoint.id == "parent-a" ? 1.2 : 0.9;
    return endpoint;
  }
  std::vector<Endpoint> endpoint_list(bool includes_new) const {
    std::vector<Endpoint> endpoints{with_weight(make_endpoint("cache-b", 0, 2), kCacheWeight),
                                    with_weight(make_endpoint("cache-c", 0, 2), kCacheWeight),
                                    with_weight(make_endpoint("cache-d", 0, 2), kCacheWeight),
                                    with_weight(make_endpoint("parent-b", 1, 1), kParentWeight),
                                    make_endpoint("origin", 2, 0)};
    if (includes_new) {
      endpoints.push_back(with_weight(make_endpoint("cache-a", 0, 2, kEndpointStart), kCacheWeight));
      endpoints.push_back(with_weight(make_endpoint("parent-a", 1, 0, kEndpointStart), kParentWeight));
    }
    return endpoints;
  }

  void start_router(int router_index) {
    RouterState& router = routers_[static_cast<std::size_t>(router_index)];
    ++router.generation;
    router.connected_at = Time{0};
    router.requests.clear();
    router.router = std::make_unique<Router>(settings_, random_());
    handle(router_index, EndpointList{ListKind::from_configuration, endpoint_list(router.has_list_update)});
  }

  void process(const ScheduledEvent& event) {
    RouterState& router = routers_[static_cast<std::size_t>(event.router)];
    switch (event.kind) {
      case Kind::arrival:
        schedule(now_ + seconds_of(next_interarrival_seconds()), event.router, Kind::arrival);
        send_request(event.router);
        break;
      case Kind::list_update:
        router.has_list_update = true;
        handle(event.router, EndpointList{ListKind::changes, endpoint_list(true)});
        break;
      case Kind::restart:
        start_router(event.router);
        break;
      case Kind::timer:
        if (event.generation == router.generation) handle(event.router, TimerFired{1});
        break;
      case Kind::attempt_end:
        if (event.generation == router.generation) end_attempt(event);
        break;
      case Kind::attempt_sent:
        if (event.generation == router.generation) record_attempt_sent(event.attempt, event.number);
        break;
    }
  }

  void send_request(int router_index) {
    Request request;
    request.id = "r" + std::to_string(++request_count_);
    request.request_class = std::uniform_real_distribution<double>(0, 1)(random_) < 0.55 ? 0 : 1;
    request.object = random_();
    constexpr double kSigma = 1.1;  // of the log-normal distribution of sizes, which vary widely
    request.size_kb = work_of(request.request_class) * 9100 *
                      std::exp(std::normal_distribution<double>(-kSigma * kSigma / 2, kSigma)(random_));
    const Time duration = 40ms + seconds_of(request.size_kb / 9100);
    if (!scenario_.sizes_known) request.size_kb = 0;
    request.expires = now_ + (request.request_class == 0 ? 5s : 2500ms);
    routers_[static_cast<std::size_t>(router_index)].requests[request.id] = {0, request.request_class,
                                                                             duration};
    handle(router_index, request);
  }

  void end_attempt(const ScheduledEvent& event) {
    auto& requests = routers_[static_cast<std::size_t>(event.router)].requests;
    const auto found = requests.find(event.attempt.request);
    Outcome outcome;
    outcome.request = event.attempt.request;
    outcome.endpoint = event.attempt.endpoint;
    outcome.attempt = event.number;
    outcome.result = found == requests.end() ? AttemptResult::cancelled : AttemptResult::served;
    outcome.request_finished = true;
    if (found != requests.end()) {
      outcome.duration = found->second.duration;
      ++served_count_;
      requests.erase(found);
    }
    handle(event.router, outcome);
  }

  void record_attempt_sent(const Attempt& attempt, int request_class) {
    if (attempt.endpoint == "cache-a") cache_.record_sent(now_, work_of(request_class), mean_work());
    if (attempt.source == "parent-a") parent_.record_sent(now_, work_of(request_class), mean_work());
  }

  void handle(int router_index, const Event& event) {
    RouterState& router = routers_[static_cast<std::size_t>(router_index)];
    const auto actions = router.router->handle(now_, event);
    if (scenario_.observer) scenario_.observer(router_index, now_, event, actions);
    for (const Action& action : actions) {
      if (const auto* attempt = std::get_if<Attempt>(&action)) {
        RequestState& request = router.requests[attempt->request];
        Time at = now_;
        if (attempt->endpoint == "cache-a") {
          if (router.connected_at == Time{0})
            router.connected_at = now_ + seconds_of(scenario_.connect_seconds);
          at = std::max(at, router.connected_at);
        }
        if (at > now_) {
          schedule(at, router_index, Kind::attempt_sent, *attempt, request.request_class);
        } else {
          record_attempt_sent(*attempt, request.request_class);
        }
        schedule(at + request.duration, router_index, Kind::attempt_end, *attempt, request.attempts++);
      } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
        schedule(now_ + timer->after, router_index, Kind::timer);
      } else if (const auto* reject = std::get_if<Reject>(&action)) {
        router.requests.erase(reject->request);
      } else if (const auto* fail = std::get_if<Fail>(&action)) {
        router.requests.erase(fail->request);
      }
    }
  }

  SlowStartScenario scenario_;
  Settings settings_;
  std::mt19937_64 random_;
  Time now_{kBegin};
  std::uint64_t order_ = 0;
  std::vector<RouterState> routers_;
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> events_;
  WarmingEndpoint cache_{kCacheWeight, 4, 0.18, 18}, parent_{kParentWeight, 2, 0.07, 22};
  int request_count_ = 0, served_count_ = 0;
};

}  // namespace edge_proxy::test
