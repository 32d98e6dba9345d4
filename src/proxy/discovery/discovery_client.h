// SPDX-License-Identifier: MIT
/// @file
/// The connection to the discovery service: kept up, and its event stream read without gaps or repeats.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "codec/event_stream.h"
#include "proxy/context.h"

namespace edge_proxy::proxy {

class DiscoveryClient {
 public:
  DiscoveryClient(Context& context, const config::Config& config);

  /// Opens the connection; called at the start and when a timer discovery_connect expires.
  void open();
  [[nodiscard]] bool owns(ConnectionId connection) const {
    return connection != 0 && connection == connection_;
  }
  void on_connected();
  /// The events that are complete by now, each once and in their order.
  std::vector<codec::DiscoveryEvent> on_bytes(std::string_view bytes);
  /// The discovery service is at another address now: event numbers go on, so the events that are missing
  /// are asked for there at once.
  void set_address(const std::string& address);
  /// The event loop stalled: what has come meanwhile is still to be read.
  void on_loop_stall();
  /// Whether events arrive in time, as far as can be seen from here.
  [[nodiscard]] bool is_current() const {
    return is_connected_ && has_data_ && context_.now - last_line_at_ < kDiscoverySilenceLimit;
  }
  /// The connection failed or was ended by the other side.
  void on_closed(CloseReason reason);
  /// Ends a connection that has been silent too long, or did not come up.
  void close_if_silent();
  void stop();

 private:
  void close(CloseReason reason, ClosedBy closed_by);
  std::optional<codec::DiscoveryEvent> parse(const codec::StreamEvent& frame);
  bool is_gap_before(const codec::DiscoveryEvent& event);
  /// A random part of `span`.
  Time random_delay(Time max_delay);

  Context& context_;
  std::string address_;
  codec::DiscoveryNames field_names_;
  std::int64_t last_event_;
  std::int64_t gap_after_ = -1;  ///< the event after which one was missing
  ConnectionId connection_ = 0;
  bool is_connected_ = false;
  bool has_data_ = false;  ///< on this connection
  bool stopped_ = false;
  Time opened_at_{0};
  Time last_byte_at_{0};
  Time last_line_at_{0};  ///< a complete line, or the connection was opened
  Time backoff_;
  Time initial_timeout_;
  Time timeout_;  ///< with a connection that does not come up, or says nothing yet
  /// Knuth's generator of 64 bits.
  std::linear_congruential_engine<std::uint64_t, 6364136223846793005U, 1442695040888963407U, 0> random_;
  std::uint64_t event_count_ = 0;  ///< on this connection
  codec::EventStreamReader reader_;
};

}  // namespace edge_proxy::proxy
