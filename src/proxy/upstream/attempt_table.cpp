// SPDX-License-Identifier: MIT
#include "proxy/upstream/attempt_table.h"

#include <utility>

namespace edge_proxy::proxy {

void AttemptTable::add(const AttemptKey& key, OutstandingAttempt attempt) {
  attempts_[key] = std::move(attempt);
  update_memory();
}

const OutstandingAttempt* AttemptTable::find(const AttemptKey& key) const {
  const auto found = attempts_.find(key);
  return found == attempts_.end() ? nullptr : &found->second;
}

void AttemptTable::apply(const codec::Invalidation& invalidation, Time now) {
  for (auto& [key, attempt] : attempts_) {
    if (attempt.is_written || !is_invalidated_by(attempt.request, invalidation)) continue;
    limit_copy_age(attempt.request, invalidation, now);
  }
}

AttemptCompletion AttemptTable::remove(const AttemptKey& key, AttemptResult result, Time now) {
  const auto found = attempts_.find(key);
  UpstreamRequest request = std::move(found->second.request);
  attempts_.erase(found);
  update_memory();
  return {.request = std::move(request.request),
          .attempt = request.attempt,
          .endpoint = std::move(request.endpoint),
          .source = std::move(request.source),
          .idempotency_key = std::move(request.idempotency_key),
          .request_class = request.request_class,
          .decided_at = request.decided_at,
          .result = result,
          .duration = now - request.decided_at,
          .response = {}};
}

void AttemptTable::add_delayed_completion(AttemptCompletion completion) {
  delayed_completions_.push_back(std::move(completion));
  update_memory();
}

void AttemptTable::release_delayed_completion() {
  if (delayed_completions_.empty()) return;
  completions_.push_back(std::move(delayed_completions_.front()));
  delayed_completions_.pop_front();
  update_memory();
}

std::optional<AttemptCompletion> AttemptTable::take_completion() {
  if (completions_.empty()) return std::nullopt;
  AttemptCompletion oldest = std::move(completions_.front());
  completions_.pop_front();
  return oldest;
}

}  // namespace edge_proxy::proxy
