// SPDX-License-Identifier: MIT
/// @file
/// Messages between the members of a cluster and the member updates in them (docs/membership.md). All types
/// are plain values; membership/codec.h encodes them.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace edge_proxy::membership {

/// Monotonic time of this process; it is never compared with the time of another process.
using Time = std::chrono::microseconds;

/// The known status of a member. Members that left or were forgotten are kept as tombstones, so that an
/// outdated update does not add them again.
enum class MemberStatus : std::uint8_t {
  alive,
  suspect,    ///< the member did not answer; it may still refute the suspicion
  dead,       ///< no member reaches the member; it stays registered
  left,       ///< the member shut down gracefully
  forgotten,  ///< an operator removed the member
  disputed    ///< two processes use this name: neither participates until one has been stopped
};
constexpr std::size_t kMemberStatusCount = 6;
std::string_view name_of(MemberStatus status);
/// Whether the member belongs to the cluster, reachable or not.
constexpr bool is_registered(MemberStatus status) {
  return status == MemberStatus::alive || status == MemberStatus::suspect || status == MemberStatus::dead ||
         status == MemberStatus::disputed;
}
constexpr bool is_reachable(MemberStatus status) {
  return status == MemberStatus::alive || status == MemberStatus::suspect;
}

/// One member's knowledge about a member; the unit of gossip.
struct MemberUpdate {
  std::string name;
  std::string address;        ///< host:port, for datagrams and for streams
  std::uint64_t disk_id = 0;  ///< members with equal names and different disks are different members
  /// Only the member itself raises its incarnation. The incarnation never decreases, even after the loss of
  /// the disk's contents.
  std::uint64_t incarnation = 0;
  int zone = 0;
  MemberStatus status = MemberStatus::alive;
  std::string reported_by{};  ///< first reporter of the status suspect, dead or forgotten
  bool operator==(const MemberUpdate&) const = default;
};

/// The low bits of the incarnation count refutations within an epoch; the bits above count epochs: starts of
/// the member, and its rejoins after it was forgotten.
constexpr unsigned kRefutationBits = 20;
constexpr std::uint64_t kEpochStep = std::uint64_t{1} << kRefutationBits;

/// Orders the updates of one member, by epoch, removal and incarnation. The later epoch wins. Within an
/// epoch, an update that the member is no longer registered wins, so that messages which the member sent
/// before it learned of its removal do not undo the removal. Then the higher incarnation wins. Among equal
/// updates, the status that is later in MemberStatus wins.
inline std::tuple<std::uint64_t, bool, std::uint64_t> precedence_of(const MemberUpdate& update) {
  return {update.incarnation >> kRefutationBits, !is_registered(update.status), update.incarnation};
}

enum class MessageKind : std::uint8_t {
  ping,
  ack,        ///< answers a ping; `sequence` is that of the ping
  nack,       ///< answers a ping_req: the target has not answered yet
  ping_req,   ///< asks the receiver to ping `target`
  gossip,     ///< contains updates only
  full_sync,  ///< the sender's whole view, over a stream; answered by full_sync_reply
  full_sync_reply,
  user_message  ///< `payload` is for another subsystem of the receiver
};
constexpr std::size_t kMessageKindCount = 8;

struct Message {
  MessageKind kind = MessageKind::ping;
  std::uint64_t sequence = 0;  ///< identifies a ping or ping_req to its sender
  std::string to;              ///< the intended receiver; empty: any member at the address
  MemberUpdate from;           ///< the sender's update about itself
  std::uint64_t digest = 0;    ///< digest of the sender's view
  /// For ping_req: the member to ping. For a relayed ack: the member that sent it.
  std::string target;
  std::string target_address;  ///< for ping_req: the address of `target`
  std::vector<MemberUpdate> updates;
  // The next three fields are for ack, for the quota leases (admission/quota_leases.h).
  std::uint64_t counted_disk = 0;  ///< disk of the receiver that the sender counts; 0: it does not count it
  std::uint64_t member_names_hash = 0;  ///< hash of the names that the sender counts
  bool confirmed = false;               ///< all other members count the sender
  std::string payload;                  ///< for user_message
};

}  // namespace edge_proxy::membership
