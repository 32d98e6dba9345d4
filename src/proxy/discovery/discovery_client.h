// SPDX-License-Identifier: MIT
/// @file
/// The connection to the discovery service: reconnects after failures and reads the event stream without gaps
/// or repeats.
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

  /// Opens the connection; called at the start and when a discovery_connect timer expires.
  void open();
  [[nodiscard]] bool owns(ConnectionId connection) const {
    return connection != 0 && connection == connection_;
  }
  void on_connected();
  /// Returns the events that these bytes complete, each once and in order.
  std::vector<codec::DiscoveryEvent> on_bytes(std::string_view bytes);
  /// Connects to the discovery service at another address. Event numbers continue there, so that the missing
  /// events are requested from it at once.
  void set_address(const std::string& address);
  /// Restarts the timeouts after an event loop stall, since bytes that arrived during it are still unread.
  void on_loop_stall();
  /// Whether the connection is alive, so that no event can be missing for long.
  [[nodiscard]] bool is_current() const {
    return is_connected_ && has_data_ && context_.now - last_line_at_ < kDiscoverySilenceLimit;
  }
  /// Returns the end of a gap in the stream whose events may still be missing: the time of the first byte of
  /// this connection, until an invalidation has arrived that was issued later. Events arrive in order, so
  /// that it follows all that were missed. Neither the head of the stream nor a comment shows that.
  [[nodiscard]] std::optional<Time> unconfirmed_gap_end() const { return unconfirmed_gap_end_; }
  /// Handles a connection that failed or was closed by the discovery service.
  void on_closed(CloseReason reason);
  /// Closes a connection that has been silent for too long or was not established in time.
  void close_if_silent();
  void stop();

 private:
  void close(CloseReason reason, ClosedBy closed_by);
  std::optional<codec::DiscoveryEvent> parse(const codec::StreamEvent& frame);
  bool is_gap_before(const codec::DiscoveryEvent& event);
  void confirm_gap(const codec::DiscoveryEvent& event);
  /// Returns a random duration below `max_delay`.
  Time random_delay(Time max_delay);

  Context& context_;
  std::string address_;
  codec::DiscoveryNames field_names_;
  std::int64_t last_event_;
  std::int64_t gap_after_ = -1;  ///< the event before the last gap
  ConnectionId connection_ = 0;
  bool is_connected_ = false;
  bool has_data_ = false;  ///< on this connection
  bool stopped_ = false;
  std::optional<Time> unconfirmed_gap_end_;
  Time opened_at_{0};
  Time last_byte_at_{0};
  Time last_line_at_{0};  ///< time of the last complete line, at first that of the opening
  Time backoff_;
  Time initial_timeout_;
  Time timeout_;  ///< for the opening and the first byte of a connection
  /// Knuth's 64-bit linear congruential generator.
  std::linear_congruential_engine<std::uint64_t, 6364136223846793005U, 1442695040888963407U, 0> random_;
  std::uint64_t event_count_ = 0;  ///< on this connection
  codec::EventStreamReader reader_;
};

}  // namespace edge_proxy::proxy
