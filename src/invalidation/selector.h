// SPDX-License-Identifier: MIT
/// @file
/// What a purge names: one key, every key that carries a tag, every key under a prefix, or every key that
/// a glob matches. Source: issue 9 and docs/invalidation.md; PROTOCOL's purges by object and by group are the
/// `key` and `tag` kinds.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace edge_proxy::invalidation {

enum class SelectorKind { key, tag, prefix, glob };

struct Selector {
  SelectorKind kind = SelectorKind::key;
  std::string text;  ///< the key, tag, prefix or glob, as written after the colon
  bool operator==(const Selector&) const = default;
};

/// Why a written selector can't be used; `message` names the fault and the text.
struct SelectorError {
  std::string message;
};

/// Parses `key:K`, `tag:T`, `prefix:P` or `glob:G`. A glob takes `*` (any run, also empty) and `?` (one
/// byte); the other kinds take no wildcard. Keys and tags are 1 to 512 printable bytes without spaces; a
/// prefix may be empty (it names every key). Errors: unknown kind, missing colon, empty or overlong text,
/// unprintable bytes, a wildcard outside a glob.
std::variant<Selector, SelectorError> parse_selector(std::string_view text);

/// Whether the glob matches the whole key. Linear in both lengths times the stars' backtracking, no
/// recursion: at most |pattern| * |key| steps.
bool glob_matches(std::string_view glob, std::string_view key);

/// Whether the selector names a key that carries these tags (in any order).
bool names(const Selector& selector, std::string_view key, const std::vector<std::string>& tags);

/// The literal bytes a glob starts with, before its first wildcard: every key it matches has them in front.
std::string_view literal_prefix(std::string_view glob);

}  // namespace edge_proxy::invalidation
