// SPDX-License-Identifier: MIT
/// @file
/// One connected TCP socket with its write buffer.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "event_loop/glib_ptr.h"
#include "event_loop/poller.h"
#include "proxy/reducer.h"

namespace edge_proxy::event_loop {

/// A non-blocking connection: reads into a buffer of the caller's, buffers what the socket does not take yet.
/// It knows nothing of the reducer; the server turns its results into inputs.
class Connection {
 public:
  enum class Origin {
    accepted,    ///< of a client or an operator
    connecting,  ///< begun here
  };
  enum class Priority { normal, high };
  /// The order in which connections that are ready are served.
  enum class ServiceOrder { high_priority, client_disconnected, normal };

  enum class ReadStatus { data, would_block, end_of_stream, failed };
  struct ReadResult {
    ReadStatus status = ReadStatus::would_block;
    std::string_view bytes;  ///< in the caller's buffer; not empty for `data` alone
  };
  enum class FlushResult {
    drained,      ///< all is with the system
    blocked,      ///< the rest waits for the socket
    peer_closed,  ///< the peer takes no more bytes; what it sent before can still be read
  };

  Connection(proxy::ConnectionId id, ObjectPtr<GSocket> socket, Origin origin, Priority priority);

  [[nodiscard]] proxy::ConnectionId id() const { return id_; }
  /// Whether the connection was accepted here: it is a client's or an operator's.
  [[nodiscard]] bool is_accepted() const { return origin_ == Origin::accepted; }
  [[nodiscard]] bool is_operator() const { return is_accepted() && priority_ == Priority::high; }
  [[nodiscard]] bool is_connecting() const { return is_connecting_; }
  [[nodiscard]] ServiceOrder service_order(std::uint32_t ready_events) const;

  /// Brings what `poller` watches in line with what the connection waits for.
  void update_watch(const Poller& poller);
  /// Ends the connecting state. False: the connection failed.
  [[nodiscard]] bool finish_connecting();
  /// Reads once, without waiting.
  [[nodiscard]] ReadResult read(std::span<char> buffer) const;
  /// Reads and discards proxy::kMaxDiscardedBytes at most; the result is that of the last read.
  [[nodiscard]] ReadStatus discard_input() const;
  /// Whether the peer still takes bytes.
  [[nodiscard]] bool is_writable() const { return !write_closed_; }
  /// Appends to the write buffer. True: it was empty and flush() is to be called.
  [[nodiscard]] bool append(std::string_view bytes);
  /// Writes as much as the socket takes.
  FlushResult flush();
  /// Ends this side's half once all is written.
  void shutdown_write();

 private:
  [[nodiscard]] std::uint32_t wanted_events() const;
  void discard_written();
  void clear_output();

  proxy::ConnectionId id_;
  ObjectPtr<GSocket> socket_;
  Origin origin_;
  Priority priority_;
  std::optional<std::uint32_t> watched_events_;  ///< none before the first watch
  bool is_connecting_;
  bool shutdown_requested_ = false;
  bool write_closed_ = false;
  std::string output_;
  std::size_t written_ = 0;  ///< bytes of output_ that the system has taken
};

}  // namespace edge_proxy::event_loop
