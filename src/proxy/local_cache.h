// SPDX-License-Identifier: MIT
/// @file
/// Copies of objects that the edge proxy caches itself, and the use of its own link, on which they go out. A
/// response is cached when it has come twice alike; the copy used longest ago is evicted first.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "codec/cache_lines.h"
#include "codec/discovery_events.h"
#include "config/config.h"

namespace edge_proxy::proxy {

class LocalCache {
 public:
  /// A part of an object, as requests of one class ask for it.
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
  };

  explicit LocalCache(const config::Config& config);
  /// After a reload: the memory of the whole proxy, of which the cache takes a fixed part, may have changed.
  void resize(std::size_t memory_bytes);

  /// The copy that may be served now, if there is one: younger than `max_age`, unless that is 0. Valid until
  /// the next call.
  const CachedCopy* find(const Key& key, Time now, Time max_age);
  /// How long a transfer would wait for the link.
  [[nodiscard]] Time transfer_wait(Time now) const;
  /// That many bytes go out on the link from now on.
  void record_sent(std::size_t bytes, Time now);

  /// Caches the response of an upstream cache, where it may and should be.
  void insert(const Key& key, std::int64_t group, const codec::CacheResponse& response, Time now);
  /// Drops the copies created up to when the invalidation was issued, and caches no such one any more.
  void invalidate(const codec::Invalidation& invalidation, Time now);

  /// Entries of all tables.
  [[nodiscard]] std::size_t table_entries() const {
    return lru_.size() + seen_once_.size() + invalidations_.size();
  }

 private:
  using LruList = std::list<CachedCopy>;
  /// What an invalidation concerns: one object, or all of a group.
  enum class Scope : std::uint8_t { group, object };
  struct InvalidationKey {
    Scope scope = Scope::group;
    std::uint64_t id = 0;
    auto operator<=>(const InvalidationKey&) const = default;
  };
  /// A response that came once.
  struct SeenResponse {
    std::uint64_t fingerprint = 0;
    std::list<Key>::iterator position;  // in seen_once_order_
  };

  [[nodiscard]] bool is_invalidated_since(Time created_at, const Key& key, std::int64_t group) const;
  /// Whether the same response came before; else remembers this one.
  bool was_seen_before(const Key& key, std::uint64_t fingerprint);
  void erase(LruList::iterator copy);
  void evict();

  double flow_bytes_per_s_;  // of one transfer; 0: nothing is cached
  // When each of the transfers that the link carries at once will be over.
  std::vector<Time> transfer_slots_free_at_;
  std::size_t max_bytes_;
  Time invalidation_retention_;
  LruList lru_;  // the copy used last comes first
  std::map<Key, LruList::iterator> by_key_;
  std::size_t bytes_ = 0;
  std::map<Key, SeenResponse> seen_once_;
  std::list<Key> seen_once_order_;  // oldest first
  std::map<InvalidationKey, Time> invalidations_;
};

}  // namespace edge_proxy::proxy
