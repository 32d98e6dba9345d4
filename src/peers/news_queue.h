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

#include "peers/types.h"

namespace dahliahall::peers {

class NewsQueue {
 public:
  /// Newer news of a name takes the place of older; one more suspicion of it stands beside the first.
  void add(const News& news) {
    const std::string key = news.state == Liveness::suspect ? news.name + '\n' + news.by : news.name;
    if (news.state != Liveness::suspect) drop_suspicions(news.name);
    drop(key);
    const Place place{0, next_++};
    order_.emplace(place, key);
    items_.emplace(key, Item{news, place});
  }

  /// Items that fit into `room` bytes. Each is given out `most` times in all, then dropped.
  template <typename SizeOf>
  std::vector<News> give(std::size_t room, std::size_t most, SizeOf&& size_of) {
    std::vector<News> given;
    std::vector<std::string> told;
    for (const auto& [place, key] : order_) {
      const News& news = items_.at(key).news;
      const std::size_t size = size_of(news);
      if (size > room) break;
      room -= size;
      given.push_back(news);
      told.push_back(key);
    }
    for (const std::string& key : told) {
      const auto found = items_.find(key);
      order_.erase(found->second.place);
      if (++found->second.place.first >= most) {
        items_.erase(found);
      } else {
        order_.emplace(found->second.place, key);
      }
    }
    return given;
  }

  [[nodiscard]] bool empty() const { return items_.empty(); }
  [[nodiscard]] std::size_t size() const { return items_.size(); }

 private:
  using Place = std::pair<std::size_t, std::uint64_t>;  // how often told, then which came first
  struct Item {
    News news;
    Place place;
  };

  void drop(const std::string& key) {
    const auto found = items_.find(key);
    if (found == items_.end()) return;
    order_.erase(found->second.place);
    items_.erase(found);
  }
  void drop_suspicions(const std::string& name) {
    const std::string front = name + '\n';
    for (auto it = items_.lower_bound(front); it != items_.end() && it->first.starts_with(front);) {
      order_.erase(it->second.place);
      it = items_.erase(it);
    }
  }

  std::map<std::string, Item> items_;
  std::map<Place, std::string> order_;
  std::uint64_t next_ = 0;
};

}  // namespace dahliahall::peers
