// SPDX-License-Identifier: MIT
/// @file
/// The keys that a cache holds with their tags, indexed so that an invalidation finds its keys without a scan
/// of all of them: a hash map from tags to keys, and the keys in order, where a prefix, and the literal
/// prefix of a glob, are one range. Source: issue 9; measured against `match_by_scan` in
/// bench/invalidation_index_bench.cpp.
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
  /// Adds the key with these tags, of which duplicates count once; replaces the tags of a known key.
  void put(const std::string& key, const std::vector<std::string>& tags);
  /// Removes the key, and each tag that no other key carries. Does nothing for an unknown key.
  void erase(const std::string& key);

  /// The selected keys, in byte order. O(log n + k) for a tag or prefix of k keys; a glob scans the range of
  /// its literal prefix.
  [[nodiscard]] std::vector<std::string> match(const Selector& selector) const;
  /// The same by a scan of every key: the baseline of the benchmark and of tests.
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
