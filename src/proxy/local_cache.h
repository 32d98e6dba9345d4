// SPDX-License-Identifier: MIT
/// @file
/// The edge proxy's own cache of objects, and the utilization of its link, on which the copies are sent. A
/// response is cached when the same response has arrived twice; the least recently used copy is evicted
/// first.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/invalidation_times.h"
#include "codec/cache_lines.h"
#include "codec/discovery_events.h"
#include "config/config.h"

namespace edge_proxy::proxy {

class LocalCache {
 public:
  /// Identifies a part of an object for requests of one class.
  struct Key {
    std::size_t request_class = 0;
    std::uint64_t object = 0;
    std::uint64_t part = 0;
    auto operator<=>(const Key&) const = default;
  };
  struct CachedCopy {
    Key key;
    std::int64_t group = 0;
    std::string body;
    std::string entity_tag;
    Time created_at{0};
    Time confirmed_at{0};  ///< when an upstream cache last sent this copy
  };

  explicit LocalCache(const config::Config& config);
  /// Changes the size after a reload; the cache uses a fixed fraction of the proxy's memory limit.
  void resize(std::size_t memory_bytes);

  /// Returns a copy that may be served now, or null. It is younger than `max_age`; 0 means no limit. The
  /// pointer is valid until the next call of a member function.
  const CachedCopy* find(const Key& key, Time now, Time max_age);
  /// Whether no invalidation that was issued until `gap_end` and may be missing can apply to the copy: it was
  /// created later, or an upstream cache still sent it when such an invalidation was settled everywhere.
  [[nodiscard]] bool is_newer_than_gap(const CachedCopy& copy, Time gap_end) const;
  /// Returns how long a new transfer would wait for the link.
  [[nodiscard]] Time transfer_wait(Time now) const;
  /// Records that a transfer of this size starts on the link now.
  void record_sent(std::size_t bytes, Time now);

  /// Caches the response of an upstream cache if it is cacheable and has arrived twice.
  void insert(const Key& key, std::int64_t group, const codec::CacheResponse& response, Time now);
  /// Drops the copies that were created until the invalidation was issued, and caches no such copy later.
  void invalidate(const codec::Invalidation& invalidation, Time now);

  /// Total number of entries in all tables.
  [[nodiscard]] std::size_t table_entries() const {
    return lru_.size() + seen_once_.size() + invalidations_.size();
  }

 private:
  using LruList = std::list<CachedCopy>;
  /// Whether an invalidation applies to one object or to a group of objects.
  enum class Scope : std::uint8_t { group, object };
  struct InvalidationKey {
    Scope scope = Scope::group;
    std::uint64_t id = 0;
    auto operator<=>(const InvalidationKey&) const = default;
  };
  /// A response that has arrived once.
  struct SeenResponse {
    std::uint64_t fingerprint = 0;
    std::list<Key>::iterator position;  // in seen_once_order_
  };

  [[nodiscard]] bool is_invalidated_since(Time created_at, const Key& key, std::int64_t group) const;
  /// Returns whether the same response has arrived before; if not, remembers it.
  bool was_seen_before(const Key& key, std::uint64_t fingerprint);
  [[nodiscard]] static std::size_t size_of(const CachedCopy& copy);
  void erase(LruList::iterator copy);
  void evict();

  double flow_bytes_per_s_;  // rate of one transfer; 0: nothing is cached
  // One entry for each concurrent transfer of the link: the time at which it will be finished.
  std::vector<Time> transfer_slots_free_at_;
  std::size_t max_bytes_;
  Time invalidation_settled_after_;
  LruList lru_;  // most recently used copy first
  std::map<Key, LruList::iterator> by_key_;
  std::size_t bytes_ = 0;
  std::map<Key, SeenResponse> seen_once_;
  std::list<Key> seen_once_order_;  // oldest first
  InvalidationTimes<InvalidationKey> invalidations_;
};

}  // namespace edge_proxy::proxy
