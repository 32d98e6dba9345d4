// SPDX-License-Identifier: MIT
#include "proxy/request_dispatcher.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include "proxy/attempt_fields.h"

namespace edge_proxy::proxy {
namespace {

/// A reply that confirms the client's copy counts as 1 / this of the size of the copy.
constexpr std::size_t kNotModifiedCostDivisor = 20;

LocalCache::Key cache_key_of(const Request& request) {
  return {static_cast<std::size_t>(request.request_class), request.object, request.part};
}

}  // namespace

// ---- Requests ----

void RequestDispatcher::accept(PendingRequest pending) {
  Context& context = dependencies_.context;
  ++dependencies_.stats.counters.accepted;
  Request request = pending.request;
  pending.accepted_epoch = dependencies_.policy.epoch().value_or(0);
  if (dependencies_.policy.is_tracing()) trace("taken", request.id, pending.accepted_epoch);
  if (has_usable_local_copy(pending)) {
    request.local_copy_wait = dependencies_.local_cache.transfer_wait(context.now);
  }
  dependencies_.pending_requests.add(std::move(pending));
  context.timers.add(request.expires, Timer::request_expired(request.id));
  notify_router(request);
  report_completions();
}

/// Without current events from the discovery service, a copy may be older than an invalidation that has
/// already been announced, so that no local copy is used. After each connect, those that an invalidation of
/// the gap may apply to are not used until the new stream has shown all of them.
bool RequestDispatcher::has_usable_local_copy(const PendingRequest& pending) const {
  const Request& request = pending.request;
  if (request.write || !pending.key.empty() || !pending.body.empty()) return false;
  if (!dependencies_.discovery.is_current()) return false;
  LocalCache& local_cache = dependencies_.local_cache;
  const LocalCache::CachedCopy* copy =
      local_cache.find(cache_key_of(request), dependencies_.context.now, max_age_of(request));
  if (copy == nullptr) return false;
  const std::optional<Time> gap_end = dependencies_.discovery.unconfirmed_gap_end();
  return !gap_end || local_cache.is_newer_than_gap(*copy, *gap_end);
}

Time RequestDispatcher::max_age_of(const Request& request) const {
  return dependencies_.settings.classes[static_cast<std::size_t>(request.request_class)].max_age;
}

void RequestDispatcher::cancel(const std::string& request) {
  if (!dependencies_.pending_requests.remove(request)) return;
  notify_router(RequestCancelled{request});
  report_completions();
}

/// The timer may be that of an earlier request with the same id.
void RequestDispatcher::expire(const std::string& request) {
  const PendingRequest* pending = dependencies_.pending_requests.find(request);
  if (pending != nullptr && pending->request.expires <= dependencies_.context.now) fail(request);
}

void RequestDispatcher::fail(const std::string& request) {
  const PendingRequest* pending = dependencies_.pending_requests.find(request);
  if (pending == nullptr) return;
  const int attempt_count = pending->attempt_count;
  for (int attempt = 0; attempt < attempt_count; ++attempt) {
    dependencies_.upstream.time_out_attempt(request, attempt);
  }
  dependencies_.pending_requests.failed(request);
  notify_router(RequestCancelled{request});
}

/// Logs a decision; tools compare the decisions of all proxies by these lines.
void RequestDispatcher::trace(std::string_view decision, const std::string& request, std::uint64_t epoch) {
  Context& context = dependencies_.context;
  context.log("decided what=" + std::string(decision) + " request=" + request +
              " epoch=" + std::to_string(epoch) + " now_us=" + std::to_string(context.now.count()));
}

// ---- Events for the router ----

void RequestDispatcher::notify_router(const Event& event) {
  for (const Action& action : dependencies_.router.handle(dependencies_.context.now, event)) {
    std::visit([this](const auto& typed_action) { perform(typed_action); }, action);
  }
}

void RequestDispatcher::report_completions() {
  AttemptCompletion completion;
  HealthChecked health_result;
  while (true) {
    if (dependencies_.upstream.take_completion(completion)) {
      report(completion);
    } else if (dependencies_.upstream.take_health_result(health_result)) {
      notify_router(health_result);
    } else {
      return;
    }
  }
}

void RequestDispatcher::report(const AttemptCompletion& completion) {
  Outcome outcome;
  outcome.request = completion.request;
  outcome.attempt = completion.attempt;
  outcome.endpoint = completion.endpoint;
  outcome.result = checked_result(completion);
  outcome.duration = completion.duration;
  dependencies_.stats.log_attempt(dependencies_.context, completion, outcome.result);
  remember_executed(completion, outcome.result);
  if (outcome.result == AttemptResult::served) deliver(completion);
  outcome.request_finished = dependencies_.pending_requests.find(completion.request) == nullptr;
  notify_router(outcome);
}

/// A "not modified" response is malformed if the client has no copy or if the response has a body.
AttemptResult RequestDispatcher::checked_result(const AttemptCompletion& completion) const {
  if (completion.result != AttemptResult::served) return completion.result;
  if (completion.response.status != codec::CacheResponseStatus::not_modified) return completion.result;
  const PendingRequest* pending = dependencies_.pending_requests.find(completion.request);
  if (pending == nullptr) return completion.result;
  const bool contradicts_request = pending->client_entity_tag.empty() || !completion.response.body.empty();
  return contradicts_request ? AttemptResult::malformed_response : completion.result;
}

/// The request may come again after it has ended.
void RequestDispatcher::remember_executed(const AttemptCompletion& completion, AttemptResult result) {
  if (!may_have_run_after(result)) return;
  dependencies_.executed_requests.record({.request = completion.request,
                                          .key = completion.idempotency_key,
                                          .request_class = completion.request_class,
                                          .decided_at = completion.decided_at},
                                         dependencies_.context.now);
}

/// Sends a served response to the client, unless the client no longer waits for it.
void RequestDispatcher::deliver(const AttemptCompletion& completion) {
  const PendingRequest* pending = dependencies_.pending_requests.find(completion.request);
  if (pending == nullptr) return;
  ++dependencies_.stats.counters.served;
  const Request& request = pending->request;
  if (!request.write) {
    dependencies_.local_cache.insert(cache_key_of(request), request.group, completion.response,
                                     dependencies_.context.now);
  }
  dependencies_.pending_requests.served(completion.request, completion.response);
}

// ---- Actions of the router ----

void RequestDispatcher::perform(const Attempt& attempt) {
  const Time now = dependencies_.context.now;
  ++dependencies_.stats.counters.attempts;
  UpstreamRequest upstream_request;
  upstream_request.request = attempt.request;
  upstream_request.endpoint = attempt.endpoint;
  upstream_request.source = attempt.source.empty() ? attempt.endpoint : attempt.source;
  upstream_request.decided_at = now;
  upstream_request.expires_at = now;  // not sent unless the request is still pending
  upstream_request.max_copy_age = attempt.max_copy_age;
  if (PendingRequest* pending = dependencies_.pending_requests.find(attempt.request)) {
    fill_from_pending(upstream_request, attempt, *pending);
  }
  dependencies_.upstream.start_attempt(std::move(upstream_request));
}

void RequestDispatcher::fill_from_pending(UpstreamRequest& upstream_request, const Attempt& attempt,
                                          PendingRequest& pending) {
  const Time now = dependencies_.context.now;
  upstream_request.attempt = pending.attempt_count++;
  upstream_request.request_class = static_cast<std::size_t>(pending.request.request_class);
  upstream_request.object = pending.request.object;
  upstream_request.group = pending.request.group;
  upstream_request.expires_at = pending.request.expires;
  if (attempt.send_within > Time{0}) upstream_request.send_before = now + attempt.send_within;
  if (pending.send_before) limit_sending(upstream_request, *pending.send_before);
  if (attempt.timeout > Time{0}) {
    upstream_request.expires_at = std::min(upstream_request.expires_at, now + attempt.timeout);
  }
  // No attempt of a request that was accepted in a previous epoch is sent in the next one.
  if (!dependencies_.policy.can_attempt(pending.accepted_epoch)) upstream_request.expires_at = now;
  if (dependencies_.policy.is_tracing()) {
    trace(upstream_request.expires_at > now ? "attempt" : "unsent", attempt.request, pending.accepted_epoch);
  }
  upstream_request.reserved_response_bytes = pending.reply_bytes;
  upstream_request.idempotency_key = pending.key;
  upstream_request.body = pending.body;
  add_attempt_fields(upstream_request.fields, pending, attempt);
}

void RequestDispatcher::perform(const Cancel& cancel) {
  dependencies_.upstream.cancel_attempt(cancel.request, cancel.attempt);
}

void RequestDispatcher::perform(const Reject& reject) {
  ++dependencies_.stats.counters.rejected;
  dependencies_.pending_requests.rejected(reject.request, reject.retry_after);
}

void RequestDispatcher::perform(const Fail& fail) {
  ++dependencies_.stats.counters.failed;
  dependencies_.pending_requests.failed(fail.request);
}

void RequestDispatcher::perform(const ServeFromLocalCache& serve) {
  const Time now = dependencies_.context.now;
  LocalCache& local_cache = dependencies_.local_cache;
  const PendingRequest* pending = dependencies_.pending_requests.find(serve.request);
  if (pending == nullptr) return;
  const LocalCache::CachedCopy* copy =
      local_cache.find(cache_key_of(pending->request), now, max_age_of(pending->request));
  if (copy == nullptr) return;
  const bool not_modified =
      !pending->client_entity_tag.empty() && pending->client_entity_tag == copy->entity_tag;
  local_cache.record_sent(not_modified ? copy->body.size() / kNotModifiedCostDivisor : copy->body.size(),
                          now);
  ++dependencies_.stats.counters.served_locally;
  const ServedResponse response{not_modified ? std::string_view() : std::string_view(copy->body),
                                copy->entity_tag, not_modified};
  dependencies_.pending_requests.served(serve.request, response);
}

void RequestDispatcher::perform(const SetTimer& timer) {
  Context& context = dependencies_.context;
  context.timers.add(context.now + timer.after, Timer::router_timer(timer.token));
}

void RequestDispatcher::perform(const CheckHealth& check) {
  dependencies_.upstream.check_health(check.endpoint);
}

void RequestDispatcher::perform(const LogMessage& message) {
  dependencies_.context.log("router " + message.text);
}

}  // namespace edge_proxy::proxy
