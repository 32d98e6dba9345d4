// SPDX-License-Identifier: MIT
/// @file
/// The course of a request between its acceptance and its final answer: what happens to it is reported to
/// the router, and the router's actions are carried out on the upstream connections and towards the client.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "edge_proxy/router.h"
#include "proxy/admin/stats_log.h"
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
    const Settings& settings;  ///< as the policy in force has them
    Router& router;
    PendingRequests& pending_requests;
    UpstreamPool& upstream;
    const DiscoveryClient& discovery;
    LocalCache& local_cache;
    const PolicyController& policy;
    StatsLog& stats;
  };
  explicit RequestDispatcher(const Dependencies& dependencies) : dependencies_(dependencies) {}

  /// Hands the router one event and carries out the actions that it decides on.
  void notify_router(const Event& event);
  /// Reports to the router what has ended upstream meanwhile, until nothing is left to report.
  void report_completions();

  /// A request that was admitted: from now on it is owed a final answer.
  void accept(PendingRequest pending);
  /// The client waits no longer: no answer is owed.
  void cancel(const std::string& request);
  /// The request's time is over. Guards the rule that each request has a final answer, should the router not
  /// have given one by then.
  void expire(const std::string& request);

 private:
  void report(const AttemptCompletion& completion);
  [[nodiscard]] AttemptResult checked_result(const AttemptCompletion& completion) const;
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
  // The discovery service reports each change of the endpoint list by itself.
  void perform(const FetchEndpointList&) {}
  void perform(const SubscribeEndpointList&) {}

  Dependencies dependencies_;
};

}  // namespace edge_proxy::proxy
