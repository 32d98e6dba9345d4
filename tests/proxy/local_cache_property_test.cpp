// SPDX-License-Identifier: MIT
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>

#include "proxy/local_cache.h"
#include "support/scenario.h"

namespace edge_proxy::proxy {
namespace {

constexpr std::int64_t kGroups = 3;
constexpr std::uint64_t kObjects = 12;
constexpr std::size_t kBodyBytes = 400'000;  // about five copies fit into the cache
constexpr Time kStart = std::chrono::hours(500'000);

std::int64_t group_of(std::uint64_t object) { return static_cast<std::int64_t>(object) % kGroups; }

codec::CacheResponse response_of(std::uint64_t object, std::int64_t born_ms) {
  codec::CacheResponse response;
  response.status = codec::CacheResponseStatus::hit;
  response.fields =
      "ver=v" + std::to_string(object) + "-" + std::to_string(born_ms) + ",born=" + std::to_string(born_ms);
  response.body = std::string(kBodyBytes, static_cast<char>('a' + object));
  return response;
}

// Guards against table entries that refer to a copy which was evicted, replaced or invalidated.
RC_GTEST_PROP(LocalCacheProperty, ServesOnlyTheNewestCopyOfItsKeyAndNoneFromBeforeAnInvalidation, ()) {
  LocalCache cache(config::parse(test::config_text({"main"}, {}, 16), {}));
  std::map<std::uint64_t, std::int64_t> invalidated_ms;  // by object
  const std::int64_t start_ms = std::chrono::floor<std::chrono::milliseconds>(kStart).count();
  const auto steps = *rc::gen::inRange(1, 60);
  for (int step = 1; step <= steps; ++step) {
    const Time now = kStart + std::chrono::milliseconds(step);
    const auto object = *rc::gen::inRange<std::uint64_t>(0, kObjects);
    if (*rc::gen::inRange(0, 4) == 0) {
      codec::Invalidation invalidation;
      invalidation.object = object;
      invalidation.issued_at = now;
      cache.invalidate(invalidation, now);
      invalidated_ms[object] = start_ms + step;
    } else {
      const std::int64_t born_ms = start_ms + *rc::gen::inRange(0, step + 1);
      cache.insert({0, object, 0}, group_of(object), response_of(object, born_ms), now);
      cache.insert({0, object, 0}, group_of(object), response_of(object, born_ms), now);
    }
    for (std::uint64_t key = 0; key < kObjects; ++key) {
      const LocalCache::CachedCopy* copy = cache.find({0, key, 0}, now, Time{0});
      if (copy == nullptr) continue;
      RC_ASSERT(copy->key.object == key);
      RC_ASSERT(copy->body.front() == static_cast<char>('a' + key));
      const auto invalidated = invalidated_ms.find(key);
      if (invalidated == invalidated_ms.end()) continue;
      RC_ASSERT(copy->created_at > std::chrono::milliseconds(invalidated->second));
    }
  }
}

}  // namespace
}  // namespace edge_proxy::proxy
