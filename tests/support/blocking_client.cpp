// SPDX-License-Identifier: MIT
#include "support/blocking_client.h"

#include <poll.h>
#include <unistd.h>

#include <array>

#include "support/loopback.h"

namespace edge_proxy::test {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kLengthBytes = 4;

/// Waits for the events; returns those that occurred, 0 after `duration`.
short wait_for(int socket, short events, std::chrono::milliseconds duration) {
  pollfd polled{socket, events, 0};
  return poll(&polled, 1, static_cast<int>(duration.count())) > 0 ? polled.revents : short{0};
}

}  // namespace

BlockingClient::BlockingClient(int port, int receive_buffer_bytes) {
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer_bytes > 0)
    setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
  const sockaddr_in address = loopback_address(port);
  if (connect(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return;
  close(socket_);
  socket_ = -1;
}

BlockingClient::~BlockingClient() {
  if (socket_ >= 0) close(socket_);
}

bool BlockingClient::send(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t size = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(size));
  }
  return true;
}

bool BlockingClient::receive_exactly(char* bytes, std::size_t size) {
  return recv(socket_, bytes, size, MSG_WAITALL) == static_cast<ssize_t>(size);
}

std::optional<std::string> BlockingClient::receive_frame() {
  std::array<char, kLengthBytes> prefix{};
  if (!receive_exactly(prefix.data(), prefix.size())) return std::nullopt;
  std::size_t length = 0;
  for (const char byte : prefix) length = length << 8U | static_cast<unsigned char>(byte);
  std::string frame(length, '\0');
  if (!receive_exactly(frame.data(), length)) return std::nullopt;
  return frame;
}

bool BlockingClient::has_input() const {
  return wait_for(socket_, POLLIN, std::chrono::milliseconds(0)) != 0;
}

bool BlockingClient::discard_for(std::chrono::milliseconds duration) {
  std::array<char, 65536> buffer;
  const auto deadline = Clock::now() + duration;
  while (Clock::now() < deadline) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - Clock::now());
    if (wait_for(socket_, POLLIN, left) == 0) return false;
    if (recv(socket_, buffer.data(), buffer.size(), 0) <= 0) return true;
  }
  return false;
}

bool BlockingClient::wait_for_end(std::chrono::milliseconds duration) const {
  return wait_for(socket_, POLLRDHUP, duration) != 0;
}

}  // namespace edge_proxy::test
