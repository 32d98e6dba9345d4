// SPDX-License-Identifier: MIT
#include "invalidation/selector.h"

#include <algorithm>
#include <array>
#include <optional>

namespace edge_proxy::invalidation {
namespace {

constexpr std::size_t kMaxTextBytes = 512;
constexpr char kLastPrintable = '~';

/// Indexed by SelectorKind.
constexpr std::array<std::string_view, 4> kKindNames{"key", "tag", "prefix", "glob"};

bool is_printable(char byte) { return byte > ' ' && byte <= kLastPrintable; }
bool is_wildcard(char byte) { return byte == '*' || byte == '?'; }

std::optional<SelectorKind> parse_kind(std::string_view word) {
  const auto* const found = std::find(kKindNames.begin(), kKindNames.end(), word);
  if (found == kKindNames.end()) return std::nullopt;
  return static_cast<SelectorKind>(found - kKindNames.begin());
}

/// Returns an error whose message quotes the selector.
SelectorError make_error(std::string_view selector, SelectorFault fault, const std::string& problem) {
  return {fault, "purge selector '" + std::string(selector) + "': " + problem};
}

}  // namespace

std::string_view name_of(SelectorKind kind) { return kKindNames[static_cast<std::size_t>(kind)]; }

std::variant<Selector, SelectorError> parse_selector(std::string_view text) {
  const std::size_t colon = text.find(':');
  if (colon == std::string_view::npos) {
    return make_error(text, SelectorFault::no_kind, "want KIND:TEXT (key, tag, prefix, glob)");
  }
  const std::string word(text.substr(0, colon));
  const std::string_view value = text.substr(colon + 1);
  const std::optional<SelectorKind> kind = parse_kind(word);
  if (!kind) {
    const std::string problem = "unknown kind '" + word + "' (key, tag, prefix, glob)";
    return make_error(text, SelectorFault::unknown_kind, problem);
  }
  if (value.size() > kMaxTextBytes) {  // the message doesn't quote a long text
    return SelectorError{SelectorFault::too_long,
                         "purge selector of kind " + word + ": longer than 512 bytes"};
  }
  if (value.empty() && kind != SelectorKind::prefix) {
    return make_error(text, SelectorFault::empty_text, "empty " + word);
  }
  if (!std::all_of(value.begin(), value.end(), is_printable)) {
    return make_error(text, SelectorFault::unprintable, "space or unprintable byte");
  }
  if (kind != SelectorKind::glob && std::any_of(value.begin(), value.end(), is_wildcard)) {
    return make_error(text, SelectorFault::misplaced_wildcard, "'*' and '?' belong to glob only");
  }
  return Selector{*kind, std::string(value)};
}

bool glob_matches(std::string_view glob, std::string_view key) {
  std::size_t glob_position = 0;
  std::size_t key_position = 0;
  // Position of the last star, and of the key after the bytes that this star matches. On a mismatch the last
  // star matches one more byte; earlier stars need no backtracking.
  std::size_t star_position = std::string_view::npos;
  std::size_t resume_position = 0;
  while (key_position < key.size()) {
    if (glob_position < glob.size() &&
        (glob[glob_position] == '?' || glob[glob_position] == key[key_position])) {
      ++glob_position;
      ++key_position;
    } else if (glob_position < glob.size() && glob[glob_position] == '*') {
      star_position = glob_position++;
      resume_position = key_position;
    } else if (star_position != std::string_view::npos) {
      glob_position = star_position + 1;
      key_position = ++resume_position;
    } else {
      return false;
    }
  }
  while (glob_position < glob.size() && glob[glob_position] == '*') ++glob_position;
  return glob_position == glob.size();
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
