// SPDX-License-Identifier: MIT
/// @file
/// The replies that wait for one client: the bytes that the system has not taken yet, and the memory that is
/// reserved for the replies to its open calls. The reservation is made at admission, so that the reply to an
/// accepted request always finds room.
#pragma once

#include <cstddef>
#include <cstdint>

#include "proxy/memory_account.h"
#include "proxy/reducer.h"

namespace edge_proxy::proxy {

/// What a reply answers.
enum class ReplyTo : std::uint8_t {
  accepted_request,  ///< its size was reserved
  other_call         ///< a rejected or malformed request, or another method
};

class ReplyBacklog {
 public:
  /// `memory` must outlive this object.
  explicit ReplyBacklog(MemoryAccount& memory) : memory_(memory, MemoryUse::client_replies) {}

  /// Bytes that the system has not taken yet; they count no longer as soon as it takes them.
  [[nodiscard]] std::size_t unread_bytes() const { return unread_bytes_; }
  /// Unread bytes and reservations.
  [[nodiscard]] std::size_t held_bytes() const { return memory_.bytes(); }
  /// Unread bytes of replies for which nothing was reserved. What the system takes counts as these first.
  [[nodiscard]] std::size_t unreserved_bytes() const { return unreserved_bytes_; }
  /// Whether the system has not taken all bytes.
  [[nodiscard]] bool is_writing() const { return is_writing_; }

  /// Returns for how long the client has read nothing although bytes wait for it; 0 if none do.
  [[nodiscard]] Time stalled_for(Time now) const { return is_writing_ ? now - progressed_at_ : Time{0}; }

  /// Reserves memory for the reply to an accepted request.
  void reserve(std::size_t bytes);
  /// Releases a reservation, since the reply follows or none will come.
  void release(std::size_t bytes);
  /// Adds a reply that is written.
  void add(std::size_t bytes, ReplyTo call, Time now);
  /// The client has read on: the system has taken `bytes` more; others remain.
  void on_progress(std::size_t bytes, Time now);
  /// The system has taken all bytes.
  void on_drained();

 private:
  void update_memory() { memory_.set(unread_bytes_ + reserved_bytes_); }

  std::size_t unread_bytes_ = 0;
  std::size_t unreserved_bytes_ = 0;  // a part of unread_bytes_
  std::size_t reserved_bytes_ = 0;
  bool is_writing_ = false;
  Time progressed_at_{0};  // of the last progress, or of the first byte that waits
  MemoryCharge memory_;
};

}  // namespace edge_proxy::proxy
