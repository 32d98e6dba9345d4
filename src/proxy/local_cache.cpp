// SPDX-License-Identifier: MIT
#include "proxy/local_cache.h"

#include <algorithm>
#include <charconv>
#include <functional>

#include "proxy/resource_limits.h"

namespace edge_proxy::proxy {
namespace {

std::uint64_t fingerprint(std::string_view tag, std::string_view body) {
  const std::hash<std::string_view> hash;
  return hash(body) * 0x9e3779b97f4a7c15U + hash(tag);
}

}  // namespace

LocalCache::LocalCache(const config::Config& config)
    : flow_bytes_per_s_(config.flow_bytes_per_s),
      transfer_slots_free_at_(
          flow_bytes_per_s_ > 0
              ? static_cast<std::size_t>(std::clamp(config.link_bytes_per_s / flow_bytes_per_s_, 0.0, 64.0))
              : 0),
      max_bytes_(config.memory_bytes / kLocalCacheMemoryDivisor),
      invalidation_retention_(2 * config.settings.invalidation_settled_after) {}

void LocalCache::resize(std::size_t memory) {
  max_bytes_ = memory / kLocalCacheMemoryDivisor;
  evict();
}

const LocalCache::CachedCopy* LocalCache::find(const Key& key, Time now, Time max_age) {
  const auto found = by_key_.find(key);
  if (found == by_key_.end()) return nullptr;
  const CachedCopy& copy = *found->second;
  // Guards against an answer that is just too old by the time it counts as written.
  if (max_age.count() > 0 && now - copy.created_at >= max_age - kLocalCopyAgeMargin) {
    erase(found->second);
    return nullptr;
  }
  lru_.splice(lru_.begin(), lru_, found->second);
  return &lru_.front();
}

Time LocalCache::transfer_wait(Time now) const {
  if (transfer_slots_free_at_.empty()) return Time::max();
  return std::max(Time{0},
                  *std::min_element(transfer_slots_free_at_.begin(), transfer_slots_free_at_.end()) - now);
}

void LocalCache::record_sent(std::size_t bytes, Time now) {
  if (transfer_slots_free_at_.empty()) return;
  Time& lane = *std::min_element(transfer_slots_free_at_.begin(), transfer_slots_free_at_.end());
  lane = std::max(lane, now) +
         Time{static_cast<std::int64_t>(static_cast<double>(bytes) / flow_bytes_per_s_ * 1e6)};
}

bool LocalCache::is_invalidated_since(Time born, const Key& key, std::int64_t group) const {
  for (const InvalidationKey& what :
       {InvalidationKey{true, key.object}, InvalidationKey{false, static_cast<std::uint64_t>(group)}}) {
    const auto found = invalidations_.find(what);
    if (found != invalidations_.end() && born <= found->second) return true;
  }
  return false;
}

void LocalCache::insert(const Key& key, std::int64_t group, const codec::CacheResponse& answer, Time now) {
  if (transfer_slots_free_at_.empty() || answer.body.empty() ||
      answer.status != codec::CacheResponseStatus::hit)
    return;
  const auto tag = codec::field_in(answer.fields, "ver"), born = codec::field_in(answer.fields, "born");
  std::int64_t ms = 0;
  if (!tag || !born || std::from_chars(born->data(), born->data() + born->size(), ms).ec != std::errc{} ||
      ms <= 0 || ms > std::chrono::floor<std::chrono::milliseconds>(now).count() + 1000)
    return;
  const Time at = std::chrono::milliseconds(ms);
  const auto kept = by_key_.find(key);
  // Guards the rule on purges: the answer may have been under way when the purge was told.
  if (is_invalidated_since(at, key, group) || (kept != by_key_.end() && kept->second->created_at >= at))
    return;
  // Guards against serving noise again: what a peer spoilt on the way can't be told from an object, but does
  // not come twice alike.
  const std::uint64_t print = fingerprint(*tag, answer.body);
  const auto seen = seen_once_.find(key);
  if (seen == seen_once_.end() || seen->second.first != print) {
    if (seen != seen_once_.end()) seen_once_order_.erase(seen->second.second);
    seen_once_[key] = {print, seen_once_order_.insert(seen_once_order_.end(), key)};
    if (seen_once_.size() <= kLocalCacheSeenEntries) return;
    seen_once_.erase(seen_once_order_.front());
    seen_once_order_.pop_front();
    return;
  }
  if (kept != by_key_.end()) erase(kept->second);
  lru_.push_front({key, group, answer.body, std::string(*tag), at});
  by_key_[key] = lru_.begin();
  bytes_ += answer.body.size();
  evict();
}

void LocalCache::invalidate(const codec::Invalidation& recall, Time now) {
  const InvalidationKey what = recall.object
                                   ? InvalidationKey{true, *recall.object}
                                   : InvalidationKey{false, static_cast<std::uint64_t>(recall.group)};
  Time& issued = invalidations_[what];
  issued = std::max(issued, recall.issued_at);
  for (auto copy = lru_.begin(); copy != lru_.end();) {
    const auto next = std::next(copy);
    if (is_invalidated_since(copy->created_at, copy->key, copy->group)) erase(copy);
    copy = next;
  }
  std::erase_if(invalidations_, [&](const auto& e) { return now - e.second > invalidation_retention_; });
}

void LocalCache::erase(LruList::iterator copy) {
  bytes_ -= copy->body.size();
  by_key_.erase(copy->key);
  lru_.erase(copy);
}

void LocalCache::evict() {
  while (bytes_ > max_bytes_ && !lru_.empty()) erase(std::prev(lru_.end()));
}

}  // namespace edge_proxy::proxy
