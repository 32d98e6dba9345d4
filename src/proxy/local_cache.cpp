// SPDX-License-Identifier: MIT
#include "proxy/local_cache.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <iterator>
#include <optional>

#include "proxy/resource_limits.h"

namespace edge_proxy::proxy {
namespace {

constexpr double kMaxTransferSlots = 64;
constexpr std::uint64_t kFingerprintMultiplier = 0x9e3779b97f4a7c15;  // 2^64 / the golden ratio
/// How far the clock of a cache may be ahead of the proxy's clock.
constexpr std::int64_t kMaxClockSkewMs = 1000;
constexpr int kInvalidationRetentionFactor = 2;

std::uint64_t fingerprint_of(std::string_view entity_tag, std::string_view body) {
  const std::hash<std::string_view> hash;
  return hash(body) * kFingerprintMultiplier + hash(entity_tag);
}

/// Returns how many concurrent transfers the link carries.
std::size_t transfer_slot_count(const config::Config& config) {
  if (config.flow_bytes_per_s <= 0) return 0;
  const double slots = config.link_bytes_per_s / config.flow_bytes_per_s;
  return static_cast<std::size_t>(std::clamp(slots, 0.0, kMaxTransferSlots));
}

/// Returns when the copy in a response was created; none if the response has no valid creation time.
std::optional<Time> creation_time_of(const codec::CacheResponse& response, Time now) {
  const auto field = codec::field_in(response.fields, "born");
  if (!field) return std::nullopt;
  std::int64_t milliseconds = 0;
  const auto read = std::from_chars(field->data(), field->data() + field->size(), milliseconds);
  if (read.ec != std::errc{} || milliseconds <= 0) return std::nullopt;
  const std::int64_t now_ms = std::chrono::floor<std::chrono::milliseconds>(now).count();
  if (milliseconds > now_ms + kMaxClockSkewMs) return std::nullopt;
  return std::chrono::milliseconds(milliseconds);
}

}  // namespace

LocalCache::LocalCache(const config::Config& config)
    : flow_bytes_per_s_(config.flow_bytes_per_s),
      transfer_slots_free_at_(transfer_slot_count(config)),
      max_bytes_(config.memory_bytes / kLocalCacheMemoryDivisor),
      invalidation_settled_after_(config.settings.invalidation_settled_after) {}

void LocalCache::resize(std::size_t memory_bytes) {
  max_bytes_ = memory_bytes / kLocalCacheMemoryDivisor;
  evict();
}

const LocalCache::CachedCopy* LocalCache::find(const Key& key, Time now, Time max_age) {
  const auto found = by_key_.find(key);
  if (found == by_key_.end()) return nullptr;
  const CachedCopy& copy = *found->second;
  // The margin covers the time until the reply is written, at which its age counts.
  if (max_age.count() > 0 && now - copy.created_at >= max_age - kLocalCopyAgeMargin) {
    erase(found->second);
    return nullptr;
  }
  lru_.splice(lru_.begin(), lru_, found->second);
  return &lru_.front();
}

bool LocalCache::is_newer_than_gap(const CachedCopy& copy, Time gap_end) const {
  return copy.created_at > gap_end || copy.confirmed_at >= gap_end + invalidation_settled_after_;
}

Time LocalCache::transfer_wait(Time now) const {
  if (transfer_slots_free_at_.empty()) return Time::max();
  return std::max(Time{0},
                  *std::min_element(transfer_slots_free_at_.begin(), transfer_slots_free_at_.end()) - now);
}

void LocalCache::record_sent(std::size_t bytes, Time now) {
  if (transfer_slots_free_at_.empty()) return;
  Time& slot = *std::min_element(transfer_slots_free_at_.begin(), transfer_slots_free_at_.end());
  slot = std::max(slot, now) +
         Time{static_cast<std::int64_t>(static_cast<double>(bytes) / flow_bytes_per_s_ * 1e6)};
}

bool LocalCache::is_invalidated_since(Time created_at, const Key& key, std::int64_t group) const {
  const InvalidationKey by_object{Scope::object, key.object};
  const InvalidationKey by_group{Scope::group, static_cast<std::uint64_t>(group)};
  // An empty optional is less than any time.
  const std::optional<Time> newest =
      std::max(invalidations_.newest(by_object), invalidations_.newest(by_group));
  return newest && created_at <= *newest;
}

void LocalCache::insert(const Key& key, std::int64_t group, const codec::CacheResponse& response, Time now) {
  if (transfer_slots_free_at_.empty() || response.body.empty()) return;
  if (response.status != codec::CacheResponseStatus::hit) return;
  const auto entity_tag = codec::field_in(response.fields, "ver");
  const auto created_at = creation_time_of(response, now);
  if (!entity_tag || !created_at) return;
  // The response may have been sent before an invalidation was announced and have arrived after it.
  if (is_invalidated_since(*created_at, key, group)) return;
  const auto cached = by_key_.find(key);
  if (cached != by_key_.end() && cached->second->created_at >= *created_at) {
    if (cached->second->created_at == *created_at) cached->second->confirmed_at = now;
    return;
  }
  if (!was_seen_before(key, fingerprint_of(*entity_tag, response.body))) return;
  if (cached != by_key_.end()) erase(cached->second);
  lru_.push_front({key, group, response.body, std::string(*entity_tag), *created_at, now});
  by_key_[key] = lru_.begin();
  bytes_ += size_of(lru_.front());
  evict();
}

/// Memory of a copy with its entries in both tables, in bytes.
std::size_t LocalCache::size_of(const CachedCopy& copy) {
  constexpr std::size_t kEntryBytes = 256;
  return kEntryBytes + copy.body.size() + copy.entity_tag.size();
}

/// A body that was corrupted in transit can't be recognized, but is unlikely to arrive twice with the same
/// corruption. Caching only repeated responses keeps a corrupted body from being served again and again.
bool LocalCache::was_seen_before(const Key& key, std::uint64_t fingerprint) {
  const auto seen = seen_once_.find(key);
  if (seen != seen_once_.end()) {
    if (seen->second.fingerprint == fingerprint) return true;
    seen_once_order_.erase(seen->second.position);
  }
  seen_once_[key] = {fingerprint, seen_once_order_.insert(seen_once_order_.end(), key)};
  if (seen_once_.size() > kLocalCacheSeenEntries) {
    seen_once_.erase(seen_once_order_.front());
    seen_once_order_.pop_front();
  }
  return false;
}

void LocalCache::invalidate(const codec::Invalidation& invalidation, Time now) {
  const InvalidationKey scope =
      invalidation.object ? InvalidationKey{Scope::object, *invalidation.object}
                          : InvalidationKey{Scope::group, static_cast<std::uint64_t>(invalidation.group)};
  invalidations_.record(scope, invalidation.issued_at);
  for (auto copy = lru_.begin(); copy != lru_.end();) {
    const auto next = std::next(copy);
    if (is_invalidated_since(copy->created_at, copy->key, copy->group)) erase(copy);
    copy = next;
  }
  invalidations_.forget_until(now - kInvalidationRetentionFactor * invalidation_settled_after_);
}

void LocalCache::erase(LruList::iterator copy) {
  bytes_ -= size_of(*copy);
  by_key_.erase(copy->key);
  lru_.erase(copy);
}

void LocalCache::evict() {
  while (bytes_ > max_bytes_ && !lru_.empty()) erase(std::prev(lru_.end()));
}

}  // namespace edge_proxy::proxy
