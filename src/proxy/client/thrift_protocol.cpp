// SPDX-License-Identifier: MIT
#include "codec/thrift.h"
#include "proxy/client/client_protocol.h"

namespace edge_proxy::proxy {
namespace {

constexpr std::int16_t kTrylater = 1, kAborted = 2;

class ThriftProtocol : public ClientProtocol {
 public:
  std::vector<ClientCall> feed(std::string_view bytes) override {
    std::vector<ClientCall> calls;
    frames_.feed(bytes);
    while (!broken_) {
      const auto frame = frames_.next();
      if (!frame) break;
      auto message = codec::read_message(*frame);
      if (auto* read = std::get_if<codec::Message>(&message)) {
        calls.push_back(std::visit([read](auto& call) { return translate(*read, call); }, read->call));
      } else {
        broken_ = true;
        broken_call_ = codec::sequence_id_of(*frame);
      }
    }
    if (frames_.error() != codec::FrameError::none) {
      broken_ = true;
      broken_call_ = codec::sequence_id_of(frames_.partial_frame());
    }
    return calls;
  }
  [[nodiscard]] bool is_broken() const override { return broken_; }
  [[nodiscard]] bool has_partial_message() const override { return frames_.has_partial_frame(); }

  std::string served(CallId tag, std::string_view body, const ClientFields& fields) override {
    return codec::write_reply(tag, "process", body, fields, true);
  }
  std::string rejected(CallId tag, const ClientFields& fields) override {
    return codec::write_declared_exception(tag, kTrylater, fields);
  }
  std::string failed(CallId tag) override { return codec::write_declared_exception(tag, kAborted, {}); }
  std::string readiness_reply(CallId tag, bool good) override {
    return codec::write_reply(tag, "probe", "", {}, good);
  }
  std::string malformed_stream_reply() override {
    return codec::write_application_exception(broken_call_, "process",
                                              codec::ApplicationError::protocol_error, "unreadable");
  }
  std::string unknown_method_reply(const UnknownMethod& call) override {
    return codec::write_application_exception(call.id, call.method, codec::ApplicationError::unknown_method,
                                              "unknown method");
  }

 private:
  static ClientCall translate(const codec::Message& m, codec::ProcessCall& call) {
    return ObjectRequest{m.sequence_id, std::move(call.fields), std::move(call.body), call.is_readable};
  }
  static ClientCall translate(const codec::Message&, const codec::CancelCall& call) {
    return CancelRequest{call.sequence_id};
  }
  static ClientCall translate(const codec::Message& m, const codec::PingCall&) {
    return ReadinessCheck{m.sequence_id};
  }
  static ClientCall translate(const codec::Message& m, codec::UnknownCall& call) {
    return UnknownMethod{m.sequence_id, std::move(call.method), m.type == codec::MessageType::call};
  }

  codec::FrameReader frames_;
  bool broken_ = false;
  CallId broken_call_ = 0;
};

}  // namespace

std::unique_ptr<ClientProtocol> make_thrift_protocol() { return std::make_unique<ThriftProtocol>(); }

}  // namespace edge_proxy::proxy
