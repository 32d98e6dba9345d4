// SPDX-License-Identifier: MIT
/// @file
/// 64-bit hashes with the same value in all processes, versions and platforms. They must not be used for keys
/// that an adversary chooses, since collisions of both are easy to construct.
#pragma once

#include <cstdint>
#include <string_view>

namespace edge_proxy {

/// The 64-bit offset basis of FNV-1a.
constexpr std::uint64_t kFnvOffsetBasis = 0xcbf29ce484222325U;

/// FNV-1a of `text`. To hash a concatenation, pass the hash of the preceding texts as `hash`.
[[nodiscard]] constexpr std::uint64_t fnv1a(std::string_view text, std::uint64_t hash = kFnvOffsetBasis) {
  constexpr std::uint64_t kPrime = 0x100000001b3U;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  return hash;
}

/// One step of SplitMix64: each bit of the argument changes about half of the bits of the result.
[[nodiscard]] constexpr std::uint64_t splitmix64(std::uint64_t value) {
  constexpr std::uint64_t kIncrement = 0x9e3779b97f4a7c15U;
  constexpr std::uint64_t kFirstMultiplier = 0xbf58476d1ce4e5b9U;
  constexpr std::uint64_t kSecondMultiplier = 0x94d049bb133111ebU;
  constexpr unsigned kFirstShift = 30;
  constexpr unsigned kSecondShift = 27;
  constexpr unsigned kThirdShift = 31;
  value += kIncrement;
  value = (value ^ (value >> kFirstShift)) * kFirstMultiplier;
  value = (value ^ (value >> kSecondShift)) * kSecondMultiplier;
  return value ^ (value >> kThirdShift);
}

/// Number of distinct values of `top_53_bits`. A double represents all integers below it exactly.
constexpr double kTwoTo53 = 9007199254740992.0;

/// The upper 53 bits of a hash. Division by `kTwoTo53` gives a number in [0, 1).
[[nodiscard]] constexpr double top_53_bits(std::uint64_t hash) { return static_cast<double>(hash >> 11U); }

}  // namespace edge_proxy
