// SPDX-License-Identifier: MIT
/// @file
/// Defines what an invalidation selects: one key, or all keys that have a tag, start with a prefix or match a
/// glob. The discovery service invalidates by object and by group, which correspond to the kinds `key` and
/// `tag`.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace edge_proxy::invalidation {

enum class SelectorKind { key, tag, prefix, glob };

/// Returns the name of the kind in written selectors and snapshots.
[[nodiscard]] std::string_view name_of(SelectorKind kind);

/// Describes a set of keys.
struct Selector {
  SelectorKind kind = SelectorKind::key;
  std::string text;  ///< the key, tag, prefix or glob after the colon
  bool operator==(const Selector&) const = default;
};

enum class SelectorFault { no_kind, unknown_kind, too_long, empty_text, unprintable, misplaced_wildcard };

/// The reason why a selector could not be parsed.
struct SelectorError {
  SelectorFault fault = SelectorFault::no_kind;
  std::string message;  ///< describes the fault; quotes the selector unless it is too long
};

/// Parses `key:K`, `tag:T`, `prefix:P` or `glob:G`. In a glob, `*` matches any sequence of bytes, including
/// the empty one, and `?` matches one byte; the other kinds reject wildcards. The text after the colon has 1
/// to 512 printable ASCII bytes without spaces. A prefix may be empty and then selects every key.
[[nodiscard]] std::variant<Selector, SelectorError> parse_selector(std::string_view text);

/// Whether the glob matches the whole key, in at most |glob| * |key| steps and without recursion.
[[nodiscard]] bool glob_matches(std::string_view glob, std::string_view key);

/// Whether the selector selects a key with these tags, which may be in any order.
[[nodiscard]] bool selects(const Selector& selector, std::string_view key,
                           const std::vector<std::string>& tags);

/// Returns the bytes of a glob before its first wildcard. Every key that the glob matches starts with them.
[[nodiscard]] std::string_view literal_prefix(std::string_view glob);

}  // namespace edge_proxy::invalidation
