// SPDX-License-Identifier: MIT
/// @file
/// News that is still to be passed on: each item a bounded number of times, the least told first.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "membership/types.h"

namespace edge_proxy::membership {

class BroadcastQueue {
 public:
  /// Newer news of a name takes the place of older; one more suspicion of it stands beside the first.
  void enqueue(const MemberUpdate& update) {
    const std::string key =
        update.status == MemberStatus::suspect ? update.name + '\n' + update.reported_by : update.name;
    if (update.status != MemberStatus::suspect) drop_suspicions_of(update.name);
    drop(key);
    const QueuePosition place{0, next_++};
    by_position_.emplace(place, key);
    items_.emplace(key, Item{update, place});
  }

  /// Items that fit into `room` bytes. Each is given out `most` times in all, then dropped.
  template <typename SizeOf>
  std::vector<MemberUpdate> take(std::size_t max_bytes, std::size_t max_transmits, SizeOf&& size_of) {
    std::vector<MemberUpdate> taken;
    std::vector<std::string> transmitted;
    for (const auto& [place, key] : by_position_) {
      const MemberUpdate& news = items_.at(key).update;
      const std::size_t size = size_of(news);
      if (size > max_bytes) break;
      max_bytes -= size;
      taken.push_back(news);
      transmitted.push_back(key);
    }
    for (const std::string& key : transmitted) {
      const auto found = items_.find(key);
      by_position_.erase(found->second.position);
      if (++found->second.position.first >= max_transmits) {
        items_.erase(found);
      } else {
        by_position_.emplace(found->second.position, key);
      }
    }
    return taken;
  }

  [[nodiscard]] bool empty() const { return items_.empty(); }
  [[nodiscard]] std::size_t size() const { return items_.size(); }

 private:
  using QueuePosition = std::pair<std::size_t, std::uint64_t>;  // how often told, then which came first
  struct Item {
    MemberUpdate update;
    QueuePosition position;
  };

  void drop(const std::string& key) {
    const auto found = items_.find(key);
    if (found == items_.end()) return;
    by_position_.erase(found->second.position);
    items_.erase(found);
  }
  void drop_suspicions_of(const std::string& name) {
    const std::string front = name + '\n';
    for (auto it = items_.lower_bound(front); it != items_.end() && it->first.starts_with(front);) {
      by_position_.erase(it->second.position);
      it = items_.erase(it);
    }
  }

  std::map<std::string, Item> items_;
  std::map<QueuePosition, std::string> by_position_;
  std::uint64_t next_ = 0;
};

}  // namespace edge_proxy::membership
