// SPDX-License-Identifier: MIT
#include "invalidation/selector.h"

#include <algorithm>
#include <array>
#include <utility>

namespace edge_proxy::invalidation {
namespace {

constexpr std::size_t kLongest = 512;

bool printable(char c) { return c > ' ' && c < 127; }
bool wildcard(char c) { return c == '*' || c == '?'; }

}  // namespace

std::variant<Selector, SelectorError> parse_selector(std::string_view text) {
  static constexpr std::array<std::pair<std::string_view, SelectorKind>, 4> kinds{
      {{"key", SelectorKind::key},
       {"tag", SelectorKind::tag},
       {"prefix", SelectorKind::prefix},
       {"glob", SelectorKind::glob}}};
  const auto colon = text.find(':');
  if (colon == std::string_view::npos)
    return SelectorError{"purge selector '" + std::string(text) +
                         "': want KIND:TEXT (key, tag, prefix, glob)"};
  const std::string_view kind = text.substr(0, colon);
  const std::string_view rest = text.substr(colon + 1);
  const auto found = std::find_if(kinds.begin(), kinds.end(), [&](const auto& k) { return k.first == kind; });
  if (found == kinds.end())
    return SelectorError{"purge selector '" + std::string(text) + "': unknown kind '" + std::string(kind) +
                         "' (key, tag, prefix, glob)"};
  const SelectorKind chosen = found->second;
  if (rest.size() > kLongest)
    return SelectorError{"purge selector of kind " + std::string(kind) + ": longer than 512 bytes"};
  if (rest.empty() && chosen != SelectorKind::prefix)
    return SelectorError{"purge selector '" + std::string(text) + "': empty " + std::string(kind)};
  if (!std::all_of(rest.begin(), rest.end(), printable))
    return SelectorError{"purge selector '" + std::string(text) + "': space or unprintable byte"};
  if (chosen != SelectorKind::glob && std::any_of(rest.begin(), rest.end(), wildcard))
    return SelectorError{"purge selector '" + std::string(text) + "': '*' and '?' belong to glob only"};
  return Selector{chosen, std::string(rest)};
}

bool glob_matches(std::string_view glob, std::string_view key) {
  std::size_t g = 0, k = 0;
  std::size_t star = std::string_view::npos, resume = 0;
  while (k < key.size()) {
    if (g < glob.size() && (glob[g] == '?' || glob[g] == key[k])) {
      ++g;
      ++k;
    } else if (g < glob.size() && glob[g] == '*') {
      star = g++;
      resume = k;
    } else if (star != std::string_view::npos) {
      g = star + 1;
      k = ++resume;
    } else {
      return false;
    }
  }
  while (g < glob.size() && glob[g] == '*') ++g;
  return g == glob.size();
}

bool names(const Selector& selector, std::string_view key, const std::vector<std::string>& tags) {
  switch (selector.kind) {
    case SelectorKind::key:
      return key == selector.text;
    case SelectorKind::tag:
      return std::find(tags.begin(), tags.end(), selector.text) != tags.end();
    case SelectorKind::prefix:
      return key.starts_with(selector.text);
    case SelectorKind::glob:
      return glob_matches(selector.text, key);
  }
  return false;
}

std::string_view literal_prefix(std::string_view glob) {
  const auto first = std::find_if(glob.begin(), glob.end(), wildcard);
  return glob.substr(0, static_cast<std::size_t>(first - glob.begin()));
}

}  // namespace edge_proxy::invalidation
