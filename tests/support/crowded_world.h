// SPDX-License-Identifier: MIT
/// @file
/// A few routers in virtual time over the real module, with caches, parents and an origin that work on so
/// many requests at once and let the others wait: who is answered when there is too much to do.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "support/routing_world.h"

namespace edge_proxy::test {

struct CrowdedScenario {
  double load = 0.6;  ///< what is asked, over what the caches can send
  double parent_capacity =
      1;                     ///< seats of the parents from the fifth to the fifteenth second, over the usual
  bool copies_lost = false;  ///< no cache or parent holds anything from the fifth second on
  double large_object_kb = 3200;  ///< mean size in the class of large objects; pages have a sixth of it
  std::uint64_t seed = 1;
  RoutingObserver observer{};
};

/// By class: the share of the requests that were answered, in time or late, and of the largest tenth.
struct CrowdedResult {
  std::vector<double> all, largest;
};

class CrowdedWorld {
 public:
  explicit CrowdedWorld(const CrowdedScenario& scenario)
      : scenario_(scenario), draws_(scenario.seed * 7919 + 1) {
    settings_ = default_settings();
    settings_.router_count = kRouters;
    settings_.routers_by_zone = {0, 0, kRouters};
    settings_.weights = WeightMeaning::nominal;
    settings_.cache_status_detail = CacheStatusDetail::none;
    settings_.hedging = settings_.direct_to_sources = false;
    settings_.transfer_kb_per_s = kPace;
    RequestClass video = settings_.classes[0], pages = video, order = settings_.classes[1];
    video.priority_weight = 2;
    video.deadline = 5s;
    pages.latency_objective = 250ms;
    order.priority_weight = 3;
    order.latency_objective = 600ms;
    order.deduplication_window = 2s;
    settings_.classes = {video, pages, order};
    for (const auto& [id, seats] : {std::pair{"cache-a", 6},
                                    {"cache-b", 6},
                                    {"cache-c", 6},
                                    {"cache-d", 6},
                                    {"parent-a", 8},
                                    {"parent-b", 8},
                                    {"origin", 12}})
      stations_[id].seats = seats;
  }

  CrowdedResult run() {
    std::vector<Endpoint> list{sized("cache-a", 0, 2, 6),   sized("cache-b", 0, 2, 6),
                               sized("cache-c", 0, 2, 6),   sized("cache-d", 0, 2, 6),
                               sized("parent-a", 1, 0, 24), sized("parent-b", 1, 1, 24),
                               sized("origin", 2, 0, 1)};
    for (int i = 0; i < kRouters; ++i) {
      routers_.push_back(std::make_unique<Router>(settings_, draws_()));
      feed(i, EndpointList{ListKind::from_configuration, list});
      at(kBegin + gap(), [this, i] { ask(i); });
    }
    at(kBegin + 5s, [this] {
      void_ = scenario_.copies_lost;
      parent_seats(std::max(1, static_cast<int>(8 * scenario_.parent_capacity)));
    });
    at(kBegin + 15s, [this] { parent_seats(8); });
    while (!events_.empty() && now_ < kBegin + kAskedFor + 6s) {
      const auto next = events_.extract(events_.begin());
      now_ = next.key().first;
      next.mapped()();
    }
    return summed();
  }

 private:
  static constexpr int kRouters = 6;
  static constexpr double kPace = 9100, kFillPace = 3 * kPace;
  static constexpr Time kBegin{1000s}, kAskedFor{20s};

  struct Asked {
    int router = 0, request_class = 0, attempts = 0;
    double kb = 0;
    std::uint64_t object = 0;
    bool answered = false;
  };
  /// What an attempt wants of one station after another; it ends when none is left, or is given up.
  struct Job {
    Attempt attempt;
    int number = 0;
    Time sent{0};
    std::deque<std::pair<std::string, Time>> steps;
    std::string waits_at, runs_at;
    bool over = false;
  };
  using JobPtr = std::shared_ptr<Job>;
  struct Station {
    int seats = 0, taken = 0;
    std::deque<JobPtr> waiting;
  };

