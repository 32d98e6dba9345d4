// SPDX-License-Identifier: MIT
#include "base/hash.h"

#include <gtest/gtest.h>

namespace edge_proxy {
namespace {

TEST(Hash, Fnv1aMatchesPublishedValues) {
  EXPECT_EQ(fnv1a(""), 0xcbf29ce484222325U);
  EXPECT_EQ(fnv1a("a"), 0xaf63dc4c8601ec8cU);
  EXPECT_EQ(fnv1a("b", fnv1a("a")), fnv1a("ab"));
}

TEST(Hash, SplitMix64MatchesPublishedValue) { EXPECT_EQ(splitmix64(0), 0xe220a8397b1dcdafU); }

TEST(Hash, Top53BitsAreBelowTwoTo53) {
  EXPECT_EQ(top_53_bits(0), 0);
  EXPECT_LT(top_53_bits(~0ULL), kTwoTo53);
}

}  // namespace
}  // namespace edge_proxy
