// SPDX-License-Identifier: MIT
#include "proxy/client/reply_size_estimate.h"

#include <algorithm>

#include "codec/cache_lines.h"

namespace edge_proxy::proxy {
namespace {

/// Fields and framing of a reply, in bytes.
constexpr std::size_t kReplyOverheadBytes = 512;
/// Weight that the sums keep with each further reply.
constexpr double kRetainedWeight = 1 - 1.0 / 256;
/// Replies may be larger than the proportion says by this factor.
constexpr double kMargin = 1.25;

}  // namespace

void ReplySizeEstimate::record(std::size_t request_class, double size_kb, std::size_t bytes) {
  if (request_class >= sums_.size() || size_kb <= 0) return;
  Sums& sums = sums_[request_class];
  sums.stated_kb = sums.stated_kb * kRetainedWeight + size_kb;
  sums.bytes = sums.bytes * kRetainedWeight + static_cast<double>(bytes);
}

std::size_t ReplySizeEstimate::reply_bytes(std::size_t request_class, double size_kb) const {
  constexpr std::size_t kLargest = codec::kMaxBody + kReplyOverheadBytes;
  if (request_class >= sums_.size() || size_kb <= 0 || sums_[request_class].stated_kb <= 0) return kLargest;
  const Sums& sums = sums_[request_class];
  const double body_bytes = kMargin * size_kb * sums.bytes / sums.stated_kb;
  if (body_bytes >= static_cast<double>(codec::kMaxBody)) return kLargest;
  return static_cast<std::size_t>(body_bytes) + kReplyOverheadBytes;
}

}  // namespace edge_proxy::proxy
