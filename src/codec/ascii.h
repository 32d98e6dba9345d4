// SPDX-License-Identifier: MIT
/// @file
/// Letters of ASCII, whatever the locale: header names of HTTP are compared without regard to case.
#pragma once

#include <algorithm>
#include <string>
#include <string_view>

namespace edge_proxy::codec {

/// The text with its ASCII capital letters in lower case.
[[nodiscard]] inline std::string to_lower(std::string_view text) {
  const auto lower = [](char letter) {
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
  };
  std::string lowered(text);
  std::transform(lowered.begin(), lowered.end(), lowered.begin(), lower);
  return lowered;
}

}  // namespace edge_proxy::codec
