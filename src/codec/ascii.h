// SPDX-License-Identifier: MIT
/// @file
/// Locale-independent ASCII case conversion, for HTTP header names, which are case-insensitive.
#pragma once

#include <algorithm>
#include <string>
#include <string_view>

namespace edge_proxy::codec {

/// Returns `text` with its ASCII upper-case letters converted to lower case.
[[nodiscard]] inline std::string to_lower(std::string_view text) {
  const auto lower = [](char letter) {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
  };
  std::string lowered(text);
  std::transform(lowered.begin(), lowered.end(), lowered.begin(), lower);
  return lowered;
}

}  // namespace edge_proxy::codec
