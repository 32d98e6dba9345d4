// SPDX-License-Identifier: MIT
#include "codec/thrift.h"
#include "proxy/client/client_protocol.h"

namespace edge_proxy::proxy {
namespace {

// Field ids of the declared exceptions in the result of the method `process`.
constexpr std::int16_t kTryLater = 1;
constexpr std::int16_t kAborted = 2;

class ThriftProtocol : public ClientProtocol {
 public:
  std::vector<ClientCall> feed(std::string_view bytes) override {
    std::vector<ClientCall> calls;
    frames_.feed(bytes);
    while (!is_broken_) {
      const auto frame = frames_.next();
      if (!frame) break;
      auto read = codec::read_message(*frame);
      if (auto* message = std::get_if<codec::Message>(&read)) {
        const auto translated = [message](auto& call) { return translate(*message, call); };
        calls.push_back(std::visit(translated, message->call));
      } else {
        set_broken(*frame);
      }
    }
    if (frames_.error() != codec::FrameError::none) set_broken(frames_.partial_frame());
    return calls;
  }
  [[nodiscard]] bool is_broken() const override { return is_broken_; }
  [[nodiscard]] bool has_partial_message() const override { return frames_.has_partial_frame(); }
  [[nodiscard]] std::size_t buffered_bytes() const override { return frames_.buffered_bytes(); }

  std::string served_reply(CallId call, std::string_view body, const ClientFields& fields) override {
    return codec::write_reply(call, "process", body, fields, true);
  }
  std::string rejected_reply(CallId call, const ClientFields& fields) override {
    return codec::write_declared_exception(call, kTryLater, fields);
  }
  std::string failed_reply(CallId call) override {
    return codec::write_declared_exception(call, kAborted, {});
  }
  std::string readiness_reply(CallId call, bool is_ready) override {
    return codec::write_reply(call, "probe", "", {}, is_ready);
  }
  std::string malformed_stream_reply() override {
    return codec::write_application_exception(malformed_call_, "process",
                                              codec::ApplicationError::protocol_error, "unreadable");
  }
  std::string unknown_method_reply(const UnknownMethod& call) override {
    return codec::write_application_exception(call.id, call.method, codec::ApplicationError::unknown_method,
                                              "unknown method");
  }

 private:
  static ClientCall translate(const codec::Message& message, codec::ProcessCall& call) {
    return ObjectRequest{message.sequence_id, std::move(call.fields), std::move(call.body), call.is_readable};
  }
  static ClientCall translate(const codec::Message&, const codec::CancelCall& call) {
    return CancelRequest{call.sequence_id};
  }
  static ClientCall translate(const codec::Message& message, const codec::PingCall&) {
    return ReadinessCheck{message.sequence_id};
  }
  static ClientCall translate(const codec::Message& message, codec::UnknownCall& call) {
    return UnknownMethod{message.sequence_id, std::move(call.method),
                         message.type == codec::MessageType::call};
  }

  void set_broken(std::string_view frame) {
    is_broken_ = true;
    malformed_call_ = codec::sequence_id_of(frame);
  }

  codec::FrameReader frames_;
  bool is_broken_ = false;
  CallId malformed_call_ = 0;  // sequence id of the malformed frame as far as it can be parsed
};

}  // namespace

std::unique_ptr<ClientProtocol> make_thrift_protocol() { return std::make_unique<ThriftProtocol>(); }

}  // namespace edge_proxy::proxy
