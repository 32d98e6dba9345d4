// SPDX-License-Identifier: MIT
/// @file
/// Simulates a few real routers in virtual time, with caches, parents and an origin that have a limited
/// number of slots and a queue. Shows which requests are answered under overload.
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
  /// Requested work, divided by what the caches can send.
  double load = 0.6;
  /// Slots of the parents from the fifth to the fifteenth second, as a multiple of the normal number.
  double parent_capacity = 1;
  /// Whether the initial copies of all caches and parents are lost at the fifth second.
  bool copies_lost = false;
  /// Mean size in the class of large objects; pages have a sixth of it.
  double large_object_kb = 3200;
  std::uint64_t seed = 1;
  RoutingObserver observer{};
};

/// By class: the fraction of all requests that were answered, in time or late, and the same fraction of the
/// tenth with the largest objects (of the largest quarter with less than 400 requests).
struct CrowdedResult {
  std::vector<double> all, largest;
};

class CrowdedWorld {
 public:
  explicit CrowdedWorld(const CrowdedScenario& scenario)
      : scenario_(scenario), random_(scenario.seed * 7919 + 1) {
    settings_ = default_settings();
    settings_.router_count = kRouters;
    settings_.routers_by_zone = {0, 0, kRouters};
    settings_.weights = WeightMeaning::nominal;
    settings_.cache_status_detail = CacheStatusDetail::none;
    settings_.hedging = settings_.direct_to_sources = false;
    settings_.transfer_kb_per_s = kTransferKbPerSecond;
    RequestClass video = settings_.classes[0], pages = video, order = settings_.classes[1];
    video.priority_weight = 2;
    video.deadline = 5s;
    pages.latency_objective = 250ms;
    order.priority_weight = 3;
    order.latency_objective = 600ms;
    order.deduplication_window = 2s;
    settings_.classes = {video, pages, order};
    for (const auto& [id, slots] : {std::pair{"cache-a", 6},
                                    {"cache-b", 6},
                                    {"cache-c", 6},
                                    {"cache-d", 6},
                                    {"parent-a", 8},
                                    {"parent-b", 8},
                                    {"origin", 12}})
      servers_[id].slots = slots;
  }

  CrowdedResult run() {
    std::vector<Endpoint> list{with_weight("cache-a", 0, 2, 6),   with_weight("cache-b", 0, 2, 6),
                               with_weight("cache-c", 0, 2, 6),   with_weight("cache-d", 0, 2, 6),
                               with_weight("parent-a", 1, 0, 24), with_weight("parent-b", 1, 1, 24),
                               with_weight("origin", 2, 0, 1)};
    for (int i = 0; i < kRouters; ++i) {
      routers_.push_back(std::make_unique<Router>(settings_, random_()));
      handle(i, EndpointList{ListKind::from_configuration, list});
      schedule(kBegin + next_interarrival(), [this, i] { send_request(i); });
    }
    schedule(kBegin + 5s, [this] {
      copies_lost_ = scenario_.copies_lost;
      set_parent_slots(std::max(1, static_cast<int>(8 * scenario_.parent_capacity)));
    });
    schedule(kBegin + 15s, [this] { set_parent_slots(8); });
    while (!events_.empty() && now_ < kBegin + kRequestPeriod + 6s) {
      const auto next = events_.extract(events_.begin());
      now_ = next.key().first;
      next.mapped()();
    }
    return result();
  }

 private:
  static constexpr int kRouters = 6;
  static constexpr double kTransferKbPerSecond = 9100, kFillKbPerSecond = 3 * kTransferKbPerSecond;
  static constexpr Time kBegin{1000s}, kRequestPeriod{20s};

  struct RequestState {
    int router = 0, request_class = 0, attempts = 0;
    double kb = 0;
    std::uint64_t object = 0;
    bool is_answered = false;
  };
  /// An attempt in progress: it takes a slot of one server after another, and ends after the last step or
  /// when it is cancelled.
  struct Job {
    Attempt attempt;
    int number = 0;
    Time sent{0};
    std::deque<std::pair<std::string, Time>> steps;
    std::string waiting_at, running_at;
    bool is_ended = false;
  };
  using JobPtr = std::shared_ptr<Job>;
  struct Server {
    int slots = 0, used_slots = 0;
    std::deque<JobPtr> waiting;
  };

