// SPDX-License-Identifier: MIT
/// @file
/// Updates the health, the concurrency limits and the fill admission from the results of attempts, and from
/// attempts that have not been answered yet. Decides whether a failure or a late response counts against the
/// endpoint or against the source of its fill.
#pragma once

#include "edge_proxy/router.h"
#include "routing/endpoint_table.h"
#include "routing/fill_policy.h"
#include "routing/pending_request.h"
#include "routing/slow_start.h"
#include "routing/work_estimate.h"

namespace edge_proxy::routing {

/// The components that the feedback updates. They must outlive the AttemptFeedback.
struct FeedbackDependencies {
  EndpointTable& endpoints;
  SlowStart& slow_start;
  FillPolicy& fills;
  WorkEstimate& work;
};

/// Properties of the open attempts of a request that has reached its latency objective.
struct OverdueAttempts {
  bool has_newly_overdue_fill = false;  ///< an attempt with a fill became overdue just now
  bool is_at_capacity = false;          ///< an endpoint or a source has reached its concurrency limit
};

class AttemptFeedback {
 public:
  explicit AttemptFeedback(const FeedbackDependencies& dependencies) : dependencies_(dependencies) {}

  /// Records the outcome of an open attempt and closes the attempt.
  void record_outcome(Time now, const PendingRequest& pending, AttemptRecord& attempt,
                      const Outcome& outcome);

  /// Records a slow response for each attempt that has been open for the hedge delay, once per attempt.
  void record_silent_attempts(Time now, PendingRequest& pending);

  /// Records a late response for each open attempt, once per attempt.
  OverdueAttempts record_overdue_attempts(Time now, PendingRequest& pending);

 private:
  /// An outcome with the attempt, the request, the endpoint and the source that it belongs to.
  struct EndedAttempt {
    Time now{0};
    const PendingRequest& pending;
    const AttemptRecord& attempt;
    const Outcome& outcome;
    EndpointStats& endpoint;
    EndpointStats& source;  ///< the endpoint itself if the attempt had no fill
    FillKind fill_kind;
  };

  [[nodiscard]] FillKind fill_kind_of(const AttemptRecord& attempt) const;
  void decrement_in_flight(const AttemptRecord& attempt);
  void record_result(const EndedAttempt& ended);
  void record_served(const EndedAttempt& ended);
  void record_served_fill(const EndedAttempt& ended, double relative_latency);
  void record_failed(const EndedAttempt& ended);
  static void blame_endpoint_or_source(const EndedAttempt& ended);

  FeedbackDependencies dependencies_;
};

}  // namespace edge_proxy::routing