  static Endpoint sized(std::string id, int kind, int zone, double weight) {
    Endpoint m = make_endpoint(std::move(id), kind, zone);
    m.weight = weight;
    return m;
  }
  static Time seconds_of(double s) { return Time{static_cast<std::int64_t>(s * 1e6)}; }
  void at(Time when, std::function<void()> what) {
    events_.emplace(std::pair(when, ++order_), std::move(what));
  }
  double mean_kb(int request_class) const { return scenario_.large_object_kb / (request_class == 0 ? 1 : 6); }
  Time gap() {
    const double mean = (0.55 * mean_kb(0) + 0.45 * mean_kb(1)) / kPace;
    return seconds_of(std::exponential_distribution<double>(scenario_.load * 24 / mean / kRouters)(draws_));
  }
  double part() { return std::uniform_real_distribution<double>(0, 1)(draws_); }

  void parent_seats(int seats) {
    for (const char* id : {"parent-a", "parent-b"}) {
      stations_[id].seats = seats;
      start_next(id);
    }
  }

  bool holds(const std::string& id, std::uint64_t object) {
    if (id == "origin" || filled_[id].count(object) != 0) return true;
    if (void_) return false;
    return std::hash<std::string>()(id + std::to_string(object)) % 100 < 70;
  }

  void ask(int i) {
    if (now_ >= kBegin + kAskedFor) return;
    at(now_ + gap(), [this, i] { ask(i); });
    Request r;
    r.id = "r" + std::to_string(asked_.size() + 1);
    const double draw = part();
    r.request_class = draw < 0.53 ? 0 : draw < 0.97 ? 1 : 2;
    r.write = r.request_class == 2;
    r.object = draws_() % 4000;
    constexpr double kSigma = 1.1;  // sizes vary widely, as the sites say
    r.size_kb = mean_kb(r.request_class) *
                std::exp(std::normal_distribution<double>(-kSigma * kSigma / 2, kSigma)(draws_));
    r.expires = now_ + settings_.classes[static_cast<std::size_t>(r.request_class)].deadline;
    asked_[r.id] = {i, r.request_class, 0, r.size_kb, r.object, false};
    feed(i, r);
  }

  void feed(int i, const Event& event) {
    const auto actions = routers_[static_cast<std::size_t>(i)]->handle(now_, event);
    if (scenario_.observer) scenario_.observer(i, now_, event, actions);
    for (const Action& action : actions) {
      if (const auto* a = std::get_if<Attempt>(&action)) send(*a);
      if (const auto* w = std::get_if<SetTimer>(&action))
        at(now_ + w->after, [this, i] { feed(i, TimerFired{1}); });
      if (const auto* c = std::get_if<Cancel>(&action)) {
        const auto job = jobs_.find({c->request, c->attempt});
        if (job != jobs_.end()) end(job->second, AttemptResult::cancelled);
      }
    }
  }

  void send(const Attempt& a) {
    Asked& asked = asked_.at(a.request);
    const JobPtr job = std::make_shared<Job>();
    job->attempt = a;
    job->number = asked.attempts++;
    job->sent = now_;
    jobs_[{a.request, job->number}] = job;
    const Time sending = seconds_of(asked.kb / kPace), filling = seconds_of(asked.kb / kFillPace);
    const bool writes = asked.request_class == 2;
    if (writes || !holds(a.endpoint, asked.object)) {
      if (a.source == a.endpoint || (a.cached_only && !holds(a.source, asked.object))) {
        at(now_ + 2ms, [this, job] { end(job, AttemptResult::cache_miss); });
        return;
      }
      if (a.source != "origin" && !holds(a.source, asked.object))
        job->steps.emplace_back("origin", filling + 40ms);
      job->steps.emplace_back(a.source, filling + 10ms);
    }
    job->steps.emplace_back(a.endpoint, sending);
    at(now_ + 2ms, [this, job] { next_step(job); });
  }

