// SPDX-License-Identifier: MIT
/// @file
/// Many routers that decide alone, in virtual time over the real module, while a cache and a parent have just
/// started: what their sum sends there, held against what the settings allow.
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
  double load = 1.1;  ///< what is asked, over what all caches can send
  double update_spread_seconds =
      0;  ///< seconds in which the routers are told of the start, one after another
  double restarted_fraction =
      0;  ///< share of the routers that are restarted in the middle, all at one moment
  double large_object_kb = 3200;  ///< mean size in the heavy class; the light one has a sixth
  bool sizes_known = true;
  /// Seconds until a connection to the cold cache is up: all that is decided meanwhile comes there at once.
  double connect_seconds = 0;
  WeightMeaning weights = WeightMeaning::nominal;
  std::uint64_t seed = 1;
  RoutingObserver observer{};
};

struct SlowStartResult {
  /// The worst window: how many calls of mean work came beyond N, over root of N + 1. Chance is given 2.
  double cache_excess = -1e9, parent_excess = -1e9;
  /// Work sent to them over the whole start, over what the settings allow in all.
  double cache_used = 0, parent_used = 0;
  double served_ratio = 0;  ///< share of the requests
};

class SlowStartWorld {
 public:
  explicit SlowStartWorld(const SlowStartScenario& scenario)
      : scenario_(scenario), draws_(scenario.seed * 7919 + 1) {
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
      start(i);
      push(kBegin + seconds_of(gap()), i, Kind::arrival);
      push(kStarted + seconds_of(scenario_.update_spread_seconds * i / scenario_.routers), i, Kind::told);
      if (i < scenario_.restarted_fraction * scenario_.routers) push(kStarted + 3s, i, Kind::restart);
    }
    while (!events_.empty() && events_.top().at < kStarted + 22s) {
      const Next next = events_.top();
      events_.pop();
      now_ = next.at;
      step(next);
    }
    SlowStartResult result;
    result.cache_excess = cache_.worst;
    result.parent_excess = parent_.worst;
    result.cache_used = cache_.total / cache_.allowed_in_all(mean_work());
    result.parent_used = parent_.total / parent_.allowed_in_all(mean_work());
    result.served_ratio = static_cast<double>(served_) / std::max(1, asked_);
    return result;
  }

 private:
  enum class Kind { arrival, told, restart, wake, done, written };
  struct Next {
    Time at{0};
    std::uint64_t order = 0;
    int router = 0;
    Kind kind = Kind::arrival;
    int life = 0;
    Attempt attempt;
    int number = 0;
    bool operator>(const Next& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  struct Asked {
    int attempts = 0, request_class = 0;
    Time takes{0};
  };
  struct OneRouter {
    std::unique_ptr<Router> router;
    bool told = false;
    int life = 0;                        ///< a restart makes void what was under way
    Time up{0};                          ///< when its connection to the cold cache comes up; 0: it has none
    std::map<std::string, Asked> tries;  ///< by request
  };
  /// A member that starts cold, as the bench counts it.
  struct Cold {
    double weight, multiple, floor, warm;
    double worst = -1e9, total = 0, sum = 0;
    std::deque<std::pair<Time, double>> sent{};
    [[nodiscard]] double allowed(Time now) const {
      const double age = std::chrono::duration<double>(now - kStarted).count() / warm;
      return multiple * (floor + (1 - floor) * std::min(1.0, age)) * weight * 2;
    }
    [[nodiscard]] double allowed_in_all(double) const {
      return multiple * (floor + (1 - floor) / 2) * weight * warm;
    }
    void add(Time now, double work, double mean) {
      if (std::chrono::duration<double>(now - kStarted).count() > warm) return;
      sent.emplace_back(now, work);
      sum += work;
      total += work;
      for (; sent.front().first <= now - 2s; sent.pop_front()) sum -= sent.front().second;
      const double n = allowed(now) / mean;
      worst = std::max(worst, (sum / mean - n) / (std::sqrt(n) + 1));
    }
  };

  static constexpr Time kBegin{1000s}, kStarted{1006s};
  static constexpr double kCacheWeight = 6, kParentWeight = 24;

  static Time seconds_of(double s) { return Time{static_cast<std::int64_t>(s * 1e6)}; }
  [[nodiscard]] double work_of(int request_class) const {
    return scenario_.large_object_kb / 9100 / (request_class == 0 ? 1 : 6);
  }
  [[nodiscard]] double mean_work() const { return 0.55 * work_of(0) + 0.45 * work_of(1); }
  double gap() {
    const double rate = scenario_.load * 4 * kCacheWeight / mean_work() / scenario_.routers;
    return std::exponential_distribution<double>(rate)(draws_);
  }

  void push(Time at, int router, Kind kind, Attempt attempt = {}, int number = 0) {
    events_.push({at, ++order_, router, kind, routers_[static_cast<std::size_t>(router)].life,
                  std::move(attempt), number});
  }

  [[nodiscard]] Endpoint sized(Endpoint m, double weight) const {
    m.weight = scenario_.weights == WeightMeaning::none ? 1 : weight;
    if (scenario_.weights == WeightMeaning::rough)
      m.weight *= m.id == "cache-a" || m.id == "parent-a" ? 1.2 : 0.9;
    return m;
  }
  std::vector<Endpoint> list(bool told) const {
    std::vector<Endpoint> all{sized(make_endpoint("cache-b", 0, 2), kCacheWeight),
                              sized(make_endpoint("cache-c", 0, 2), kCacheWeight),
                              sized(make_endpoint("cache-d", 0, 2), kCacheWeight),
                              sized(make_endpoint("parent-b", 1, 1), kParentWeight),
                              make_endpoint("origin", 2, 0)};
    if (told) {
      all.push_back(sized(make_endpoint("cache-a", 0, 2, kStarted), kCacheWeight));
      all.push_back(sized(make_endpoint("parent-a", 1, 0, kStarted), kParentWeight));
    }
    return all;
  }

  void start(int i) {
    OneRouter& r = routers_[static_cast<std::size_t>(i)];
    ++r.life;
    r.up = Time{0};
    r.tries.clear();
    r.router = std::make_unique<Router>(settings_, draws_());
    feed(i, EndpointList{ListKind::from_configuration, list(r.told)});
  }

  void step(const Next& next) {
    OneRouter& r = routers_[static_cast<std::size_t>(next.router)];
    switch (next.kind) {
      case Kind::arrival:
        push(now_ + seconds_of(gap()), next.router, Kind::arrival);
        ask(next.router);
        break;
      case Kind::told:
        r.told = true;
        feed(next.router, EndpointList{ListKind::changes, list(true)});
        break;
      case Kind::restart:
        start(next.router);
        break;
      case Kind::wake:
        if (next.life == r.life) feed(next.router, TimerFired{1});
        break;
      case Kind::done:
        if (next.life == r.life) done(next);
        break;
      case Kind::written:
        if (next.life == r.life) written(next.attempt, next.number);
        break;
    }
  }

  void ask(int i) {
    Request request;
    request.id = "r" + std::to_string(++asked_);
    request.request_class = std::uniform_real_distribution<double>(0, 1)(draws_) < 0.55 ? 0 : 1;
    request.object = draws_();
    constexpr double kSigma = 1.1;  // sizes vary widely, as the sites say
    request.size_kb = work_of(request.request_class) * 9100 *
                      std::exp(std::normal_distribution<double>(-kSigma * kSigma / 2, kSigma)(draws_));
    const Time takes = 40ms + seconds_of(request.size_kb / 9100);
    if (!scenario_.sizes_known) request.size_kb = 0;
    request.expires = now_ + (request.request_class == 0 ? 5s : 2500ms);
    routers_[static_cast<std::size_t>(i)].tries[request.id] = {0, request.request_class, takes};
    feed(i, request);
  }

  void done(const Next& next) {
    auto& tries = routers_[static_cast<std::size_t>(next.router)].tries;
    const auto found = tries.find(next.attempt.request);
    Outcome o;
    o.request = next.attempt.request;
    o.endpoint = next.attempt.endpoint;
    o.attempt = next.number;
    o.result = found == tries.end() ? AttemptResult::cancelled : AttemptResult::served;
    o.request_finished = true;
    if (found != tries.end()) {
      o.duration = found->second.takes;
      ++served_;
      tries.erase(found);
    }
    feed(next.router, o);
  }

  void written(const Attempt& a, int request_class) {
    if (a.endpoint == "cache-a") cache_.add(now_, work_of(request_class), mean_work());
    if (a.source == "parent-a") parent_.add(now_, work_of(request_class), mean_work());
  }

  void feed(int i, const Event& event) {
    OneRouter& r = routers_[static_cast<std::size_t>(i)];
    const auto actions = r.router->handle(now_, event);
    if (scenario_.observer) scenario_.observer(i, now_, event, actions);
    for (const Action& action : actions) {
      if (const auto* a = std::get_if<Attempt>(&action)) {
        Asked& asked = r.tries[a->request];
        Time at = now_;
        if (a->endpoint == "cache-a") {
          if (r.up == Time{0}) r.up = now_ + seconds_of(scenario_.connect_seconds);
          at = std::max(at, r.up);
        }
        if (at > now_) {
          push(at, i, Kind::written, *a, asked.request_class);
        } else {
          written(*a, asked.request_class);
        }
        push(at + asked.takes, i, Kind::done, *a, asked.attempts++);
      } else if (const auto* w = std::get_if<SetTimer>(&action)) {
        push(now_ + w->after, i, Kind::wake);
      } else if (const auto* refuse = std::get_if<Reject>(&action)) {
        r.tries.erase(refuse->request);
      } else if (const auto* fail = std::get_if<Fail>(&action)) {
        r.tries.erase(fail->request);
      }
    }
  }

  SlowStartScenario scenario_;
  Settings settings_;
  std::mt19937_64 draws_;
  Time now_{kBegin};
  std::uint64_t order_ = 0;
  std::vector<OneRouter> routers_;
  std::priority_queue<Next, std::vector<Next>, std::greater<>> events_;
  Cold cache_{kCacheWeight, 4, 0.18, 18}, parent_{kParentWeight, 2, 0.07, 22};
  int asked_ = 0, served_ = 0;
};

}  // namespace edge_proxy::test
