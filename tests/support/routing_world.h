// SPDX-License-Identifier: MIT
/// @file
/// Test harness: one router with three caches, two parents and an origin, whose events the test supplies.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "edge_proxy/router.h"

namespace edge_proxy::test {

using namespace std::chrono_literals;

/// Called for each event that a simulated world passes to a router, with the number of the router and the
/// actions that it returned.
using RoutingObserver =
    std::function<void(int router, Time now, const Event& event, const std::vector<Action>& actions)>;

inline Settings default_settings() {
  Settings settings;
  settings.zone = 2;
  settings.router_count = 1;
  settings.routers_by_zone = {0, 0, 1};
  settings.hub_by_zone = {0, 1, 0};
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
  settings.classes = {pages, forms, orders};
  settings.parent_kind = 1;
  settings.origin_kind = 2;
  settings.direct_to_sources = true;
  settings.cache_status_detail = CacheStatusDetail::all;
  settings.transfer_kb_per_s = 1000;
  settings.tick = 2ms;
  settings.initial_capacity = 0.25;
  settings.warm_up_time = 16s;
  settings.overload_factor = 2;
  settings.overload_window = 2s;
  settings.parent_initial_capacity = 0.1;
  settings.parent_warm_up_time = 20s;
  settings.parent_overload_factor = 2;
  settings.invalidation_settled_after = 6s;
  settings.max_attempts = 8;
  settings.cancellation = true;
  settings.hedging = true;
  return settings;
}

inline Endpoint make_endpoint(std::string id, int kind, int zone, Time started = Time{0}) {
  Endpoint endpoint;
  endpoint.id = std::move(id);
  endpoint.kind = kind;
  endpoint.zone = zone;
  endpoint.started = started;
  return endpoint;
}

inline std::vector<Endpoint> default_endpoints() {
  return {make_endpoint("cache-a", 0, 2),  make_endpoint("cache-b", 0, 2),  make_endpoint("cache-c", 0, 2),
          make_endpoint("parent-a", 1, 0), make_endpoint("parent-b", 1, 1), make_endpoint("origin", 2, 0)};
}

/// A router in virtual time. Collects all actions that it returns.
class World {
 public:
  explicit World(Settings settings = default_settings(), std::vector<Endpoint> list = default_endpoints(),
                 std::uint64_t seed = 1)
      : router_(std::move(settings), seed) {
    handle(EndpointList{ListKind::from_configuration, std::move(list)});
  }

  std::vector<Action> handle(const Event& event) {
    auto actions = router_.handle(now, event);
    all_actions.insert(all_actions.end(), actions.begin(), actions.end());
    return actions;
  }

  /// Advances the time in steps of 2 ms and feeds a TimerFired at each, so that every timer runs.
  std::vector<Action> advance(Time span) {
    std::vector<Action> actions;
    for (const Time end = now + span; now < end;) {
      now = std::min(end, now + Time{2ms});
      const auto more = handle(TimerFired{1});
      actions.insert(actions.end(), more.begin(), more.end());
    }
    return actions;
  }

  Request request(std::uint64_t object, int request_class = 0, Time client_timeout = 2500ms) {
    Request request;
    request.id = "r" + std::to_string(++request_count_);
    request.object = object;
    request.size_kb = 50;
    request.request_class = request_class;
    request.expires = now + client_timeout;
    return request;
  }

  std::vector<Action> end_attempt(const Attempt& attempt, AttemptResult result, int number = 0,
                                  CacheStatus cache_status = CacheStatus::hit, Time duration = 50ms) {
    Outcome outcome;
    outcome.request = attempt.request;
    outcome.endpoint = attempt.endpoint;
    outcome.attempt = number;
    outcome.result = result;
    outcome.cache_status = cache_status;
    outcome.duration = duration;
    outcome.request_finished = result == AttemptResult::served;
    return handle(outcome);
  }

  /// Feeds an Outcome for each cancelled attempt that has none yet.
  void end_cancelled_attempts() {
    for (; next_action_ < all_actions.size(); ++next_action_) {
      const auto* cancel = std::get_if<Cancel>(&all_actions[next_action_]);
      if (cancel == nullptr) continue;
      Attempt given_up;
      given_up.request = cancel->request;
      end_attempt(given_up, AttemptResult::cancelled, cancel->attempt, CacheStatus::unknown);
    }
  }

  /// Requests an object, ends the first attempt as served, and returns that attempt.
  Attempt serve(std::uint64_t object, CacheStatus cache_status = CacheStatus::hit);

  [[nodiscard]] Router::Stats stats() const { return router_.stats(); }

  Time now{1000s};
  std::vector<Action> all_actions;

 private:
  Router router_;
  int request_count_ = 0;
  std::size_t next_action_ = 0;
};

/// Returns the actions of one type.
template <typename ActionType>
std::vector<ActionType> actions_of(const std::vector<Action>& actions) {
  std::vector<ActionType> found;
  for (const Action& action : actions) {
    if (const ActionType* match = std::get_if<ActionType>(&action)) found.push_back(*match);
  }
  return found;
}

/// Returns how many requests have got their final answer from the router: a rejection or a failure.
inline std::size_t final_answer_count(const std::vector<Action>& actions) {
  return actions_of<Reject>(actions).size() + actions_of<Fail>(actions).size();
}

inline Attempt World::serve(std::uint64_t object, CacheStatus cache_status) {
  const auto sent = actions_of<Attempt>(handle(request(object)));
  if (sent.empty()) return {};
  end_attempt(sent.front(), AttemptResult::served, 0, cache_status);
  return sent.front();
}

}  // namespace edge_proxy::test
