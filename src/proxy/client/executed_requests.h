// SPDX-License-Identifier: MIT
/// @file
/// Remembers requests that have ended and may have run, of the classes whose requests must not run twice.
/// Clients use each id once; one that has left may still send its request again under the same id, on another
/// connection. Such a repeat is accepted only as far as its class allows.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string_view>

#include "edge_proxy/router.h"
#include "proxy/memory_account.h"

namespace edge_proxy::proxy {

/// An attempt that has ended and may have run.
struct ExecutedAttempt {
  std::string_view request;  ///< 16 hex digits
  std::string_view key;      ///< idempotency key; empty: none
  std::size_t request_class = 0;
  Time decided_at{0};  ///< not later than it was sent
};

/// What a request that comes again may do.
struct RepeatPermission {
  bool is_allowed = true;
  /// The endpoints discard the duplicate only if it is sent before this time; none: no limit.
  std::optional<Time> send_before;
};

/// A table of bounded size, oldest entries first. It needs as much memory as it has entries.
class ExecutedRequests {
 public:
  /// `settings` and `memory` must outlive this object.
  ExecutedRequests(const Settings& settings, MemoryAccount& memory, std::size_t max_entries)
      : settings_(settings), max_entries_(max_entries), memory_(memory, MemoryUse::requests) {}

  /// Changes the maximum number of entries; the oldest entries above it are forgotten.
  void set_max_entries(std::size_t max_entries);
  /// Remembers the request of an attempt that has ended and may have run. Requests that may run any number of
  /// times are not remembered.
  void record(const ExecutedAttempt& attempt, Time now);
  /// Returns whether a request may run although one with its id may have run before.
  [[nodiscard]] RepeatPermission permission_for(std::string_view request, std::size_t request_class,
                                                std::string_view key, Time now) const;
  /// Forgets the requests for which no client waits any longer, so that none of them comes again.
  void forget_expired(Time now);
  [[nodiscard]] std::size_t size() const { return by_id_.size(); }

 private:
  struct Entry {
    std::uint64_t id = 0;
    std::uint64_t key_hash = 0;
    Time first_decided_at{0};
    Time recorded_at{0};
  };

  void forget_oldest();
  void update_memory();

  const Settings& settings_;
  std::size_t max_entries_;
  std::list<Entry> entries_;  // in the order of `recorded_at`
  std::map<std::uint64_t, std::list<Entry>::iterator> by_id_;
  MemoryCharge memory_;
};

}  // namespace edge_proxy::proxy
