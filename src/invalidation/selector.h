// SPDX-License-Identifier: MIT
/// @file
/// What an invalidation selects: one key, or all keys that carry a tag, start with a prefix or match a glob.
/// Source: issue 9 and docs/invalidation.md; the discovery service's invalidations by object and by group are
/// the `key` and `tag` kinds.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace edge_proxy::invalidation {

enum class SelectorKind { key, tag, prefix, glob };

/// The word that stands for the kind in texts and snapshots.
[[nodiscard]] std::string_view name_of(SelectorKind kind);

/// A set of keys.
struct Selector {
  SelectorKind kind = SelectorKind::key;
  std::string text;  ///< the key, tag, prefix or glob, as written after the colon
  bool operator==(const Selector&) const = default;
};

enum class SelectorFault { no_kind, unknown_kind, too_long, empty_text, unprintable, misplaced_wildcard };

/// Why a written selector can't be used.
struct SelectorError {
  SelectorFault fault = SelectorFault::no_kind;
  std::string message;  ///< names the fault and the text
};

/// Parses `key:K`, `tag:T`, `prefix:P` or `glob:G`. A glob takes `*` (any run, also empty) and `?` (one
/// byte); the other kinds take no wildcard. Texts are 1 to 512 printable ASCII bytes without spaces; a prefix
/// may also be empty (it selects every key).
[[nodiscard]] std::variant<Selector, SelectorError> parse_selector(std::string_view text);

/// Whether the glob matches the whole key, in at most |glob| * |key| steps and without recursion.
[[nodiscard]] bool glob_matches(std::string_view glob, std::string_view key);

/// Whether the selector selects a key that carries these tags, in any order.
[[nodiscard]] bool selects(const Selector& selector, std::string_view key,
                           const std::vector<std::string>& tags);

/// The bytes of a glob before its first wildcard: every key that it matches starts with them.
[[nodiscard]] std::string_view literal_prefix(std::string_view glob);

}  // namespace edge_proxy::invalidation
