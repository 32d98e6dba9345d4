// SPDX-License-Identifier: MIT
/// @file
/// Copies of objects that the edge proxy keeps itself, and its own link, on which they go out.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
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
    std::uint64_t object = 0, part = 0;
    auto operator<=>(const Key&) const = default;
  };
  struct CachedCopy {
    Key key;
    std::int64_t group = 0;
    std::string body, entity_tag;
    Time created_at{0};
  };

  explicit LocalCache(const config::Config& config);
  /// After a reload: the part of the memory may have changed.
  void resize(std::size_t memory);

  /// The copy that may be served now, if there is one: younger than `max_age`, unless that is 0.
  const CachedCopy* find(const Key& key, Time now, Time max_age);
  /// How long a transfer would wait for the link.
  [[nodiscard]] Time transfer_wait(Time now) const;
  /// That many bytes go out from now on.
  void record_sent(std::size_t bytes, Time now);

  /// A cache's good answer, to be kept or not.
  void insert(const Key& key, std::int64_t group, const codec::CacheResponse& answer, Time now);
  void invalidate(const codec::Invalidation& recall, Time now);

  [[nodiscard]] std::size_t table_entries() const {
    return lru_.size() + seen_once_.size() + invalidations_.size();
  }

 private:
  using LruList = std::list<CachedCopy>;
  using InvalidationKey = std::pair<bool, std::uint64_t>;  // an object, or a group

  [[nodiscard]] bool is_invalidated_since(Time born, const Key& key, std::int64_t group) const;
  void erase(LruList::iterator copy);
  void evict();

  double flow_bytes_per_s_;  // bytes a second of one transfer; 0: nothing is kept
  std::vector<Time>
      transfer_slots_free_at_;  // when each of the transfers that the link bears at once will be over
  std::size_t max_bytes_;
  Time invalidation_retention_;
  LruList lru_;  // the one used last first
  std::map<Key, LruList::iterator> by_key_;
  std::size_t bytes_ = 0;
  // What came once: a fingerprint of it, oldest first.
  std::map<Key, std::pair<std::uint64_t, std::list<Key>::iterator>> seen_once_;
  std::list<Key> seen_once_order_;
  std::map<InvalidationKey, Time> invalidations_;
};

}  // namespace edge_proxy::proxy
