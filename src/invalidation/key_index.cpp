// SPDX-License-Identifier: MIT
#include "invalidation/key_index.h"

#include <algorithm>

namespace edge_proxy::invalidation {

void KeyIndex::put(const std::string& key, const std::vector<std::string>& tags) {
  erase(key);
  std::vector<std::string> distinct = tags;
  std::sort(distinct.begin(), distinct.end());
  distinct.erase(std::unique(distinct.begin(), distinct.end()), distinct.end());
  for (const std::string& tag : distinct) keys_by_tag_[tag].insert(key);
  keys_.insert(key);
  tags_by_key_[key] = std::move(distinct);
}

void KeyIndex::erase(const std::string& key) {
  const auto found = tags_by_key_.find(key);
  if (found == tags_by_key_.end()) return;
  for (const std::string& tag : found->second) {
    const auto tagged = keys_by_tag_.find(tag);
    tagged->second.erase(key);
    if (tagged->second.empty()) keys_by_tag_.erase(tagged);
  }
  tags_by_key_.erase(found);
  keys_.erase(key);
}

std::vector<std::string> KeyIndex::match(const Selector& selector) const {
  switch (selector.kind) {
    case SelectorKind::key:
      if (keys_.contains(selector.text)) return {selector.text};
      return {};
    case SelectorKind::tag: {
      const auto found = keys_by_tag_.find(selector.text);
      if (found == keys_by_tag_.end()) return {};
      return {found->second.begin(), found->second.end()};
    }
    case SelectorKind::prefix:
      return match_prefix(selector.text);
    case SelectorKind::glob:
      return match_glob(selector.text);
  }
  return {};
}

std::vector<std::string> KeyIndex::match_prefix(std::string_view prefix) const {
  std::vector<std::string> matches;
  for (auto key = keys_.lower_bound(prefix); key != keys_.end() && key->starts_with(prefix); ++key) {
    matches.push_back(*key);
  }
  return matches;
}

std::vector<std::string> KeyIndex::match_glob(std::string_view glob) const {
  const std::string_view prefix = literal_prefix(glob);
  std::vector<std::string> matches;
  for (auto key = keys_.lower_bound(prefix); key != keys_.end() && key->starts_with(prefix); ++key) {
    if (glob_matches(glob, *key)) matches.push_back(*key);
  }
  return matches;
}

std::vector<std::string> KeyIndex::match_by_scan(const Selector& selector) const {
  std::vector<std::string> matches;
  for (const auto& [key, tags] : tags_by_key_) {
    if (selects(selector, key, tags)) matches.push_back(key);
  }
  std::sort(matches.begin(), matches.end());
  return matches;
}

}  // namespace edge_proxy::invalidation
