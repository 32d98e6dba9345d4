// SPDX-License-Identifier: MIT
/// @file
/// Processes a request from its acceptance to its final answer: reports events to the router and carries out
/// the router's actions on the upstream connections and for the client.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "edge_proxy/router.h"
#include "proxy/admin/stats_log.h"
#include "proxy/client/executed_requests.h"
#include "proxy/client/pending_requests.h"
#include "proxy/cluster/policy_controller.h"
#include "proxy/context.h"
#include "proxy/discovery/discovery_client.h"
#include "proxy/local_cache.h"
#include "proxy/upstream/upstream_pool.h"

namespace edge_proxy::proxy {

class RequestDispatcher {
 public:
  struct Dependencies {
    Context& context;
    const Settings& settings;  ///< those of the policy in force
    Router& router;
    PendingRequests& pending_requests;
    ExecutedRequests& executed_requests;
    UpstreamPool& upstream;
    const DiscoveryClient& discovery;
    LocalCache& local_cache;
    const PolicyController& policy;
    StatsLog& stats;
  };
  explicit RequestDispatcher(const Dependencies& dependencies) : dependencies_(dependencies) {}

  /// Passes one event to the router and carries out the actions that it returns.
  void notify_router(const Event& event);
  /// Reports all completed attempts and health checks to the router, including those that its actions
  /// complete.
  void report_completions();

  /// Accepts an admitted request, which is certain to get a final answer from now on.
  void accept(PendingRequest pending);
  /// Cancels a request for which the client no longer waits; it gets no answer.
  void cancel(const std::string& request);
  /// Fails a request if its deadline has passed, so that each request gets a final answer even if the router
  /// has not given one.
  void expire(const std::string& request);
  /// Fails a request, for example because its client is not read any more.
  void fail(const std::string& request);

 private:
  void report(const AttemptCompletion& completion);
  [[nodiscard]] AttemptResult checked_result(const AttemptCompletion& completion) const;
  void remember_executed(const AttemptCompletion& completion, AttemptResult result);
  void deliver(const AttemptCompletion& completion);
  [[nodiscard]] bool has_usable_local_copy(const PendingRequest& pending) const;
  [[nodiscard]] Time max_age_of(const Request& request) const;
  void fill_from_pending(UpstreamRequest& upstream_request, const Attempt& attempt, PendingRequest& pending);
  void trace(std::string_view decision, const std::string& request, std::uint64_t epoch);

  void perform(const Attempt& attempt);
  void perform(const Cancel& cancel);
  void perform(const Reject& reject);
  void perform(const Fail& fail);
  void perform(const ServeFromLocalCache& serve);
  void perform(const SetTimer& timer);
  void perform(const CheckHealth& check);
  void perform(const LogMessage& message);
  // The discovery service sends each change of the endpoint list without a request.
  void perform(const FetchEndpointList&) {}
  void perform(const SubscribeEndpointList&) {}

  Dependencies dependencies_;
};

}  // namespace edge_proxy::proxy
