// SPDX-License-Identifier: MIT
/// @file
/// The memory that the process holds on behalf of its peers, by use. All uses share one limit; each may grow
/// only in proportion to the memory that no use holds (dynamic thresholds, as in shared packet buffers). One
/// kind of peer therefore never takes the memory that the others need, and the total stays below the limit
/// whatever all of them do at once.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace edge_proxy::proxy {

/// What memory is held for.
enum class MemoryUse : std::uint8_t {
  client_messages,     ///< incomplete messages of clients
  requests,            ///< accepted requests, and their bodies until an endpoint has read them
  client_replies,      ///< replies that clients have not read, and reservations for those to come
  endpoint_responses,  ///< incomplete responses of endpoints
  admin_calls,         ///< incomplete calls of operators, and replies to them
  endpoints            ///< the endpoint list, in all tables
};
constexpr std::size_t kMemoryUseCount = 6;

/// Returns the name of the use in the log.
[[nodiscard]] std::string_view name_of(MemoryUse use);

/// Sums of the memory held, in bytes.
class MemoryAccount {
 public:
  explicit MemoryAccount(std::size_t limit) : limit_(limit) {}

  /// Changes the limit, which may then be below the memory that is held already.
  void set_limit(std::size_t limit) { limit_ = limit; }

  [[nodiscard]] std::size_t limit() const { return limit_; }
  [[nodiscard]] std::size_t held(MemoryUse use) const { return held_[static_cast<std::size_t>(use)]; }
  [[nodiscard]] std::size_t total() const { return total_; }
  /// Returns the largest total since the last call, and starts again from the present one.
  std::size_t take_peak();
  /// Returns how much this use may hold while the other uses hold what they do now.
  [[nodiscard]] std::size_t allowance(MemoryUse use) const { return allowance_of(use, total_); }
  [[nodiscard]] bool is_exceeded(MemoryUse use) const { return held(use) > allowance(use); }
  /// Whether the use stays within `multiple` times its allowance if it holds `bytes` more.
  [[nodiscard]] bool has_room_for(MemoryUse use, std::size_t bytes, std::size_t multiple = 1) const {
    return held(use) + bytes <= multiple * allowance_of(use, total_ + bytes);
  }
  [[nodiscard]] bool is_over_limit() const { return total_ > limit_; }
  /// Returns what no use holds.
  [[nodiscard]] std::size_t free_bytes() const { return free_bytes_at(total_); }

 private:
  friend class MemoryCharge;

  [[nodiscard]] std::size_t free_bytes_at(std::size_t total) const {
    return total < limit_ ? limit_ - total : 0;
  }
  [[nodiscard]] std::size_t allowance_of(MemoryUse use, std::size_t total) const;
  void change(MemoryUse use, std::size_t before, std::size_t after);

  std::size_t limit_;
  std::array<std::size_t, kMemoryUseCount> held_{};
  std::size_t total_ = 0;
  std::size_t peak_ = 0;
};

/// The memory that one holder has for one use. It is part of the account's sums until the holder is
/// destroyed.
class MemoryCharge {
 public:
  /// `account` must outlive this object.
  MemoryCharge(MemoryAccount& account, MemoryUse use) : account_(&account), use_(use) {}
  ~MemoryCharge() { set(0); }
  MemoryCharge(MemoryCharge&& other) noexcept;
  MemoryCharge& operator=(MemoryCharge&& other) noexcept;
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  [[nodiscard]] std::size_t bytes() const { return bytes_; }
  /// Replaces the number of bytes that the holder has.
  void set(std::size_t bytes);

 private:
  MemoryAccount* account_;
  MemoryUse use_;
  std::size_t bytes_ = 0;
};

}  // namespace edge_proxy::proxy
