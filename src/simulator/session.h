// SPDX-License-Identifier: MIT
/// @file
/// A session with the simulator: batches of messages in, the routers' actions out. No decision is made here.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

#include "config/fields.h"

namespace edge_proxy::simulator {

/// What is wrong with an input line; it carries the line's number and the field.
using WireError = FieldError;

/// Reads batches of messages and carries them out on one Router per instance.
class SimulatorSession {
 public:
  /// `output` takes the actions and has to outlive the session.
  explicit SimulatorSession(std::ostream& output) : output_(output) {}

  /// Reads messages until the input ends. Throws WireError where a line is malformed; the lines before it
  /// have been carried out.
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
  std::map<std::int64_t, Router> routers_;  // by instance
};

/// Runs one session from `input` to `output`.
void serve(std::istream& input, std::ostream& output);

}  // namespace edge_proxy::simulator
