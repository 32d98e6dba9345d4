// SPDX-License-Identifier: MIT
#include "invalidation/key_index.h"

#include <algorithm>

namespace edge_proxy::invalidation {

void KeyIndex::put(const std::string& key, const std::vector<std::string>& tags) {
  erase(key);
  std::vector<std::string> folded = tags;
  std::sort(folded.begin(), folded.end());
  folded.erase(std::unique(folded.begin(), folded.end()), folded.end());
  for (const std::string& tag : folded) by_tag_[tag].insert(key);
  keys_.insert(key);
  tags_of_[key] = std::move(folded);
}

void KeyIndex::erase(const std::string& key) {
  const auto found = tags_of_.find(key);
  if (found == tags_of_.end()) return;
  for (const std::string& tag : found->second) {
    const auto holders = by_tag_.find(tag);
    holders->second.erase(key);
    if (holders->second.empty()) by_tag_.erase(holders);
  }
  tags_of_.erase(found);
  keys_.erase(key);
}

std::vector<std::string> KeyIndex::match(const Selector& selector) const {
  std::vector<std::string> out;
  switch (selector.kind) {
    case SelectorKind::key:
      if (keys_.count(selector.text) != 0) out.push_back(selector.text);
      break;
    case SelectorKind::tag:
      if (const auto found = by_tag_.find(selector.text); found != by_tag_.end())
        out.assign(found->second.begin(), found->second.end());
      break;
    case SelectorKind::prefix:
    case SelectorKind::glob: {
      const bool glob = selector.kind == SelectorKind::glob;
      const std::string_view front = glob ? literal_prefix(selector.text) : std::string_view(selector.text);
      for (auto it = keys_.lower_bound(front); it != keys_.end() && it->starts_with(front); ++it)
        if (!glob || glob_matches(selector.text, *it)) out.push_back(*it);
      break;
    }
  }
  return out;
}

std::vector<std::string> KeyIndex::match_by_scan(const Selector& selector) const {
  std::vector<std::string> out;
  for (const auto& [key, tags] : tags_of_)
    if (names(selector, key, tags)) out.push_back(key);
  std::sort(out.begin(), out.end());
  return out;
}

}  // namespace edge_proxy::invalidation
