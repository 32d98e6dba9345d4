// SPDX-License-Identifier: MIT
#include "simulator/session.h"

#include <rapidjson/error/en.h>

#include <istream>
#include <optional>
#include <ostream>

#include "simulator/action_writer.h"
#include "simulator/message_reader.h"

namespace edge_proxy::simulator {

void SimulatorSession::run(std::istream& input) {
  std::string line;
  for (std::size_t number = 1; std::getline(input, line); ++number) handle_line(line, number);
}

/// Parses `line` in place, which overwrites its text.
void SimulatorSession::handle_line(std::string& line, std::size_t number) {
  if (line.find_first_not_of(" \t\r") == std::string::npos) return;
  rapidjson::Document document;
  document.ParseInsitu(line.data());
  if (document.HasParseError()) {
    const std::string problem = rapidjson::GetParseError_En(document.GetParseError());
    throw WireError(number, "", "not JSON: " + problem);
  }
  handle(Fields(document, number));
}

void SimulatorSession::handle(const Fields& message) {
  const MessageKind kind = read_kind(message);
  switch (kind) {
    case MessageKind::set_clock:
      now_ = read_clock(message);
      break;
    case MessageKind::end_of_batch:
      end_batch();
      break;
    case MessageKind::define_list:
      lists_[read_list_number(message)] = read_endpoints(message);
      break;
    case MessageKind::create_router:
      create_router(message);
      break;
    case MessageKind::destroy_router:
      routers_.erase(read_instance(message));
      break;
    case MessageKind::endpoint_list:
      deliver(message, find_list(message));
      break;
    case MessageKind::gossip:
      break;
    default:
      if (const std::optional<Event> event = read_event(kind, message)) deliver(message, *event);
  }
}

void SimulatorSession::end_batch() { output_ << "{\"what\":\"done\"}\n" << std::flush; }

void SimulatorSession::create_router(const Fields& message) {
  Router router = read_router(message);
  routers_.insert_or_assign(read_instance(message), std::move(router));
}

/// Returns the list that the message refers to; the list of a failed fetch is empty.
EndpointList SimulatorSession::find_list(const Fields& message) const {
  EndpointList list{read_list_kind(message), {}};
  if (list.kind == ListKind::failed) return list;
  const auto found = lists_.find(read_list_number(message));
  if (found == lists_.end()) message.fail("buffer", "names no list");
  list.endpoints = found->second;
  return list;
}

void SimulatorSession::deliver(const Fields& message, const Event& event) {
  const std::int64_t instance = read_instance(message);
  const auto found = routers_.find(instance);
  if (found == routers_.end()) message.fail("proxy_id", "names no running instance");
  ActionWriter writer(output_, instance);
  for (const Action& action : found->second.handle(now_, event)) writer.write(action);
}

void serve(std::istream& input, std::ostream& output) { SimulatorSession(output).run(input); }

}  // namespace edge_proxy::simulator
