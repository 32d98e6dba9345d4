// SPDX-License-Identifier: MIT
/// @file
/// A client connection with blocking reads and writes, for threads that load a started program.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace edge_proxy::test {

class BlockingClient {
 public:
  /// Connects to a loopback port; is_open() is false if that fails. `receive_buffer_bytes`: size of the
  /// system's buffer for unread replies; 0 keeps the default.
  explicit BlockingClient(int port, int receive_buffer_bytes = 0);
  ~BlockingClient();
  BlockingClient(const BlockingClient&) = delete;
  BlockingClient& operator=(const BlockingClient&) = delete;

  [[nodiscard]] bool is_open() const { return socket_ >= 0; }
  /// Sends all bytes; returns false if the connection has ended.
  bool send(std::string_view bytes);
  /// Receives the next frame of the protocol without its length; none if the connection has ended.
  std::optional<std::string> receive_frame();
  /// Whether bytes can be read or the connection has ended.
  [[nodiscard]] bool has_input() const;
  /// Receives and discards bytes until the connection ends or `duration` has passed. Returns whether it
  /// ended.
  bool discard_for(std::chrono::milliseconds duration);
  /// Waits until the peer has closed or reset the connection, without reading, or until `duration` has
  /// passed. Returns whether it ended.
  [[nodiscard]] bool wait_for_end(std::chrono::milliseconds duration) const;

 private:
  bool receive_exactly(char* bytes, std::size_t size);

  int socket_ = -1;
};

}  // namespace edge_proxy::test
