// SPDX-License-Identifier: MIT
#include "proxy/admin/stats_log.h"

#include <array>
#include <string_view>
#include <utility>

#include "proxy/resource_limits.h"

namespace edge_proxy::proxy {
namespace {

constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;

std::string_view name_of(AttemptResult result) {
  static constexpr std::array<std::string_view, 10> kNames{
      "served",          "error",     "shed",     "timed_out",  "unreachable",
      "connection_lost", "cancelled", "not_sent", "cache_miss", "malformed_response"};
  return kNames[static_cast<std::size_t>(result)];
}

}  // namespace

void StatsLog::log_attempt(Context& context, const AttemptCompletion& attempt, AttemptResult result) {
  ++results_[attempt.endpoint][result];
  if (result == AttemptResult::served || ++failed_attempt_lines_ > kMaxFailedAttemptLinesPerSecond) return;
  context.log("wrong request=" + attempt.request + " attempt=" + std::to_string(attempt.attempt) +
              " member=" + attempt.endpoint + " source=" + attempt.source +
              " ending=" + std::string(name_of(result)) +
              " took_ms=" + std::to_string(attempt.duration.count() / kMicrosecondsPerMillisecond));
}

void StatsLog::log_second(Context& context, const Gauges& gauges) {
  const bool had_requests = counters != SecondCounters{};
  if (had_requests) log_requests(context, gauges);
  log_memory(context, had_requests);
  counters = {};
  failed_attempt_lines_ = 0;
  for (const auto& [endpoint, counts] : std::exchange(results_, {})) {
    const bool all_served = counts.size() == 1 && counts.begin()->first == AttemptResult::served;
    if (!all_served) log_results(context, endpoint, counts);
  }
}

void StatsLog::log_requests(Context& context, const Gauges& gauges) const {
  const Router::Stats& router = gauges.router;
  context.log(
      "load taken=" + std::to_string(counters.accepted) + " attempts=" + std::to_string(counters.attempts) +
      " served=" + std::to_string(counters.served) + " own=" + std::to_string(counters.served_locally) +
      " refused=" + std::to_string(counters.rejected) +
      " turned_away=" + std::to_string(counters.rejected_early) +
      " failed=" + std::to_string(counters.failed) + " open=" + std::to_string(gauges.pending_requests) +
      " out=" + std::to_string(gauges.attempts_in_flight) +
      " believed_out=" + std::to_string(router.in_flight) + " shut=" + std::to_string(router.ejected) +
      " members=" + std::to_string(gauges.endpoints) +
      " believed_members=" + std::to_string(router.endpoints) +
      " kept=" + std::to_string(router.table_entries + gauges.table_entries) +
      " sockets=" + std::to_string(gauges.connections));
}

/// Shows for which use peers make the process hold memory, if there were requests or if it is much.
void StatsLog::log_memory(Context& context, bool had_requests) {
  constexpr std::size_t kLoggedLimitDivisor = 4;
  const std::size_t peak = context.memory.take_peak();
  if (!had_requests && peak < context.memory.limit() / kLoggedLimitDivisor) return;
  std::string line =
      "memory limit=" + std::to_string(context.memory.limit()) + " peak=" + std::to_string(peak);
  for (std::size_t use = 0; use < kMemoryUseCount; ++use) {
    const auto memory_use = static_cast<MemoryUse>(use);
    line.append(" ").append(name_of(memory_use)).append("=");
    line.append(std::to_string(context.memory.held(memory_use)));
  }
  context.log(std::move(line));
}

void StatsLog::log_results(Context& context, const std::string& endpoint, const ResultCounts& counts) {
  std::string line = "endings member=" + endpoint;
  for (const auto& [result, count] : counts) {
    line.append(" ").append(name_of(result)).append("=").append(std::to_string(count));
  }
  context.log(std::move(line));
}

}  // namespace edge_proxy::proxy
