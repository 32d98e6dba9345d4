// SPDX-License-Identifier: MIT
#include "proxy/context.h"

namespace edge_proxy::proxy {

void Context::log(std::string line) { effects.emplace_back(LogLine{std::move(line)}); }

void Context::write(ConnectionId connection, std::string bytes) {
  effects.emplace_back(Write{connection, std::move(bytes)});
}

ConnectionId Context::connect(const std::string& address, ReadPriority priority) {
  ++open_connections;
  last_connection_id += kConnectionIdStep;
  effects.emplace_back(Connect{last_connection_id, address, priority == ReadPriority::high});
  return last_connection_id;
}

void Context::close(ConnectionId connection) { effects.emplace_back(Close{connection}); }

void Context::drain_and_close(ConnectionId connection) { effects.emplace_back(DrainAndClose{connection}); }

void Context::shutdown_write(ConnectionId connection) { effects.emplace_back(ShutdownWrite{connection}); }

void Context::stop_reading(ConnectionId connection) { effects.emplace_back(StopReading{connection}); }

void Context::log_closed(const ConnectionRecord& record, CloseReason reason, ClosedBy closed_by) {
  --open_connections;
  if (closed_by == ClosedBy::proxy) close(record.id);
  std::string line = "closed kind=" + std::string(record.kind) + " conn=" + std::to_string(record.id) +
                     " reason=" + std::string(name_of(reason)) +
                     " requests=" + std::to_string(record.request_count) +
                     " lived_ms=" + std::to_string((now - record.opened_at).count() / 1000);
  if (!record.endpoint.empty()) line += " member=" + record.endpoint;
  log(line + record.details);
}

}  // namespace edge_proxy::proxy
