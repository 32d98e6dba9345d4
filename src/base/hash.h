// SPDX-License-Identifier: MIT
/// @file
/// FNV-1a over 64 bits: alike in all processes and versions, for short texts that nobody chooses to collide.
#pragma once

#include <cstdint>
#include <string_view>

namespace edge_proxy {

constexpr std::uint64_t kFnvStart = 0xcbf29ce484222325U;

/// `hash`: of what goes before the text.
constexpr std::uint64_t fnv1a(std::string_view text, std::uint64_t hash = kFnvStart) {
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3U;
  return hash;
}

}  // namespace edge_proxy
