// SPDX-License-Identifier: MIT
#include "simulator/message_reader.h"

#include <array>
#include <string_view>
#include <utility>

#include "config/settings_reader.h"

namespace edge_proxy::simulator {
namespace {

constexpr std::array<std::string_view, 14> kKindWords{
    "clock",    "eob",         "register", "enlist",      "destroy",   "registry",  "request",
    "reminder", "report_back", "sampled",  "invalidated", "withdrawn", "streaming", "message"};
constexpr std::array<std::string_view, 3> kEndpointStateWords{"Running", "Stopping", "Deleted"};
constexpr std::array<std::string_view, 4> kListKindWords{"delta", "full", "cached", "failed"};
constexpr std::array<std::string_view, 9> kAttemptResultWords{
    "delivered", "app_error", "shed", "expired", "dial_failed", "dropped", "revoked", "unused", "empty"};

Endpoint read_endpoint(const Fields& fields) {
  Endpoint endpoint;
  endpoint.id = fields.text("store");
  endpoint.state = fields.enumerator<EndpointState>("state", kEndpointStateWords);
  endpoint.weight = fields.number("power_hint", 1);
  endpoint.zone = fields.small_integer("locality", 0);
  endpoint.cell = fields.small_integer("stripe", 0);
  endpoint.kind = fields.small_integer("generation_hw", 0);
  endpoint.started = fields.time("came_up", Time{0});
  return endpoint;
}

AttemptResult read_attempt_result(const Fields& fields) {
  return fields.enumerator<AttemptResult>("outcome", kAttemptResultWords);
}

std::optional<double> read_optional_number(const Fields& fields, const char* name) {
  if (fields.find(name) == nullptr) return std::nullopt;
  return fields.number(name, 0);
}

std::optional<LoadReport> read_load_report(const Fields& message) {
  if (message.find("report") == nullptr) return std::nullopt;
  const Fields fields = message.object("report");
  LoadReport report;
  report.busy = read_optional_number(fields, "busy");
  report.in_flight = read_optional_number(fields, "rif");
  report.queued = read_optional_number(fields, "q");
  report.hit_ratio = read_optional_number(fields, "x0");
  report.link_utilization = read_optional_number(fields, "x1");
  return report;
}

/// Reads the cache status; a number without a defined status reads as unknown.
CacheStatus read_cache_status(const Fields& message) {
  const std::int64_t detail = message.integer("detail", 0);
  const bool is_known = detail > 0 && detail <= static_cast<std::int64_t>(CacheStatus::origin_failed);
  return is_known ? static_cast<CacheStatus>(detail) : CacheStatus::unknown;
}

Request read_request(const Fields& message) {
  Request request;
  request.id = message.text("handle");
  request.request_class = message.small_integer("lane");
  request.object = message.object_id("file");
  request.part = static_cast<std::uint64_t>(message.number("chunk", 0));
  request.group = static_cast<std::int64_t>(message.number("batch_id", 0));
  request.size_kb = message.number("kbytes", 0);
  request.expires = message.time("expires");
  request.write = message.boolean("update", false);
  request.client_retry = message.boolean("again_by_client", false);
  return request;
}

Outcome read_outcome(const Fields& message) {
  Outcome outcome;
  outcome.request = message.text("handle");
  outcome.attempt = message.small_integer("n");
  outcome.endpoint = message.text("store");
  outcome.result = read_attempt_result(message);
  outcome.duration = message.time("rtt", Time{0});
  outcome.request_finished = message.boolean("settled", false);
  outcome.cache_status = read_cache_status(message);
  if (message.find("ttfb") != nullptr) outcome.first_byte = message.time("ttfb");
  outcome.report = read_load_report(message);
  return outcome;
}

HealthChecked read_health_checked(const Fields& message) {
  HealthChecked checked;
  checked.endpoint = message.text("store");
  checked.answered = read_attempt_result(message) == AttemptResult::served;
  checked.duration = message.time("rtt", Time{0});
  checked.report = read_load_report(message);
  return checked;
}

Invalidation read_invalidation(const Fields& message) {
  Invalidation invalidation;
  invalidation.group = message.integer("bucket", 0);
  invalidation.age = message.time("how_old", Time{0});
  if (message.find("file") != nullptr) invalidation.object = message.object_id("file");
  return invalidation;
}

StreamStarted read_stream_started(const Fields& message) {
  StreamStarted started;
  started.request = message.text("handle");
  started.attempt = message.small_integer("n");
  return started;
}

}  // namespace

MessageKind read_kind(const Fields& message) { return message.enumerator<MessageKind>("what", kKindWords); }

Time read_clock(const Fields& message) { return message.time("at_time"); }

std::int64_t read_instance(const Fields& message) { return message.integer("proxy_id"); }

std::int64_t read_list_number(const Fields& message) { return message.integer("buffer"); }

std::vector<Endpoint> read_endpoints(const Fields& message) {
  std::vector<Endpoint> endpoints;
  for (const Fields& entry : message.objects("nodes_list")) endpoints.push_back(read_endpoint(entry));
  return endpoints;
}

Router read_router(const Fields& message) {
  const auto seed = static_cast<std::uint64_t>(message.integer("rng_seed", 0));
  return {read_settings(message.object("env")), seed};
}

ListKind read_list_kind(const Fields& message) { return message.enumerator<ListKind>("how", kListKindWords); }

std::optional<Event> read_event(MessageKind kind, const Fields& message) {
  switch (kind) {
    case MessageKind::request:
      return read_request(message);
    case MessageKind::timer_fired:
      return TimerFired{message.integer("label")};
    case MessageKind::outcome:
      return read_outcome(message);
    case MessageKind::health_checked:
      return read_health_checked(message);
    case MessageKind::invalidation:
      return read_invalidation(message);
    case MessageKind::request_cancelled:
      return RequestCancelled{message.text("handle")};
    case MessageKind::stream_started:
      return read_stream_started(message);
    default:
      return std::nullopt;
  }
}

}  // namespace edge_proxy::simulator
