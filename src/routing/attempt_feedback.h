// SPDX-License-Identifier: MIT
/// @file
/// What the outcome or the silence of an attempt tells of its endpoint, its source and the fills. Decides
/// which of them a failure or a late response is blamed on.
#pragma once

#include "edge_proxy/router.h"
#include "routing/endpoint_table.h"
#include "routing/fill_policy.h"
#include "routing/pending_request.h"
#include "routing/slow_start.h"
#include "routing/work_estimate.h"

namespace edge_proxy::routing {

/// What takes in the feedback. All have to outlive it.
struct FeedbackDependencies {
  EndpointTable& endpoints;
  SlowStart& slow_start;
  FillPolicy& fills;
  WorkEstimate& work;
};

/// The open attempts of a request at its latency objective.
struct OverdueAttempts {
  bool has_newly_overdue_fill = false;  ///< a fill is overdue that was not before
  bool is_at_capacity = false;          ///< an endpoint or source is at its concurrency limit
};

class AttemptFeedback {
 public:
  explicit AttemptFeedback(const FeedbackDependencies& dependencies) : deps_(dependencies) {}

  /// An open attempt of the request has ended.
  void record_outcome(Time now, const PendingRequest& pending, AttemptRecord& attempt,
                      const Outcome& outcome);

  /// Counts attempts that have been silent for the hedge delay as slow, each once.
  void record_silent_attempts(Time now, PendingRequest& pending);

  /// Counts open attempts as late, each once.
  OverdueAttempts record_overdue_attempts(Time now, PendingRequest& pending);

 private:
  /// An outcome with what it belongs to.
  struct EndedAttempt {
    Time now{0};
    const PendingRequest& pending;
    const AttemptRecord& attempt;
    const Outcome& outcome;
    EndpointStats& endpoint;
    EndpointStats& source;  ///< the endpoint itself where there was no fill
    FillKind fill_kind;
  };

  [[nodiscard]] FillKind fill_kind_of(const AttemptRecord& attempt) const;
  void decrement_in_flight(const AttemptRecord& attempt);
  void record_result(const EndedAttempt& ended);
  void record_served(const EndedAttempt& ended);
  void record_served_fill(const EndedAttempt& ended, double relative_latency);
  void record_failed(const EndedAttempt& ended);
  static void blame_endpoint_or_source(const EndedAttempt& ended);

  FeedbackDependencies deps_;
};

}  // namespace edge_proxy::routing
