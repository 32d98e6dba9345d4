// SPDX-License-Identifier: MIT
/// @file
/// Retry safety. Decides whether another attempt is safe, and whether a request may be rejected as not
/// executed, from the idempotency of its class and the results of its earlier attempts. Prevents a request
/// from taking effect twice, and prevents the rejection of a request that may have run.
#pragma once

#include <cstddef>
#include <set>
#include <string>

#include "edge_proxy/router.h"
#include "routing/endpoint_table.h"
#include "routing/pending_request.h"

namespace edge_proxy::routing {

class RetrySafety {
 public:
  /// The arguments must outlive this object.
  RetrySafety(const Settings& settings, const EndpointTable& endpoints)
      : settings_(settings), endpoints_(endpoints) {}

  /// Records the result of an ended attempt.
  void record_result(const std::string& request_id, AttemptResult result);
  void forget(const std::string& request_id) { possibly_run_requests_.erase(request_id); }

  /// Whether one more attempt may be sent to `endpoint`. An idempotent request may always be sent again. A
  /// request with an idempotency key may be sent again within the scope and the window in which duplicates of
  /// every earlier attempt are discarded. Any request may be sent again while no earlier attempt may have
  /// run.
  [[nodiscard]] bool may_attempt(Time now, const PendingRequest& pending, std::size_t endpoint) const;

  /// Returns the time within which a retry with an idempotency key must be sent; 0 means no limit. Prevents a
  /// retry that is decided within the deduplication window but waits for a connection until after its end.
  [[nodiscard]] Time send_within(Time now, const PendingRequest& pending) const;

  /// Whether the client may be told that it can safely retry the request.
  [[nodiscard]] bool may_reject(const PendingRequest& pending) const;

  /// Number of pending requests of which an ended attempt may have run.
  [[nodiscard]] std::size_t size() const { return possibly_run_requests_.size(); }

 private:
  [[nodiscard]] bool may_have_run(const PendingRequest& pending) const;
  [[nodiscard]] bool is_duplicate_discarded(Time now, const RequestClass& request_class,
                                            const AttemptRecord& earlier, const Endpoint& endpoint) const;

  const Settings& settings_;
  const EndpointTable& endpoints_;
  std::set<std::string> possibly_run_requests_;
};

}  // namespace edge_proxy::routing
