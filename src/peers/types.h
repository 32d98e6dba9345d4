// SPDX-License-Identifier: MIT
/// @file
/// What edge proxies tell each other of themselves and of others (docs/peers.md). Plain values: how they look
/// on the wire is codec's matter (peers/wire.h).
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace dahliahall::peers {

/// Monotonic time of this process; never compared with another process's.
using Time = std::chrono::microseconds;

/// What is believed of a member. The first three are registered; the others are kept as marks, so that old
/// news does not bring them back.
enum class Liveness : std::uint8_t {
  alive,
  suspect,    ///< it did not answer; it may still refute that
  dead,       ///< nobody reaches it; it stays registered
  left,       ///< it said so
  forgotten,  ///< an operator said so
  disputed    ///< two processes use this name: neither takes part until one has been stopped
};
constexpr std::size_t kLivenesses = 6;
std::string_view name_of(Liveness state);
constexpr bool registered(Liveness state) {
  return state == Liveness::alive || state == Liveness::suspect || state == Liveness::dead ||
         state == Liveness::disputed;
}
constexpr bool reachable(Liveness state) { return state == Liveness::alive || state == Liveness::suspect; }

struct News {
  std::string name;
  std::string address;            ///< host:port, of its datagrams and of its stream
  std::uint64_t disk = 0;         ///< the mark of its disk: another one is another member under that name
  std::uint64_t incarnation = 0;  ///< only the member itself raises it; never falls, whatever the disk
  int zone = 0;
  Liveness state = Liveness::alive;
  std::string by;  ///< who says so first, of suspect and dead
  bool operator==(const News&) const = default;
};

/// The incarnation counts the member's lives (its starts, and its joining anew once it was forgotten) above
/// these bits, and what it refuted within one below them.
constexpr unsigned kLifeBits = 20;
constexpr std::uint64_t kLife = std::uint64_t{1} << kLifeBits;

/// Newer news has the greater age: a later life; within one, that the member has gone for good, which nothing
/// that it said before it heard so undoes; then the higher incarnation. At the same one, the state that comes
/// later in Liveness.
inline std::tuple<std::uint64_t, bool, std::uint64_t> age_of(const News& news) {
  return {news.incarnation >> kLifeBits, !registered(news.state), news.incarnation};
}

enum class Kind : std::uint8_t {
  ping,
  ack,     ///< to a ping, from its target; `number` is the ping's
  nack,    ///< from one asked to ping another: no answer so far
  ask,     ///< ping `target` for me
  gossip,  ///< news alone
  whole,   ///< all that is known, over a stream; answered by the like
  whole_answer,
  carry  ///< `payload` is another subsystem's, for that member
};
constexpr std::size_t kKinds = 8;

struct Message {
  Kind kind = Kind::ping;
  std::uint64_t number = 0;            ///< names the ping or the question, for its sender
  std::string to;                      ///< the member it is meant for; empty: whoever is at that address
  News from;                           ///< the sender, of itself
  std::uint64_t digest = 0;            ///< of the sender's view
  std::string target, target_address;  ///< of ask; an ack that is passed on names who acked as `target`
  std::vector<News> news;
  // Of acks, for the shares of what all use (limits/shares.h).
  std::uint64_t counts = 0;  ///< the disk under which the receiver is counted; 0: it is not
  std::uint64_t names = 0;   ///< of the names that the sender counts
  bool sure = false;         ///< the sender is counted by all
  std::string payload;       ///< of carry
};

}  // namespace dahliahall::peers
