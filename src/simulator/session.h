// SPDX-License-Identifier: MIT
/// @file
/// A session with the simulator: passes batches of messages to the routers and writes their actions. It makes
/// no routing decisions.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

#include "config/fields.h"

namespace edge_proxy::simulator {

/// Error in an input line; carries the line number and the path of the field.
using WireError = FieldError;

/// Executes batches of messages, with one Router per instance.
class SimulatorSession {
 public:
  /// `output` receives the actions and has to outlive the session.
  explicit SimulatorSession(std::ostream& output) : output_(output) {}

  /// Executes messages until the input ends. Throws WireError if a line is malformed; the lines before it
  /// have been executed.
  void run(std::istream& input);

 private:
  void handle_line(std::string& line, std::size_t number);
  void handle(const Fields& message);
  void end_batch();
  void create_router(const Fields& message);
  EndpointList find_list(const Fields& message) const;
  void deliver(const Fields& message, const Event& event);

  std::ostream& output_;
  Time now_{0};
  std::map<std::int64_t, std::vector<Endpoint>> lists_;
  std::map<std::int64_t, Router> routers_;  // by instance number
};

/// Runs one session that reads from `input` and writes to `output`.
void serve(std::istream& input, std::ostream& output);

}  // namespace edge_proxy::simulator
