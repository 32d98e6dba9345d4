// SPDX-License-Identifier: MIT
#include "membership/probe_order.h"

#include <algorithm>
#include <utility>

namespace edge_proxy::membership {
namespace {

constexpr std::size_t kDrawsPerMember = 4;
constexpr std::size_t kExtraDraws = 8;

}  // namespace

void ProbeOrder::start(std::vector<std::string> names) {
  order_ = std::move(names);
  std::shuffle(order_.begin(), order_.end(), context_.random);
}

void ProbeOrder::insert(const std::string& name) {
  const std::size_t index = order_.empty() ? 0 : context_.random() % (order_.size() + 1);
  order_.insert(order_.begin() + static_cast<std::ptrdiff_t>(index), name);
  if (index < next_index_) ++next_index_;
}

void ProbeOrder::start_round() {
  order_.clear();
  for (const auto& [name, member] : context_.view.members()) {
    if (name != context_.settings.name && is_reachable(member.update.status)) order_.push_back(name);
  }
  std::shuffle(order_.begin(), order_.end(), context_.random);
  next_index_ = 0;
}

std::optional<std::string> ProbeOrder::next() {
  // Covers the rest of this round and all of the next one.
  const std::size_t max_steps = order_.size() + context_.view.reachable() + 1;
  for (std::size_t step = 0; step < max_steps; ++step) {
    if (next_index_ >= order_.size()) start_round();
    if (order_.empty()) return std::nullopt;
    const std::string& name = order_[next_index_++];
    const Member* member = context_.view.find(name);
    if (member != nullptr && is_reachable(member->update.status)) return name;
  }
  return std::nullopt;
}

std::vector<std::string> ProbeOrder::random_members(std::size_t count, const std::string& excluded) {
  std::vector<std::string> drawn;
  // The order contains nearly all reachable members, so the cost of a draw does not grow with their number.
  const std::size_t max_draws = kDrawsPerMember * count + kExtraDraws;
  for (std::size_t draw = 0; draw < max_draws && drawn.size() < count && !order_.empty(); ++draw) {
    const std::string& name = order_[context_.random() % order_.size()];
    const Member* member = context_.view.find(name);
    const bool is_drawn = std::find(drawn.begin(), drawn.end(), name) != drawn.end();
    if (name != excluded && member != nullptr && is_reachable(member->update.status) && !is_drawn) {
      drawn.push_back(name);
    }
  }
  return drawn;
}

}  // namespace edge_proxy::membership