  void next_step(const JobPtr& job) {
    if (job->over) return;
    if (job->steps.empty()) {
      end(job, AttemptResult::served);
      return;
    }
    const std::string id = job->steps.front().first;
    Station& station = stations_.at(id);
    if (station.waiting.size() >= 4 * static_cast<std::size_t>(station.seats)) {
      end(job, id == job->attempt.endpoint ? AttemptResult::shed : AttemptResult::error);
      return;
    }
    job->waits_at = id;
    station.waiting.push_back(job);
    start_next(id);
  }

  void start_next(const std::string& id) {
    Station& station = stations_.at(id);
    while (station.taken < station.seats && !station.waiting.empty()) {
      const JobPtr job = station.waiting.front();
      station.waiting.pop_front();
      ++station.taken;
      job->waits_at.clear();
      job->runs_at = id;
      const Time takes = job->steps.front().second;
      job->steps.pop_front();
      at(now_ + takes, [this, job] {
        if (job->over) return;
        leave(job);
        next_step(job);
      });
    }
  }

  void leave(const JobPtr& job) {
    if (!job->waits_at.empty()) std::erase(stations_.at(job->waits_at).waiting, job);
    job->waits_at.clear();
    if (job->runs_at.empty()) return;
    const std::string id = std::exchange(job->runs_at, {});
    --stations_.at(id).taken;
    start_next(id);
  }

  void end(JobPtr job, AttemptResult ending) {  // a share of its own: what the table holds goes here
    if (std::exchange(job->over, true)) return;
    leave(job);
    jobs_.erase({job->attempt.request, job->number});
    Asked& asked = asked_.at(job->attempt.request);
    if (ending == AttemptResult::served) {
      asked.answered = true;
      if (job->attempt.rank != Rank::uncached) filled_[job->attempt.endpoint].insert(asked.object);
      if (job->attempt.source != "origin") filled_[job->attempt.source].insert(asked.object);
    }
    Outcome o;
    o.request = job->attempt.request;
    o.endpoint = job->attempt.endpoint;
    o.attempt = job->number;
    o.result = ending;
    o.duration = now_ - job->sent;
    o.request_finished = ending == AttemptResult::served;
    // Told as an event of its own: the module may be in the middle of another.
    at(now_, [this, router = asked.router, o] { feed(router, o); });
  }

  CrowdedResult summed() const {
    CrowdedResult result;
    for (int c = 0; c < 3; ++c) {
      std::vector<std::pair<double, bool>> of_class;
      for (const auto& [id, a] : asked_) {
        if (a.request_class == c) of_class.emplace_back(a.kb, a.answered);
      }
      std::sort(of_class.rbegin(), of_class.rend());
      const auto share = [&](std::size_t count) {
        const auto end = of_class.begin() + static_cast<std::ptrdiff_t>(count);
        return static_cast<double>(
                   std::count_if(of_class.begin(), end, [](const auto& a) { return a.second; })) /
               static_cast<double>(std::max<std::size_t>(1, count));
      };
      result.all.push_back(share(of_class.size()));
      result.largest.push_back(share(of_class.size() / (of_class.size() < 400 ? 4 : 10)));
    }
    return result;
  }

  CrowdedScenario scenario_;
  Settings settings_;
  std::mt19937_64 draws_;
  Time now_{kBegin};
  std::uint64_t order_ = 0;
  bool void_ = false;
  std::vector<std::unique_ptr<Router>> routers_;
  std::map<std::pair<Time, std::uint64_t>, std::function<void()>> events_;
  std::map<std::string, Station> stations_;
  std::map<std::string, std::set<std::uint64_t>> filled_;
  std::map<std::string, Asked> asked_;
  std::map<std::pair<std::string, int>, JobPtr> jobs_;
};

}  // namespace edge_proxy::test
