// SPDX-License-Identifier: MIT
#include "event_loop/connection.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <array>
#include <utility>

#include "proxy/resource_limits.h"

namespace edge_proxy::event_loop {

Connection::Connection(proxy::ConnectionId id, ObjectPtr<GSocket> socket, Origin origin, Priority priority)
    : id_(id),
      socket_(std::move(socket)),
      origin_(origin),
      priority_(priority),
      is_connecting_(origin == Origin::connecting) {
  g_socket_set_blocking(socket_.get(), FALSE);
  g_socket_set_option(socket_.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
}

Connection::ServiceOrder Connection::service_order(std::uint32_t ready_events) const {
  if (priority_ == Priority::high) return ServiceOrder::high_priority;
  const bool has_ended = (ready_events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
  return is_accepted() && has_ended ? ServiceOrder::client_disconnected : ServiceOrder::normal;
}

std::uint32_t Connection::wanted_events() const {
  // Input is read even if the client doesn't read its answers, because it may contain a cancel. The reducer
  // bounds the output that is pending for a client.
  std::uint32_t events = 0;
  if (!is_connecting_ && is_reading_) events |= EPOLLIN;
  if (is_connecting_ || !output_.empty()) events |= EPOLLOUT;
  // A client's disconnect is detected at once, even behind unread input, so that caches do no work for a
  // client that is gone.
  if (is_accepted() && priority_ == Priority::normal) events |= EPOLLRDHUP;
  return events;
}

void Connection::update_watch(const Poller& poller) {
  const std::uint32_t events = wanted_events();
  if (watched_events_ == events) return;
  const auto registration = watched_events_ ? Poller::Registration::modify : Poller::Registration::add;
  poller.watch(g_socket_get_fd(socket_.get()), events, registration, id_);
  watched_events_ = events;
}

bool Connection::finish_connecting() {
  is_connecting_ = false;
  return g_socket_check_connect_result(socket_.get(), nullptr) != FALSE;
}

Connection::ReadResult Connection::read(std::span<char> buffer) {
  return read_ahead_bytes() > 0 ? take_read_ahead(buffer) : receive(buffer);
}

Connection::ReadResult Connection::take_read_ahead(std::span<char> buffer) {
  const std::size_t size = std::min(buffer.size(), read_ahead_bytes());
  read_ahead_.copy(buffer.data(), size, read_ahead_taken_);
  read_ahead_taken_ += size;
  if (read_ahead_bytes() == 0) clear_read_ahead();
  return {ReadStatus::data, {buffer.data(), size}};
}

Connection::ReadStatus Connection::read_ahead(std::size_t max_bytes) {
  std::array<char, proxy::kReadChunkBytes> buffer;
  auto status = ReadStatus::data;
  read_ahead_.erase(0, std::exchange(read_ahead_taken_, 0));
  while (status == ReadStatus::data && read_ahead_bytes() < max_bytes) {
    const ReadResult result =
        receive(std::span(buffer).first(std::min(buffer.size(), max_bytes - read_ahead_bytes())));
    read_ahead_.append(result.bytes);
    status = result.status;
  }
  return status;
}

void Connection::clear_read_ahead() {
  std::string().swap(read_ahead_);
  read_ahead_taken_ = 0;
}

Connection::ReadResult Connection::receive(std::span<char> buffer) const {
  Error error;
  const gssize size = g_socket_receive(socket_.get(), buffer.data(), buffer.size(), nullptr, error.out_ptr());
  if (size > 0) return {ReadStatus::data, {buffer.data(), static_cast<std::size_t>(size)}};
  if (size == 0) return {ReadStatus::end_of_stream, {}};
  return {error.matches(G_IO_ERROR_WOULD_BLOCK) ? ReadStatus::would_block : ReadStatus::failed, {}};
}

Connection::ReadStatus Connection::discard_input() {
  std::array<char, proxy::kReadChunkBytes> buffer;
  auto status = ReadStatus::data;
  for (std::size_t bytes = 0; status == ReadStatus::data && bytes < proxy::kMaxDiscardedBytes;
       bytes += buffer.size()) {
    status = read(buffer).status;
  }
  return status;
}

bool Connection::append(std::string bytes) {
  const bool was_empty = output_.empty();
  if (!was_empty && output_.back().size() + bytes.size() <= proxy::kCoalescedWriteBytes) {
    output_.back() += bytes;
  } else {
    output_.push_back(std::move(bytes));
  }
  return was_empty;
}

Connection::FlushResult Connection::flush() {
  while (!output_.empty()) {
    const std::string& piece = output_.front();
    if (written_ == piece.size()) {
      output_.pop_front();
      written_ = 0;
      continue;
    }
    Error error;
    const gssize size = g_socket_send(socket_.get(), piece.data() + written_, piece.size() - written_,
                                      nullptr, error.out_ptr());
    if (size >= 0) {
      written_ += static_cast<std::size_t>(size);
      written_bytes_ += static_cast<std::size_t>(size);
      total_written_bytes_ += static_cast<std::uint64_t>(size);
      continue;
    }
    if (error.matches(G_IO_ERROR_WOULD_BLOCK)) return FlushResult::blocked;
    // The peer has closed the connection. Its last answers may still be unread; closing now would lose them,
    // so the end of the connection is reported only after they have been read.
    write_closed_ = true;
    clear_output();
    return FlushResult::peer_closed;
  }
  if (shutdown_requested_) g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr);
  return FlushResult::drained;
}

bool Connection::take_acknowledgement() {
  int unacknowledged_bytes = 0;
  if (ioctl(g_socket_get_fd(socket_.get()), SIOCOUTQ, &unacknowledged_bytes) != 0) return false;
  const std::uint64_t acknowledged = total_written_bytes_ - static_cast<std::uint64_t>(unacknowledged_bytes);
  return std::exchange(acknowledged_bytes_, acknowledged) < acknowledged;
}

void Connection::clear_output() {
  output_.clear();
  written_ = 0;
}

void Connection::shutdown_write() {
  if (std::exchange(shutdown_requested_, true)) return;
  if (output_.empty()) g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr);
}

}  // namespace edge_proxy::event_loop
