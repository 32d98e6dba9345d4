// SPDX-License-Identifier: MIT
/// @file
/// Messages between the members of a cluster and what they say about members (docs/membership.md). Plain
/// values: membership/codec.h encodes them.
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

/// What is known about a member. Those that left or were forgotten are kept as tombstones, so that an
/// outdated update does not bring them back.
enum class MemberStatus : std::uint8_t {
  alive,
  suspect,    ///< it did not answer; it may still refute that
  dead,       ///< no member reaches it; it stays registered
  left,       ///< it shut down gracefully
  forgotten,  ///< an operator removed it
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

/// What some member knows about a member; the unit of gossip.
struct MemberUpdate {
  std::string name;
  std::string address;        ///< host:port, for datagrams and for streams
  std::uint64_t disk_id = 0;  ///< a name with another disk is another member
  /// Only the member itself raises it. It never falls, not even with an empty disk.
  std::uint64_t incarnation = 0;
  int zone = 0;
  MemberStatus status = MemberStatus::alive;
  std::string reported_by{};  ///< who first reported the status, of suspect, dead and forgotten members
  bool operator==(const MemberUpdate&) const = default;
};

/// The incarnation counts epochs (starts of the member, and rejoins after it was forgotten) above these bits,
/// and within an epoch what the member refuted below them.
constexpr unsigned kRefutationBits = 20;
constexpr std::uint64_t kEpochStep = std::uint64_t{1} << kRefutationBits;

/// Orders the updates of one member: the later epoch wins; within an epoch that the member is no longer
/// registered, which nothing that it sent before it learned of it undoes; then the higher incarnation. Among
/// equal ones, the status that comes later in MemberStatus wins.
inline std::tuple<std::uint64_t, bool, std::uint64_t> precedence_of(const MemberUpdate& update) {
  return {update.incarnation >> kRefutationBits, !is_registered(update.status), update.incarnation};
}

enum class MessageKind : std::uint8_t {
  ping,
  ack,        ///< answers a ping; `sequence` is the ping's
  nack,       ///< answers a ping_req: the target has not answered so far
  ping_req,   ///< asks the receiver to ping `target`
  gossip,     ///< carries updates only
  full_sync,  ///< all that the sender knows, over a stream; answered by full_sync_reply
  full_sync_reply,
  user_message  ///< `payload` belongs to another subsystem of the receiver
};
constexpr std::size_t kMessageKindCount = 8;

struct Message {
  MessageKind kind = MessageKind::ping;
  std::uint64_t sequence = 0;  ///< identifies a ping or ping_req to its sender
  std::string to;              ///< the member it is meant for; empty: whichever has that address
  MemberUpdate from;           ///< the sender, as it describes itself
  std::uint64_t digest = 0;    ///< of the sender's view
  /// Of ping_req: the member to ping. Of an ack that was relayed: the member that sent it.
  std::string target;
  std::string target_address;  ///< of ping_req
  std::vector<MemberUpdate> updates;
  // The next three: of ack, for the quota leases (admission/quota_leases.h).
  std::uint64_t counted_disk = 0;       ///< disk under which the sender counts the receiver; 0: it does not
  std::uint64_t member_names_hash = 0;  ///< of the names that the sender counts
  bool confirmed = false;               ///< the sender is counted by all others
  std::string payload;                  ///< of user_message
};

}  // namespace edge_proxy::membership
