// SPDX-License-Identifier: MIT
/// @file
/// The keys a cache holds and the tags each carries, indexed so that a purge finds its keys without a walk
/// over all of them: tag -> keys in a hash map, and the keys in order, so that a prefix, and the literal
/// front of a glob, are one range. Source: issue 9; measured against `match_by_scan` in
/// bench/invalidation_index_bench.cpp.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "invalidation/selector.h"

namespace edge_proxy::invalidation {

class KeyIndex {
 public:
  /// Holds the key with these tags (duplicates are folded); a key held already has its tags replaced.
  void put(const std::string& key, const std::vector<std::string>& tags);
  /// Forgets the key and its tags; a tag that no key carries any more is forgotten too. No-op if unknown.
  void erase(const std::string& key);

  /// The keys the selector names, in byte order. O(k log n) for a tag or prefix with k keys; a glob scans
  /// the range of its literal front.
  [[nodiscard]] std::vector<std::string> match(const Selector& selector) const;
  /// The same answer by a walk over every key: the plain way, kept as the baseline and for tests.
  [[nodiscard]] std::vector<std::string> match_by_scan(const Selector& selector) const;

  [[nodiscard]] std::size_t keys() const { return keys_.size(); }
  [[nodiscard]] std::size_t tags() const { return by_tag_.size(); }

 private:
  std::set<std::string, std::less<>> keys_;
  std::unordered_map<std::string, std::vector<std::string>> tags_of_;
  std::unordered_map<std::string, std::set<std::string, std::less<>>> by_tag_;
};

}  // namespace edge_proxy::invalidation
