// SPDX-License-Identifier: MIT
/// @file
/// Copies of objects that the edge proxy keeps itself, and its own link, on which they go out.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "codec/bulletin.h"
#include "codec/cache_lines.h"
#include "config/config.h"

namespace dahliahall::edge {

class Copies {
 public:
  /// A part of an object, as requests of one class ask for it.
  struct Key {
    std::size_t request_class = 0;
    std::uint64_t object = 0, part = 0;
    auto operator<=>(const Key&) const = default;
  };
  struct Copy {
    Key key;
    std::int64_t group = 0;
    std::string body, tag;
    Time born{0};
  };

  explicit Copies(const config::Config& config);
  /// After a reload: the part of the memory may have changed.
  void resize(std::size_t memory);

  /// The copy that may be served now, if there is one: younger than `max_age`, unless that is 0.
  const Copy* find(const Key& key, Time now, Time max_age);
  /// How long a transfer would wait for the link.
  [[nodiscard]] Time wait(Time now) const;
  /// That many bytes go out from now on.
  void sent(std::size_t bytes, Time now);

  /// A cache's good answer, to be kept or not.
  void offer(const Key& key, std::int64_t group, const codec::CacheAnswer& answer, Time now);
  void purged(const codec::Recall& recall, Time now);

  [[nodiscard]] std::size_t held() const { return copies_.size() + seen_.size() + purges_.size(); }

 private:
  using Order = std::list<Copy>;
  using Purged = std::pair<bool, std::uint64_t>;  // an object, or a group

  [[nodiscard]] bool purged_since(Time born, const Key& key, std::int64_t group) const;
  void drop(Order::iterator copy);
  void shrink();

  double flow_;              // bytes a second of one transfer; 0: nothing is kept
  std::vector<Time> lanes_;  // when each of the transfers that the link bears at once will be over
  std::size_t room_;
  Time purges_kept_;
  Order copies_;  // the one used last first
  std::map<Key, Order::iterator> by_key_;
  std::size_t bytes_ = 0;
  // What came once: a fingerprint of it, oldest first.
  std::map<Key, std::pair<std::uint64_t, std::list<Key>::iterator>> seen_;
  std::list<Key> seen_order_;
  std::map<Purged, Time> purges_;
};

}  // namespace dahliahall::edge
