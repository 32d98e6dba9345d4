// SPDX-License-Identifier: MIT
/// @file
/// A router with a few members, fed by hand.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "edge_proxy/router.h"

namespace edge_proxy::test {

using namespace std::chrono_literals;

/// Sees each event that a world hands to a router, with that router's number and the actions it gave.
using RoutingObserver =
    std::function<void(int router, Time now, const Event& event, const std::vector<Action>& actions)>;

inline Settings settings() {
  Settings s;
  s.zone = 2;
  s.router_count = 1;
  s.routers_by_zone = {0, 0, 1};
  s.hub_by_zone = {0, 1, 0};
  RequestClass pages;
  pages.latency_objective = 400ms;
  pages.latency_objective_per_transfer_time = 2;
  pages.deadline = 2500ms;
  RequestClass forms;
  forms.latency_objective = 800ms;
  forms.deadline = 3000ms;
  forms.idempotency = Idempotency::with_key;
  forms.deduplication_window = 1000ms;
  forms.uncacheable = true;
  RequestClass orders = forms;
  orders.idempotency = Idempotency::none;
  s.classes = {pages, forms, orders};
  s.parent_kind = 1;
  s.origin_kind = 2;
  s.direct_to_sources = true;
  s.cache_status_detail = CacheStatusDetail::all;
  s.transfer_kb_per_s = 1000;
  s.tick = 2ms;
  s.initial_capacity = 0.25;
  s.warm_up_time = 16s;
  s.overload_factor = 2;
  s.overload_window = 2s;
  s.parent_initial_capacity = 0.1;
  s.parent_warm_up_time = 20s;
  s.parent_overload_factor = 2;
  s.invalidation_settled_after = 6s;
  s.max_attempts = 8;
  s.cancellation = true;
  s.hedging = true;
  return s;
}

inline Endpoint member(std::string id, int kind, int zone, Time started = Time{0}) {
  Endpoint m;
  m.id = std::move(id);
  m.kind = kind;
  m.zone = zone;
  m.started = started;
  return m;
}

inline std::vector<Endpoint> members() {
  return {member("cache-a", 0, 2),  member("cache-b", 0, 2),  member("cache-c", 0, 2),
          member("parent-a", 1, 0), member("parent-b", 1, 1), member("origin", 2, 0)};
}

class World {
 public:
  explicit World(Settings s = settings(), std::vector<Endpoint> list = members(), std::uint64_t seed = 1)
      : router_(std::move(s), seed) {
    feed(EndpointList{ListKind::from_configuration, std::move(list)});
  }

  std::vector<Action> feed(const Event& event) {
    auto actions = router_.handle(now, event);
    all.insert(all.end(), actions.begin(), actions.end());
    return actions;
  }

  /// Lets time pass in small steps, so that every timer is served.
  std::vector<Action> pass(Time span) {
    std::vector<Action> actions;
    for (const Time end = now + span; now < end;) {
      now = std::min(end, now + Time{2ms});
      const auto more = feed(TimerFired{1});
      actions.insert(actions.end(), more.begin(), more.end());
    }
    return actions;
  }

  Request request(std::uint64_t object, int request_class = 0, Time patience = 2500ms) {
    Request r;
    r.id = "r" + std::to_string(++made_);
    r.object = object;
    r.size_kb = 50;
    r.request_class = request_class;
    r.expires = now + patience;
    return r;
  }

  std::vector<Action> finish(const Attempt& a, AttemptResult ending, int n = 0,
                             CacheStatus note = CacheStatus::hit, Time took = 50ms) {
    Outcome o;
    o.request = a.request;
    o.endpoint = a.endpoint;
    o.attempt = n;
    o.result = ending;
    o.cache_status = note;
    o.duration = took;
    o.request_finished = ending == AttemptResult::served;
    return feed(o);
  }

  /// Ends all attempts that were called off, as the other side does in the end.
  void end_cancelled() {
    for (; seen_ < all.size(); ++seen_) {
      const auto* cancel = std::get_if<Cancel>(&all[seen_]);
      if (cancel == nullptr) continue;
      Attempt given_up;
      given_up.request = cancel->request;
      finish(given_up, AttemptResult::cancelled, cancel->attempt, CacheStatus::unknown);
    }
  }

  /// Asks for an object and has the first attempt served; returns that attempt.
  Attempt serve(std::uint64_t object, CacheStatus note = CacheStatus::hit);

  [[nodiscard]] Router::Stats beliefs() const { return router_.stats(); }

  Time now{1000s};
  std::vector<Action> all;

 private:
  Router router_;
  int made_ = 0;
  std::size_t seen_ = 0;
};

template <typename A>
std::vector<A> only(const std::vector<Action>& actions) {
  std::vector<A> found;
  for (const Action& action : actions) {
    if (const A* a = std::get_if<A>(&action)) found.push_back(*a);
  }
  return found;
}

inline Attempt World::serve(std::uint64_t object, CacheStatus note) {
  const auto sent = only<Attempt>(feed(request(object)));
  if (sent.empty()) return {};
  finish(sent.front(), AttemptResult::served, 0, note);
  return sent.front();
}

}  // namespace edge_proxy::test
