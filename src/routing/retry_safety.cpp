// SPDX-License-Identifier: MIT
#include "routing/retry_safety.h"

#include <algorithm>

#include "routing/settings_queries.h"

namespace edge_proxy {

bool may_have_run_after(AttemptResult result) {
  return result != AttemptResult::shed && result != AttemptResult::unreachable &&
         result != AttemptResult::not_sent && result != AttemptResult::cache_miss;
}

}  // namespace edge_proxy

namespace edge_proxy::routing {

void RetrySafety::record_result(const std::string& request_id, AttemptResult result) {
  if (may_have_run_after(result)) possibly_run_requests_.insert(request_id);
}

bool RetrySafety::may_have_run(const PendingRequest& pending) const {
  return pending.has_open_attempt() || possibly_run_requests_.contains(pending.request.id);
}

bool RetrySafety::may_attempt(Time now, const PendingRequest& pending, std::size_t endpoint) const {
  if (pending.has_open_attempt() && !settings_.hedging) return false;
  const RequestClass& request_class = class_of(settings_, pending.request);
  if (request_class.idempotency == Idempotency::idempotent) return true;
  if (!may_have_run(pending)) return true;
  if (request_class.idempotency == Idempotency::none) return false;
  return std::all_of(pending.attempts.begin(), pending.attempts.end(), [&](const AttemptRecord& earlier) {
    return is_duplicate_discarded(now, request_class, earlier, endpoints_[endpoint].endpoint);
  });
}

bool RetrySafety::is_duplicate_discarded(Time now, const RequestClass& request_class,
                                         const AttemptRecord& earlier, const Endpoint& endpoint) const {
  if (now - earlier.sent_at >= request_class.deduplication_window) return false;
  const Endpoint& earlier_endpoint = endpoints_[earlier.endpoint].endpoint;
  switch (request_class.deduplication_scope) {
    case DeduplicationScope::all:
      return true;
    case DeduplicationScope::zone:
      return earlier_endpoint.zone == endpoint.zone;
    case DeduplicationScope::cell:
      return earlier_endpoint.cell == endpoint.cell;
  }
  return true;
}

Time RetrySafety::send_within(Time now, const PendingRequest& pending) const {
  const RequestClass& request_class = class_of(settings_, pending.request);
  if (request_class.idempotency != Idempotency::with_key || pending.attempts.empty()) return Time{0};
  return request_class.deduplication_window - (now - pending.attempts.front().sent_at);
}

bool RetrySafety::may_reject(const PendingRequest& pending) const {
  const RequestClass& request_class = class_of(settings_, pending.request);
  if (request_class.idempotency == Idempotency::idempotent) return true;
  if (request_class.idempotency == Idempotency::with_key &&
      request_class.deduplication_scope == DeduplicationScope::all) {
    return true;
  }
  return !may_have_run(pending);
}

}  // namespace edge_proxy::routing