  static Endpoint with_weight(std::string id, int kind, int zone, double weight) {
    Endpoint endpoint = make_endpoint(std::move(id), kind, zone);
    endpoint.weight = weight;
    return endpoint;
  }
  static Time seconds_of(double seconds) { return Time{static_cast<std::int64_t>(seconds * 1e6)}; }
  void schedule(Time at, std::function<void()> callback) {
    events_.emplace(std::pair(at, ++order_), std::move(callback));
  }
  double mean_kb(int request_class) const { return scenario_.large_object_kb / (request_class == 0 ? 1 : 6); }
  Time next_interarrival() {
    const double mean = (0.55 * mean_kb(0) + 0.45 * mean_kb(1)) / kTransferKbPerSecond;
    return seconds_of(std::exponential_distribution<double>(scenario_.load * 24 / mean / kRouters)(random_));
  }
  double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  void set_parent_slots(int slots) {
    for (const char* id : {"parent-a", "parent-b"}) {
      servers_[id].slots = slots;
      start_next(id);
    }
  }

  bool has_copy(const std::string& id, std::uint64_t object) {
    if (id == "origin" || copies_[id].count(object) != 0) return true;
    if (copies_lost_) return false;
    return std::hash<std::string>()(id + std::to_string(object)) % 100 < 70;
  }

  void send_request(int router_index) {
    if (now_ >= kBegin + kRequestPeriod) return;
    schedule(now_ + next_interarrival(), [this, router_index] { send_request(router_index); });
    Request request;
    request.id = "r" + std::to_string(requests_.size() + 1);
    const double draw = uniform();
    request.request_class = draw < 0.53 ? 0 : draw < 0.97 ? 1 : 2;
    request.write = request.request_class == 2;
    request.object = random_() % 4000;
    constexpr double kSigma = 1.1;  // of the log-normal distribution of sizes, which vary widely
    request.size_kb = mean_kb(request.request_class) *
                      std::exp(std::normal_distribution<double>(-kSigma * kSigma / 2, kSigma)(random_));
    request.expires = now_ + settings_.classes[static_cast<std::size_t>(request.request_class)].deadline;
    requests_[request.id] = {router_index, request.request_class, 0, request.size_kb, request.object, false};
    handle(router_index, request);
  }

  void handle(int router_index, const Event& event) {
    const auto actions = routers_[static_cast<std::size_t>(router_index)]->handle(now_, event);
    if (scenario_.observer) scenario_.observer(router_index, now_, event, actions);
    for (const Action& action : actions) {
      if (const auto* attempt = std::get_if<Attempt>(&action)) start_attempt(*attempt);
      if (const auto* timer = std::get_if<SetTimer>(&action))
        schedule(now_ + timer->after, [this, router_index] { handle(router_index, TimerFired{1}); });
      if (const auto* cancel = std::get_if<Cancel>(&action)) {
        const auto job = jobs_.find({cancel->request, cancel->attempt});
        if (job != jobs_.end()) end_attempt(job->second, AttemptResult::cancelled);
      }
    }
  }

  void start_attempt(const Attempt& attempt) {
    RequestState& request = requests_.at(attempt.request);
    const JobPtr job = std::make_shared<Job>();
    job->attempt = attempt;
    job->number = request.attempts++;
    job->sent = now_;
    jobs_[{attempt.request, job->number}] = job;
    const Time transfer_time = seconds_of(request.kb / kTransferKbPerSecond),
               fill_time = seconds_of(request.kb / kFillKbPerSecond);
    const bool is_write = request.request_class == 2;
    if (is_write || !has_copy(attempt.endpoint, request.object)) {
      if (attempt.source == attempt.endpoint ||
          (attempt.cached_only && !has_copy(attempt.source, request.object))) {
        schedule(now_ + 2ms, [this, job] { end_attempt(job, AttemptResult::cache_miss); });
        return;
      }
      if (attempt.source != "origin" && !has_copy(attempt.source, request.object))
        job->steps.emplace_back("origin", fill_time + 40ms);
      job->steps.emplace_back(attempt.source, fill_time + 10ms);
    }
    job->steps.emplace_back(attempt.endpoint, transfer_time);
    schedule(now_ + 2ms, [this, job] { next_step(job); });
  }

