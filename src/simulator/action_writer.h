// SPDX-License-Identifier: MIT
/// @file
/// Encodes a router's actions as simulator messages, each a JSON object on one line.
#pragma once

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdint>
#include <iosfwd>
#include <string_view>

#include "edge_proxy/router.h"

namespace edge_proxy::simulator {

/// Writes the actions of one router instance to a stream, which has to outlive the writer.
class ActionWriter {
 public:
  ActionWriter(std::ostream& output, std::int64_t instance) : output_(output), instance_(instance) {}

  void write(const Action& action) { std::visit(*this, action); }

  // Overloads for std::visit, one for each type of action.
  void operator()(const Attempt& attempt);
  void operator()(const Cancel& cancel);
  void operator()(const Reject& reject);
  void operator()(const Fail& fail);
  void operator()(const SetTimer& timer);
  void operator()(const CheckHealth& check);
  void operator()(const FetchEndpointList& fetch);
  void operator()(const SubscribeEndpointList& subscribe);
  void operator()(const LogMessage& message);
  /// Writes nothing, as routers in the simulator have no local cache.
  void operator()(const ServeFromLocalCache& serve);

 private:
  void begin(const char* kind);
  void text(const char* name, std::string_view value);
  void number(const char* name, std::int64_t value);
  void end();

  std::ostream& output_;
  std::int64_t instance_;
  rapidjson::StringBuffer buffer_;
  rapidjson::Writer<rapidjson::StringBuffer> json_;
};

}  // namespace edge_proxy::simulator
