// SPDX-License-Identifier: MIT
/// @file
/// Retry safety. Decides whether an attempt may be repeated, and whether a request may be rejected as one
/// that did not run, from the class's idempotency and what earlier attempts may have done. Guards against a
/// request that takes effect twice, and against a rejection that is not true.
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
  /// The arguments have to outlive this object.
  RetrySafety(const Settings& settings, const EndpointTable& endpoints)
      : settings_(settings), endpoints_(endpoints) {}

  /// An attempt of the request has ended.
  void record_result(const std::string& request_id, AttemptResult result);
  void forget(const std::string& request_id) { possibly_run_requests_.erase(request_id); }

  /// Whether one more attempt may go to `endpoint`: always where idempotent; with an idempotency key only
  /// within the scope and the window in which duplicates of each earlier attempt are discarded; else only
  /// while nothing may have run.
  [[nodiscard]] bool may_attempt(Time now, const PendingRequest& pending, std::size_t endpoint) const;

  /// How soon a repeat with an idempotency key has to be sent; 0: at any time. Guards against a repeat that
  /// is decided within the deduplication window and waits for a connection until after it.
  [[nodiscard]] Time send_within(Time now, const PendingRequest& pending) const;

  /// Whether the client may be told that a new try does no harm.
  [[nodiscard]] bool may_reject(const PendingRequest& pending) const;

  /// Requests of which an attempt may have run.
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
