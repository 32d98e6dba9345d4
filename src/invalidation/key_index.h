// SPDX-License-Identifier: MIT
/// @file
/// Indexes the keys in a cache and their tags, so that an invalidation finds the selected keys without a scan
/// of all keys. A hash map leads from each tag to its keys. An ordered set holds all keys; in it the keys
/// with a given prefix, or with the literal prefix of a glob, form one contiguous range.
/// bench/invalidation_index_bench.cpp compares `match` with `match_by_scan`.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "invalidation/selector.h"

namespace edge_proxy::invalidation {

/// An index of keys by key, tag and prefix.
class KeyIndex {
 public:
  /// Adds the key with these tags and ignores duplicate tags. Replaces the tags of a key already present.
  void put(const std::string& key, const std::vector<std::string>& tags);
  /// Removes the key, and each tag that no other key has. Does nothing if the key is absent.
  void erase(const std::string& key);

  /// Returns the selected keys in byte order. A tag or prefix that selects k of n keys takes O(log n + k)
  /// steps; a glob scans the range of its literal prefix.
  [[nodiscard]] std::vector<std::string> match(const Selector& selector) const;
  /// Returns the same keys by a scan of all keys. Serves as the baseline of the benchmark and the tests.
  [[nodiscard]] std::vector<std::string> match_by_scan(const Selector& selector) const;

  [[nodiscard]] std::size_t key_count() const { return keys_.size(); }
  [[nodiscard]] std::size_t tag_count() const { return keys_by_tag_.size(); }

 private:
  using KeySet = std::set<std::string, std::less<>>;

  [[nodiscard]] std::vector<std::string> match_prefix(std::string_view prefix) const;
  [[nodiscard]] std::vector<std::string> match_glob(std::string_view glob) const;

  KeySet keys_;
  std::unordered_map<std::string, std::vector<std::string>> tags_by_key_;
  std::unordered_map<std::string, KeySet> keys_by_tag_;
};

}  // namespace edge_proxy::invalidation
