// SPDX-License-Identifier: MIT
#include "edge/context.h"

namespace dahliahall::edge {

void Context::log(std::string line) { effects.emplace_back(Log{std::move(line)}); }

void Context::write(ConnectionId connection, std::string bytes) {
  effects.emplace_back(Write{connection, std::move(bytes)});
}

ConnectionId Context::connect(const std::string& address, bool first) {
  ++sockets;
  last_connection += kIdStep;
  effects.emplace_back(Connect{last_connection, address, first});
  return last_connection;
}

void Context::close(ConnectionId connection) { effects.emplace_back(Close{connection}); }

void Context::close_when_read(ConnectionId connection) { effects.emplace_back(CloseWhenRead{connection}); }

void Context::finish(ConnectionId connection) { effects.emplace_back(Finish{connection}); }

void Context::ended(const ConnectionRecord& record, CloseReason reason, bool close_it) {
  --sockets;
  if (close_it) close(record.id);
  std::string line = "closed kind=" + std::string(record.kind) + " conn=" + std::to_string(record.id) +
                     " reason=" + std::string(name_of(reason)) +
                     " requests=" + std::to_string(record.requests) +
                     " lived_ms=" + std::to_string((now - record.opened).count() / 1000);
  if (!record.member.empty()) line += " member=" + record.member;
  log(std::move(line));
}

}  // namespace dahliahall::edge
