// SPDX-License-Identifier: MIT
/// @file
/// Estimates how many bytes the reply to a request will have. Clients state the size of a part in the unit of
/// the settings, to which the bytes on the socket are proportional; the factor of each class is learnt from
/// its replies.
#pragma once

#include <cstddef>
#include <vector>

namespace edge_proxy::proxy {

class ReplySizeEstimate {
 public:
  explicit ReplySizeEstimate(std::size_t class_count) : sums_(class_count) {}

  /// Records a reply of `bytes` to a request that stated `size_kb`.
  void record(std::size_t request_class, double size_kb, std::size_t bytes);
  /// Returns the bytes to reserve for the reply, at least those of a reply without a body. Without a stated
  /// size or a reply to learn from, it is the largest object.
  [[nodiscard]] std::size_t reply_bytes(std::size_t request_class, double size_kb) const;

 private:
  /// Sums over the replies of one class, in which older replies weigh less. A client that states wrong sizes
  /// shifts the factor by its part of the bytes only.
  struct Sums {
    double stated_kb = 0;
    double bytes = 0;
  };
  std::vector<Sums> sums_;  // by request class
};

}  // namespace edge_proxy::proxy
