// SPDX-License-Identifier: MIT
#include "invalidation/selector.h"

#include <algorithm>
#include <array>
#include <optional>

namespace edge_proxy::invalidation {
namespace {

constexpr std::size_t kMaxTextBytes = 512;
constexpr char kLastPrintable = '~';

/// In the order of SelectorKind.
constexpr std::array<std::string_view, 4> kKindWords{"key", "tag", "prefix", "glob"};

bool is_printable(char byte) { return byte > ' ' && byte <= kLastPrintable; }
bool is_wildcard(char byte) { return byte == '*' || byte == '?'; }

std::optional<SelectorKind> kind_of(std::string_view word) {
  const auto* const found = std::find(kKindWords.begin(), kKindWords.end(), word);
  if (found == kKindWords.end()) return std::nullopt;
  return static_cast<SelectorKind>(found - kKindWords.begin());
}

/// An error whose message quotes the selector.
SelectorError error_in(std::string_view selector, SelectorFault fault, const std::string& problem) {
  return {fault, "purge selector '" + std::string(selector) + "': " + problem};
}

}  // namespace

std::string_view name_of(SelectorKind kind) { return kKindWords[static_cast<std::size_t>(kind)]; }

std::variant<Selector, SelectorError> parse_selector(std::string_view text) {
  const std::size_t colon = text.find(':');
  if (colon == std::string_view::npos) {
    return error_in(text, SelectorFault::no_kind, "want KIND:TEXT (key, tag, prefix, glob)");
  }
  const std::string word(text.substr(0, colon));
  const std::string_view rest = text.substr(colon + 1);
  const std::optional<SelectorKind> kind = kind_of(word);
  if (!kind) {
    const std::string problem = "unknown kind '" + word + "' (key, tag, prefix, glob)";
    return error_in(text, SelectorFault::unknown_kind, problem);
  }
  if (rest.size() > kMaxTextBytes) {  // too long to be quoted
    return SelectorError{SelectorFault::too_long,
                         "purge selector of kind " + word + ": longer than 512 bytes"};
  }
  if (rest.empty() && kind != SelectorKind::prefix) {
    return error_in(text, SelectorFault::empty_text, "empty " + word);
  }
  if (!std::all_of(rest.begin(), rest.end(), is_printable)) {
    return error_in(text, SelectorFault::unprintable, "space or unprintable byte");
  }
  if (kind != SelectorKind::glob && std::any_of(rest.begin(), rest.end(), is_wildcard)) {
    return error_in(text, SelectorFault::misplaced_wildcard, "'*' and '?' belong to glob only");
  }
  return Selector{*kind, std::string(rest)};
}

bool glob_matches(std::string_view glob, std::string_view key) {
  std::size_t glob_at = 0;
  std::size_t key_at = 0;
  // The last star seen, and where the key goes on after the bytes that the star stands for. A mismatch lets
  // that star stand for one byte more; earlier stars need no second look.
  std::size_t star = std::string_view::npos;
  std::size_t resume_at = 0;
  while (key_at < key.size()) {
    if (glob_at < glob.size() && (glob[glob_at] == '?' || glob[glob_at] == key[key_at])) {
      ++glob_at;
      ++key_at;
    } else if (glob_at < glob.size() && glob[glob_at] == '*') {
      star = glob_at++;
      resume_at = key_at;
    } else if (star != std::string_view::npos) {
      glob_at = star + 1;
      key_at = ++resume_at;
    } else {
      return false;
    }
  }
  while (glob_at < glob.size() && glob[glob_at] == '*') ++glob_at;
  return glob_at == glob.size();
}

bool selects(const Selector& selector, std::string_view key, const std::vector<std::string>& tags) {
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

std::string_view literal_prefix(std::string_view glob) { return glob.substr(0, glob.find_first_of("*?")); }

}  // namespace edge_proxy::invalidation
