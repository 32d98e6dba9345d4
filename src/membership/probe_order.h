// SPDX-License-Identifier: MIT
/// @file
/// The round-robin order in which members are probed, shuffled for each round. Random members are drawn from
/// it as well.
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

  /// Starts the first round with these members, in random order.
  void start(std::vector<std::string> names);
  /// Inserts a member that has become reachable at a random position of the current round.
  void insert(const std::string& name);
  /// The next reachable member, or std::nullopt if no other member is reachable.
  std::optional<std::string> next();
  /// Draws up to `count` distinct reachable members at random, excluding this member and `excluded`.
  std::vector<std::string> random_members(std::size_t count, const std::string& excluded = {});

  [[nodiscard]] std::size_t size() const { return order_.size(); }

 private:
  void start_round();

  Context& context_;
  std::vector<std::string> order_;  // may contain unreachable members until the round ends
  std::size_t next_index_ = 0;
};

}  // namespace edge_proxy::membership
