// SPDX-License-Identifier: MIT
/// @file
/// Updates that wait to be sent by gossip. Each is sent a bounded number of times; the least often sent go
/// first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "membership/types.h"

namespace edge_proxy::membership {

class BroadcastQueue {
 public:
  /// Replaces an earlier update of the same member. Suspicions of a member by different reporters are all
  /// kept, since each may confirm the others.
  void enqueue(const MemberUpdate& update) {
    const bool is_suspicion = update.status == MemberStatus::suspect;
    const std::string key = is_suspicion ? suspicion_prefix(update.name) + update.reported_by : update.name;
    if (!is_suspicion) remove_suspicions_of(update.name);
    remove(key);
    const QueuePosition position{0, next_order_++};
    by_position_.emplace(position, key);
    items_.emplace(key, Item{update, position});
  }

  /// Returns updates whose sizes by `size_of` add up to at most `max_bytes`. Each update is returned
  /// `max_transmits` times in total, then dropped.
  template <typename SizeOf>
  std::vector<MemberUpdate> take(std::size_t max_bytes, std::size_t max_transmits, SizeOf&& size_of) {
    std::vector<MemberUpdate> selected;
    std::vector<std::string> keys;
    for (const auto& [position, key] : by_position_) {
      const MemberUpdate& update = items_.at(key).update;
      const std::size_t size = size_of(update);
      if (size > max_bytes) break;
      max_bytes -= size;
      selected.push_back(update);
      keys.push_back(key);
    }
    for (const std::string& key : keys) count_transmit(key, max_transmits);
    return selected;
  }

  [[nodiscard]] bool empty() const { return items_.empty(); }
  [[nodiscard]] std::size_t size() const { return items_.size(); }

 private:
  /// Number of transmits, then the order of enqueueing.
  using QueuePosition = std::pair<std::size_t, std::uint64_t>;
  struct Item {
    MemberUpdate update;
    QueuePosition position;
  };

  /// Names contain no line breaks, so this is not a prefix of another member's key.
  static std::string suspicion_prefix(const std::string& name) { return name + '\n'; }

  void count_transmit(const std::string& key, std::size_t max_transmits) {
    const auto found = items_.find(key);
    QueuePosition& position = found->second.position;
    by_position_.erase(position);
    ++position.first;
    if (position.first >= max_transmits) {
      items_.erase(found);
    } else {
      by_position_.emplace(position, key);
    }
  }
  void remove(const std::string& key) {
    const auto found = items_.find(key);
    if (found == items_.end()) return;
    by_position_.erase(found->second.position);
    items_.erase(found);
  }
  void remove_suspicions_of(const std::string& name) {
    const std::string prefix = suspicion_prefix(name);
    for (auto it = items_.lower_bound(prefix); it != items_.end() && it->first.starts_with(prefix);) {
      by_position_.erase(it->second.position);
      it = items_.erase(it);
    }
  }

  std::map<std::string, Item> items_;
  std::map<QueuePosition, std::string> by_position_;
  std::uint64_t next_order_ = 0;
};

}  // namespace edge_proxy::membership
