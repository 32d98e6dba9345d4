// SPDX-License-Identifier: MIT
/// @file
/// The calls of clients and the replies to them, independent of the protocol. Each protocol is an
/// implementation of ClientProtocol.
#pragma once

#include <cstddef>
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

/// Names and values in the order in which they appear in the message.
using ClientFields = std::vector<std::pair<std::string, std::string>>;

/// A request for a part of an object.
struct ObjectRequest {
  CallId id = 0;
  ClientFields fields;
  std::string body;
  bool readable = true;  ///< false if the method is that of an object request but its arguments are malformed
};
/// Reports that the client no longer waits for the reply to a call.
struct CancelRequest {
  CallId id = 0;  ///< identifies the cancelled call
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

/// Parses the calls of one connection and serializes the replies. It uses neither I/O nor a clock.
class ClientProtocol {
 public:
  virtual ~ClientProtocol() = default;
  /// Parses received bytes, which may be split anywhere, and returns the calls that they complete.
  virtual std::vector<ClientCall> feed(std::string_view bytes) = 0;
  /// Whether the stream is malformed and can't be parsed any further.
  [[nodiscard]] virtual bool is_broken() const = 0;
  /// Whether an incomplete message has been received.
  [[nodiscard]] virtual bool has_partial_message() const = 0;
  /// Memory of the buffer for incomplete messages, in bytes.
  [[nodiscard]] virtual std::size_t buffered_bytes() const = 0;

  virtual std::string served_reply(CallId call, std::string_view body, const ClientFields& fields) = 0;
  virtual std::string rejected_reply(CallId call, const ClientFields& fields) = 0;
  virtual std::string failed_reply(CallId call) = 0;
  virtual std::string readiness_reply(CallId call, bool is_ready) = 0;
  /// Returns the last reply that is written to a malformed stream.
  virtual std::string malformed_stream_reply() = 0;
  virtual std::string unknown_method_reply(const UnknownMethod& call) = 0;
};

/// Returns an implementation for framed Thrift in the strict binary encoding.
std::unique_ptr<ClientProtocol> make_thrift_protocol();

}  // namespace edge_proxy::proxy