  void next_step(const JobPtr& job) {
    if (job->is_ended) return;
    if (job->steps.empty()) {
      end_attempt(job, AttemptResult::served);
      return;
    }
    const std::string id = job->steps.front().first;
    Server& server = servers_.at(id);
    if (server.waiting.size() >= 4 * static_cast<std::size_t>(server.slots)) {
      end_attempt(job, id == job->attempt.endpoint ? AttemptResult::shed : AttemptResult::error);
      return;
    }
    job->waiting_at = id;
    server.waiting.push_back(job);
    start_next(id);
  }

  void start_next(const std::string& id) {
    Server& server = servers_.at(id);
    while (server.used_slots < server.slots && !server.waiting.empty()) {
      const JobPtr job = server.waiting.front();
      server.waiting.pop_front();
      ++server.used_slots;
      job->waiting_at.clear();
      job->running_at = id;
      const Time duration = job->steps.front().second;
      job->steps.pop_front();
      schedule(now_ + duration, [this, job] {
        if (job->is_ended) return;
        release_slot(job);
        next_step(job);
      });
    }
  }

  void release_slot(const JobPtr& job) {
    if (!job->waiting_at.empty()) std::erase(servers_.at(job->waiting_at).waiting, job);
    job->waiting_at.clear();
    if (job->running_at.empty()) return;
    const std::string id = std::exchange(job->running_at, {});
    --servers_.at(id).used_slots;
    start_next(id);
  }

  void end_attempt(JobPtr job, AttemptResult result) {  // by value: erasing it from jobs_ must not destroy it
    if (std::exchange(job->is_ended, true)) return;
    release_slot(job);
    jobs_.erase({job->attempt.request, job->number});
    RequestState& request = requests_.at(job->attempt.request);
    if (result == AttemptResult::served) {
      request.is_answered = true;
      if (job->attempt.rank != Rank::uncached) copies_[job->attempt.endpoint].insert(request.object);
      if (job->attempt.source != "origin") copies_[job->attempt.source].insert(request.object);
    }
    Outcome outcome;
    outcome.request = job->attempt.request;
    outcome.endpoint = job->attempt.endpoint;
    outcome.attempt = job->number;
    outcome.result = result;
    outcome.duration = now_ - job->sent;
    outcome.request_finished = result == AttemptResult::served;
    // Scheduled as a separate event, because the router may be handling another one.
    schedule(now_, [this, router = request.router, outcome] { handle(router, outcome); });
  }

  CrowdedResult result() const {
    CrowdedResult result;
    for (int class_index = 0; class_index < 3; ++class_index) {
      std::vector<std::pair<double, bool>> served_by_size;
      for (const auto& [id, request] : requests_) {
        if (request.request_class == class_index)
          served_by_size.emplace_back(request.kb, request.is_answered);
      }
      std::sort(served_by_size.rbegin(), served_by_size.rend());
      const auto served_ratio = [&](std::size_t count) {
        const auto end = served_by_size.begin() + static_cast<std::ptrdiff_t>(count);
        return static_cast<double>(std::count_if(served_by_size.begin(), end,
                                                 [](const auto& entry) { return entry.second; })) /
               static_cast<double>(std::max<std::size_t>(1, count));
      };
      result.all.push_back(served_ratio(served_by_size.size()));
      result.largest.push_back(served_ratio(served_by_size.size() / (served_by_size.size() < 400 ? 4 : 10)));
    }
    return result;
  }

  CrowdedScenario scenario_;
  Settings settings_;
  std::mt19937_64 random_;
  Time now_{kBegin};
  std::uint64_t order_ = 0;
  bool copies_lost_ = false;
  std::vector<std::unique_ptr<Router>> routers_;
  std::map<std::pair<Time, std::uint64_t>, std::function<void()>> events_;
  std::map<std::string, Server> servers_;
  std::map<std::string, std::set<std::uint64_t>> copies_;
  std::map<std::string, RequestState> requests_;
  std::map<std::pair<std::string, int>, JobPtr> jobs_;
};

}  // namespace edge_proxy::test
