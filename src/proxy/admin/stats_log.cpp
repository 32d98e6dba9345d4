// SPDX-License-Identifier: MIT
#include "proxy/admin/stats_log.h"

#include <array>
#include <string_view>
#include <utility>

#include "proxy/resource_limits.h"

namespace edge_proxy::proxy {
namespace {

std::string_view name_of(AttemptResult ending) {
  static constexpr std::array<std::string_view, 10> names{"served",      "error",  "shed",      "timed_out",
                                                          "unreachable", "broken", "cancelled", "unsent",
                                                          "missing",     "spoilt"};
  return names[static_cast<std::size_t>(ending)];
}

}  // namespace

void StatsLog::log_attempt(Context& context, const AttemptCompletion& log_attempt, AttemptResult ending) {
  ++results_[log_attempt.endpoint][ending];
  if (ending == AttemptResult::served || ++failed_attempt_lines_ > kMaxFailedAttemptLines) return;
  context.log("wrong request=" + log_attempt.request + " attempt=" + std::to_string(log_attempt.attempt) +
              " member=" + log_attempt.endpoint + " source=" + log_attempt.source +
              " ending=" + std::string(name_of(ending)) +
              " took_ms=" + std::to_string(log_attempt.duration.count() / 1000));
}

void StatsLog::log_second(Context& context, const Gauges& now) {
  if (counters != SecondCounters{}) {
    const Router::Stats& believed = now.router;
    context.log(
        "load taken=" + std::to_string(counters.accepted) + " attempts=" + std::to_string(counters.attempts) +
        " served=" + std::to_string(counters.served) + " own=" + std::to_string(counters.served_locally) +
        " refused=" + std::to_string(counters.rejected) + " turned_away=" +
        std::to_string(counters.rejected_early) + " failed=" + std::to_string(counters.failed) +
        " open=" + std::to_string(now.pending_requests) + " out=" + std::to_string(now.attempts_in_flight) +
        " believed_out=" + std::to_string(believed.in_flight) + " shut=" + std::to_string(believed.ejected) +
        " members=" + std::to_string(now.endpoints) +
        " kept=" + std::to_string(believed.table_entries + now.table_entries) +
        " sockets=" + std::to_string(now.connections));
  }
  counters = {};
  failed_attempt_lines_ = 0;
  for (const auto& [member, endings] : std::exchange(results_, {})) {
    std::string line = "endings member=" + member;
    for (const auto& [ending, count] : endings)
      line.append(" ").append(name_of(ending)).append("=").append(std::to_string(count));
    if (endings.size() > 1 || endings.begin()->first != AttemptResult::served) context.log(std::move(line));
  }
}

}  // namespace edge_proxy::proxy
