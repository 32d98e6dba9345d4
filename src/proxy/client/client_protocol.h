// SPDX-License-Identifier: MIT
/// @file
/// What clients ask for and are replied, whatever protocol they speak. Another protocol is added by another
/// ClientProtocol.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace edge_proxy::proxy {

/// Identifies one call on its connection.
using CallId = std::int32_t;

/// Names and values, in the order of the message.
using ClientFields = std::vector<std::pair<std::string, std::string>>;

/// A request for a part of an object.
struct ObjectRequest {
  CallId id = 0;
  ClientFields fields;
  std::string body;
  bool readable = true;  ///< false: the call is a request for an object, but malformed
};
/// The client waits no longer for a call's reply.
struct CancelRequest {
  CallId id = 0;  ///< of the cancelled call
};
/// Asks whether the proxy is ready for traffic.
struct ReadinessCheck {
  CallId id = 0;
};
/// A well-formed call of a method that the service does not have.
struct UnknownMethod {
  CallId id = 0;
  std::string method;
  bool wants_reply = true;
};
using ClientCall = std::variant<ObjectRequest, CancelRequest, ReadinessCheck, UnknownMethod>;

/// One connection's protocol: bytes to calls, replies to bytes. No I/O, no clock.
class ClientProtocol {
 public:
  virtual ~ClientProtocol() = default;
  /// Reads bytes, however split; the calls that are complete by now.
  virtual std::vector<ClientCall> feed(std::string_view bytes) = 0;
  /// The stream can't be read any further.
  [[nodiscard]] virtual bool is_broken() const = 0;
  /// A message has begun that is not complete yet.
  [[nodiscard]] virtual bool has_partial_message() const = 0;

  virtual std::string served_reply(CallId call, std::string_view body, const ClientFields& fields) = 0;
  virtual std::string rejected_reply(CallId call, const ClientFields& fields) = 0;
  virtual std::string failed_reply(CallId call) = 0;
  virtual std::string readiness_reply(CallId call, bool is_ready) = 0;
  /// The last reply on a malformed stream.
  virtual std::string malformed_stream_reply() = 0;
  virtual std::string unknown_method_reply(const UnknownMethod& call) = 0;
};

/// Framed Thrift in the strict binary encoding.
std::unique_ptr<ClientProtocol> make_thrift_protocol();

}  // namespace edge_proxy::proxy
