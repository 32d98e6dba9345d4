// SPDX-License-Identifier: MIT
/// @file
/// What one proxy believes of all others: merges news, keeps marks of those that have gone, tells where it
/// stands. No I/O, no clock.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "peers/types.h"

namespace dahliahall::peers {

/// How this proxy and a member reach each other.
enum class Way : std::uint8_t {
  unknown,  ///< nothing heard yet
  direct,
  through,  ///< only by way of others: cut off from each other, and yet no death
  one_way,  ///< what it sends comes here, but it does not hear from here
  none
};
std::string_view name_of(Way way);

struct Member {
  News news;
  Time since{0};             ///< of its state
  std::set<std::string> by;  ///< who suspects it, independently
  Time deadline{0};          ///< of suspect: then it counts as dead
  Time suspected{0};         ///< when that began
  Way way = Way::unknown;
  Time heard{0};  ///< its last datagram
  Time way_since{0};
};

/// Where a proxy stands.
enum class Standing : std::uint8_t {
  whole,    ///< it reaches more than half of the registered members, itself counted
  part,     ///< it reaches some, but not more than half
  alone,    ///< others are registered and it reaches none
  disputed  ///< another process uses its name: it takes no part
};
std::string_view name_of(Standing standing);

class View {
 public:
  /// What became of an item of news.
  enum class Fate {
    old,      ///< known already, or overtaken
    news,     ///< the state or the record changed
    confirms  ///< a suspicion that is known, from one more member
  };
  struct Taken {
    Fate fate = Fate::old;
    bool first = false;                ///< the name was not known before
    std::optional<News> replaced;      ///< another member under that name
    std::optional<Liveness> before;    ///< the state before, where it changed
    std::optional<std::string> moved;  ///< the address before
  };

  View(std::string self, std::size_t most) : self_(std::move(self)), most_(most) {}

  /// Takes one item in. Nothing where it is about a name that no room is left for (`full`).
  Taken take(const News& news, Time now);
  [[nodiscard]] bool full(const std::string& name) const;

  [[nodiscard]] const Member* find(const std::string& name) const;
  Member* find(const std::string& name);
  [[nodiscard]] const std::unordered_map<std::string, Member>& members() const { return members_; }

  [[nodiscard]] std::size_t registered() const { return registered_; }
  [[nodiscard]] std::size_t reached() const { return reached_; }
  [[nodiscard]] Standing standing() const;
  /// Alike at two proxies whose views are alike, whatever the order in which they came to them.
  [[nodiscard]] std::uint64_t digest() const { return digest_; }
  /// Another one where a member came, went or changed.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

 private:
  void count(const Member& member, int sign);
  void bury(const std::string& name);

  std::string self_;
  std::size_t most_;
  std::unordered_map<std::string, Member> members_;
  std::deque<std::string> gone_;  // marks of those that are not registered any more, oldest first
  std::size_t registered_ = 0, reached_ = 0;
  std::uint64_t digest_ = 0, revision_ = 0;
};

}  // namespace dahliahall::peers
