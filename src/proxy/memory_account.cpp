// SPDX-License-Identifier: MIT
#include "proxy/memory_account.h"

#include <algorithm>
#include <utility>

namespace edge_proxy::proxy {
namespace {

/// A use may hold `free * numerator / denominator` bytes, where `free` is what no use holds.
struct Growth {
  std::size_t numerator;
  std::size_t denominator;
};

/// In the order of MemoryUse. Responses get most, then replies, since each is as large as an object. The
/// number of endpoints is bounded by ResourceLimits instead.
constexpr std::array<Growth, kMemoryUseCount> kGrowth{{{1, 1}, {1, 1}, {3, 2}, {2, 1}, {1, 4}, {1, 1}}};

constexpr std::array<std::string_view, kMemoryUseCount> kNames{
    "client_messages", "requests", "client_replies", "endpoint_responses", "admin_calls", "endpoints"};

}  // namespace

std::string_view name_of(MemoryUse use) { return kNames[static_cast<std::size_t>(use)]; }

std::size_t MemoryAccount::allowance_of(MemoryUse use, std::size_t total) const {
  const Growth& growth = kGrowth[static_cast<std::size_t>(use)];
  return free_bytes_at(total) * growth.numerator / growth.denominator;
}

void MemoryAccount::change(MemoryUse use, std::size_t before, std::size_t after) {
  std::size_t& held = held_[static_cast<std::size_t>(use)];
  held = held - before + after;
  total_ = total_ - before + after;
  peak_ = std::max(peak_, total_);
}

std::size_t MemoryAccount::take_peak() { return std::exchange(peak_, total_); }

MemoryCharge::MemoryCharge(MemoryCharge&& other) noexcept
    : account_(other.account_), use_(other.use_), bytes_(std::exchange(other.bytes_, 0)) {}

MemoryCharge& MemoryCharge::operator=(MemoryCharge&& other) noexcept {
  if (this == &other) return *this;
  set(0);
  account_ = other.account_;
  use_ = other.use_;
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

void MemoryCharge::set(std::size_t bytes) {
  account_->change(use_, bytes_, bytes);
  bytes_ = bytes;
}

}  // namespace edge_proxy::proxy
