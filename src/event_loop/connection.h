// SPDX-License-Identifier: MIT
/// @file
/// One connected TCP socket with its write buffer.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "event_loop/glib_ptr.h"
#include "event_loop/poller.h"
#include "proxy/reducer.h"

namespace edge_proxy::event_loop {

/// A non-blocking connection. Reads into the caller's buffer; buffers output that the socket doesn't accept
/// yet. It is independent of the reducer: the server turns its results into inputs.
class Connection {
 public:
  enum class Origin {
    accepted,    ///< opened by a client or an operator
    connecting,  ///< opened by this process
  };
  enum class Priority { normal, high };
  /// The order in which ready connections are served.
  enum class ServiceOrder { high_priority, client_disconnected, normal };

  enum class ReadStatus { data, would_block, end_of_stream, failed };
  struct ReadResult {
    ReadStatus status = ReadStatus::would_block;
    std::string_view bytes;  ///< view into the caller's buffer; empty unless the status is `data`
  };
  enum class FlushResult {
    drained,      ///< all output was passed to the kernel
    blocked,      ///< output remains until the socket is writable
    peer_closed,  ///< the peer accepts no more bytes; its earlier output can still be read
  };

  Connection(proxy::ConnectionId id, ObjectPtr<GSocket> socket, Origin origin, Priority priority);

  [[nodiscard]] proxy::ConnectionId id() const { return id_; }
  /// Whether a client or an operator opened the connection.
  [[nodiscard]] bool is_accepted() const { return origin_ == Origin::accepted; }
  [[nodiscard]] bool is_operator() const { return is_accepted() && priority_ == Priority::high; }
  [[nodiscard]] bool is_connecting() const { return is_connecting_; }
  [[nodiscard]] ServiceOrder service_order(std::uint32_t ready_events) const;

  /// Registers the events that the connection waits for with `poller`.
  void update_watch(const Poller& poller);
  /// Leaves the connecting state; returns false if the connection failed.
  [[nodiscard]] bool finish_connecting();
  /// Reads once without blocking; what was read ahead comes first.
  [[nodiscard]] ReadResult read(std::span<char> buffer);
  /// Reads up to `max_bytes` ahead of read(), and returns the status of the last read. It shows whether the
  /// peer has closed behind much unread input: the end of a stream arrives only once all before it has room.
  [[nodiscard]] ReadStatus read_ahead(std::size_t max_bytes);
  /// Bytes that were read ahead and wait for read().
  [[nodiscard]] std::size_t read_ahead_bytes() const { return read_ahead_.size() - read_ahead_taken_; }
  /// Reads and discards at most proxy::kMaxDiscardedBytes; returns the status of the last read.
  [[nodiscard]] ReadStatus discard_input();
  /// Waits for no more input; the end of a client's connection is still reported.
  void stop_reading() {
    is_reading_ = false;
    clear_read_ahead();
  }
  /// Whether the peer still accepts bytes.
  [[nodiscard]] bool is_writable() const { return !write_closed_; }
  /// Appends to the write buffer. Returns true if it was empty; the caller must then call flush().
  [[nodiscard]] bool append(std::string bytes);
  /// Writes as much as the socket accepts.
  FlushResult flush();
  /// Whether the socket has not accepted all output yet.
  [[nodiscard]] bool has_output() const { return !output_.empty(); }
  /// Returns whether the peer has acknowledged bytes since the last call. Its system does so as the peer
  /// reads, once its receive buffer is full.
  [[nodiscard]] bool take_acknowledgement();
  /// Returns how many bytes the system has taken since the last call.
  [[nodiscard]] std::size_t take_written_bytes() { return std::exchange(written_bytes_, 0); }
  /// Shuts down the sending direction once the write buffer is empty.
  void shutdown_write();

 private:
  [[nodiscard]] std::uint32_t wanted_events() const;
  [[nodiscard]] ReadResult receive(std::span<char> buffer) const;
  [[nodiscard]] ReadResult take_read_ahead(std::span<char> buffer);
  void clear_read_ahead();
  void clear_output();

  proxy::ConnectionId id_;
  ObjectPtr<GSocket> socket_;
  Origin origin_;
  Priority priority_;
  std::optional<std::uint32_t> watched_events_;  ///< empty until first registered with the poller
  bool is_connecting_;
  bool is_reading_ = true;
  bool shutdown_requested_ = false;
  bool write_closed_ = false;
  std::string read_ahead_;
  std::size_t read_ahead_taken_ = 0;  ///< bytes at the front that read() has returned
  std::deque<std::string> output_;    ///< in pieces, so that appending neither copies nor reserves memory
  std::size_t written_bytes_ = 0;     ///< since the last call of take_written_bytes()
  std::uint64_t total_written_bytes_ = 0;
  std::uint64_t acknowledged_bytes_ = 0;  ///< at the last call of take_acknowledgement()
  std::size_t written_ = 0;               ///< bytes of the first piece already passed to the kernel
};

}  // namespace edge_proxy::event_loop
