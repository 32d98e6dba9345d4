// SPDX-License-Identifier: MIT
/// @file
/// What edge proxies tell each other of themselves and of others (docs/membership.md). Plain values: how they
/// look on the wire is codec's matter (membership/codec.h).
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace edge_proxy::membership {

/// Monotonic time of this process; never compared with another process's.
using Time = std::chrono::microseconds;

/// What is believed of a member. The first three are registered; the others are kept as marks, so that old
/// news does not bring them back.
enum class MemberStatus : std::uint8_t {
  alive,
  suspect,    ///< it did not answer; it may still refute that
  dead,       ///< nobody reaches it; it stays registered
  left,       ///< it said so
  forgotten,  ///< an operator said so
  disputed    ///< two processes use this name: neither takes part until one has been stopped
};
constexpr std::size_t kMemberStatusCount = 6;
std::string_view name_of(MemberStatus state);
constexpr bool is_registered(MemberStatus state) {
  return state == MemberStatus::alive || state == MemberStatus::suspect || state == MemberStatus::dead ||
         state == MemberStatus::disputed;
}
constexpr bool is_reachable(MemberStatus state) {
  return state == MemberStatus::alive || state == MemberStatus::suspect;
}

struct MemberUpdate {
  std::string name;
  std::string address;            ///< host:port, of its datagrams and of its stream
  std::uint64_t disk_id = 0;      ///< the mark of its disk: another one is another member under that name
  std::uint64_t incarnation = 0;  ///< only the member itself raises it; never falls, whatever the disk
  int zone = 0;
  MemberStatus status = MemberStatus::alive;
  std::string reported_by;  ///< who says so first, of suspect and dead
  bool operator==(const MemberUpdate&) const = default;
};

/// The incarnation counts the member's lives (its starts, and its joining anew once it was forgotten) above
/// these bits, and what it refuted within one below them.
constexpr unsigned kRefutationBits = 20;
constexpr std::uint64_t kEpochStep = std::uint64_t{1} << kRefutationBits;

/// Newer news has the greater age: a later life; within one, that the member has gone for good, which nothing
/// that it said before it heard so undoes; then the higher incarnation. At the same one, the state that comes
/// later in Liveness.
inline std::tuple<std::uint64_t, bool, std::uint64_t> precedence_of(const MemberUpdate& news) {
  return {news.incarnation >> kRefutationBits, !is_registered(news.status), news.incarnation};
}

enum class MessageKind : std::uint8_t {
  ping,
  ack,        ///< to a ping, from its target; `number` is the ping's
  nack,       ///< from one asked to ping another: no answer so far
  ping_req,   ///< ping `target` for me
  gossip,     ///< news alone
  full_sync,  ///< all that is known, over a stream; answered by the like
  full_sync_reply,
  user_message  ///< `payload` is another subsystem's, for that member
};
constexpr std::size_t kMessageKindCount = 8;

struct Message {
  MessageKind kind = MessageKind::ping;
  std::uint64_t sequence = 0;          ///< names the ping or the question, for its sender
  std::string to;                      ///< the member it is meant for; empty: whoever is at that address
  MemberUpdate from;                   ///< the sender, of itself
  std::uint64_t digest = 0;            ///< of the sender's view
  std::string target, target_address;  ///< of ask; an ack that is passed on names who acked as `target`
  std::vector<MemberUpdate> updates;
  // Of acks, for the shares of what all use (admission/quota_leases.h).
  std::uint64_t counted_disk = 0;       ///< the disk under which the receiver is counted; 0: it is not
  std::uint64_t member_names_hash = 0;  ///< of the names that the sender counts
  bool confirmed = false;               ///< the sender is counted by all
  std::string payload;                  ///< of carry
};

}  // namespace edge_proxy::membership
