// SPDX-License-Identifier: MIT
/// @file
/// What clients ask and are told, whatever protocol they speak. Another protocol is put before the same
/// decisions by another FrontProtocol.
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

/// Names one call on its connection.
using CallId = std::int32_t;

using ClientFields = std::vector<std::pair<std::string, std::string>>;

struct ObjectRequest {
  CallId id = 0;
  ClientFields fields;
  std::string body;
  bool readable = true;  ///< false: a call for an object, but not in the form agreed
};
struct CancelRequest {
  CallId id = 0;
};
struct ReadinessCheck {
  CallId id = 0;
};
struct UnknownMethod {
  CallId id = 0;
  std::string method;
  bool wants_reply = true;
};
using ClientCall = std::variant<ObjectRequest, CancelRequest, ReadinessCheck, UnknownMethod>;

/// One connection's protocol: bytes to calls, answers to bytes. No I/O, no clock.
class ClientProtocol {
 public:
  virtual ~ClientProtocol() = default;
  /// Takes bytes in, however split; the calls that are whole by now.
  virtual std::vector<ClientCall> feed(std::string_view bytes) = 0;
  /// The stream can't be read any further.
  [[nodiscard]] virtual bool is_broken() const = 0;
  /// A message has begun that is not whole yet.
  [[nodiscard]] virtual bool has_partial_message() const = 0;

  virtual std::string served(CallId tag, std::string_view body, const ClientFields& fields) = 0;
  virtual std::string rejected(CallId tag, const ClientFields& fields) = 0;
  virtual std::string failed(CallId tag) = 0;
  virtual std::string readiness_reply(CallId tag, bool good) = 0;
  /// The last answer on a stream that broke.
  virtual std::string malformed_stream_reply() = 0;
  virtual std::string unknown_method_reply(const UnknownMethod& call) = 0;
};

std::unique_ptr<ClientProtocol> make_thrift_protocol();

}  // namespace edge_proxy::proxy
