// SPDX-License-Identifier: MIT
/// @file
/// The round-robin order in which members are probed, shuffled anew for each round; random members are drawn
/// from it as well.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "membership/context.h"

namespace edge_proxy::membership {

class ProbeOrder {
 public:
  explicit ProbeOrder(Context& context) : context_(context) {}

  /// Begins with these members, in random order.
  void start(std::vector<std::string> names);
  /// Adds a member that has become reachable at a random place of the current round.
  void insert(const std::string& name);
  /// The next reachable member; none if there is no other.
  std::optional<std::string> next();
  /// Up to `count` reachable members drawn at random, without this one and `excluded`.
  std::vector<std::string> random_members(std::size_t count, const std::string& excluded = {});

  [[nodiscard]] std::size_t size() const { return order_.size(); }

 private:
  void start_round();

  Context& context_;
  std::vector<std::string> order_;  // may hold members that are no longer reachable until the round ends
  std::size_t next_index_ = 0;
};

}  // namespace edge_proxy::membership
