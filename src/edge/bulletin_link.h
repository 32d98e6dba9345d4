// SPDX-License-Identifier: MIT
/// @file
/// The connection to the bulletin: kept up, read without gaps or repeats.
#pragma once

#include <random>
#include <vector>

#include "codec/event_stream.h"
#include "edge/context.h"

namespace dahliahall::edge {

class BulletinLink {
 public:
  BulletinLink(Context& context, const config::Config& config);

  /// Opens the connection; called at the start and when Due::bulletin_connect is.
  void open();
  [[nodiscard]] bool owns(ConnectionId connection) const { return connection != 0 && connection == id_; }
  void connected();
  std::vector<codec::BulletinEvent> bytes(std::string_view bytes);
  /// The bulletin is elsewhere now: its numbers go on, so what is missing is asked for there at once.
  void move_to(const std::string& address);
  /// This program stood still: what has come meanwhile is still to be read.
  void excuse();
  /// Whether its news reach this side, as far as can be told.
  [[nodiscard]] bool heard() const { return up_ && spoke_ && context_.now - read_ < kBulletinHeardWithin; }
  /// The connection failed or was ended by the other side.
  void lost(CloseReason reason);
  /// Ends a connection that has been silent too long, or did not come up.
  void sweep();
  void stop();

 private:
  void end(CloseReason reason, bool close_it);
  /// A part of `span`, drawn anew each time.
  Time part_of(Time span);

  Context& context_;
  std::string address_;
  codec::Names names_;
  std::int64_t last_;
  std::int64_t gap_at_ = -1;  ///< the event after which one was missing
  ConnectionId id_ = 0;
  bool up_ = false;
  bool spoke_ = false;  ///< on this connection
  bool stopped_ = false;
  Time opened_{0}, heard_{0};
  Time read_{0};  ///< a line to its end, or the connection was opened
  Time wait_;
  Time first_patience_;
  Time patience_;  ///< with a connection that does not come up, or says nothing yet
  /// Knuth's generator of 64 bits.
  std::linear_congruential_engine<std::uint64_t, 6364136223846793005U, 1442695040888963407U, 0> draws_;
  std::uint64_t events_ = 0;
  codec::EventStreamReader reader_;
};

}  // namespace dahliahall::edge
