// SPDX-License-Identifier: MIT
/// @file
/// Entries of the replicated log and consensus messages between edge proxies (docs/consensus.md). All types
/// are plain values.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace edge_proxy::consensus {

/// Monotonic time of this process; it is never compared with the time of another process.
using Time = std::chrono::microseconds;
/// Counts the policies that have been active. 0: none yet, and only the configuration applies.
using Epoch = std::uint64_t;
/// A position in the log. A change is identified by the position of its proposal.
using Index = std::uint64_t;
using Term = std::uint64_t;

// ---- The log ----

/// The step of a change that a log entry records.
enum class Step : std::uint8_t {
  propose,
  commit,    ///< all reachable members can apply the policy; the change can no longer be aborted
  activate,  ///< no member decides under the previous epoch any more
  abort
};
constexpr std::size_t kStepCount = 4;

struct Entry {
  Step step = Step::propose;
  Index change = 0;      ///< for all steps except propose
  std::string key;       ///< for propose: the operator's name for the change
  Epoch base_epoch = 0;  ///< for propose: the epoch that the change is based on
  std::string policy;
  std::string reason;  ///< for abort: the member, the problem and its cause
  auto operator<=>(const Entry&) const = default;
};

/// A change that is neither active nor aborted yet.
struct Change {
  Index id = 0;
  Epoch epoch = 0;  ///< the epoch that begins when the change becomes active
  std::string key, policy;
  bool committed = false;
  auto operator<=>(const Change&) const = default;
};

enum class ChangeResult : std::uint8_t {
  active,
  aborted,
  rejected  ///< it is based on an epoch that is not active, or another change is in progress
};
constexpr std::size_t kChangeResultCount = 3;
/// The final result of a change.
struct ChangeOutcome {
  std::string key;
  ChangeResult result = ChangeResult::active;
  Epoch epoch = 0;  ///< the active epoch after the result was decided
  std::string reason;
  auto operator<=>(const ChangeOutcome&) const = default;
};

// ---- Messages ----

/// Asks the leader for a lease on the active epoch. The lease starts at the time at which the member sent the
/// request.
struct LeaseRequest {
  std::uint64_t number = 0;
  auto operator<=>(const LeaseRequest&) const = default;
};
struct LeaseGrant {
  std::uint64_t request_number = 0;  ///< `number` of the LeaseRequest
  Epoch epoch = 0;
  Time duration{0};
  Index index = 0;  ///< the last log index that the leader has applied
  auto operator<=>(const LeaseGrant&) const = default;
};
/// Asks a voter whether it has voted in a later term. The voter replies only if it has not.
struct LeadershipCheck {
  Term term = 0;
  std::uint64_t round = 0;
  auto operator<=>(const LeadershipCheck&) const = default;
};
struct LeadershipCheckReply {
  Term term = 0;
  std::uint64_t round = 0;
  auto operator<=>(const LeadershipCheckReply&) const = default;
};
/// The last log index that the sender has applied, and the leader that it knows.
struct LogPosition {
  Index index = 0;
  std::string leader;  ///< empty: unknown
  auto operator<=>(const LogPosition&) const = default;
};
/// States whether the member can apply the policy of a proposed change.
struct PrepareReply {
  Index change = 0;
  bool ready = false;
  std::string reason;
  auto operator<=>(const PrepareReply&) const = default;
};
/// Asks a member to release its lease on `epoch`. `term` is the term of the leader that asks.
struct LeaseRevocation {
  Term term = 0;
  Epoch epoch = 0;
  auto operator<=>(const LeaseRevocation&) const = default;
};
struct LeaseRevocationAck {
  Term term = 0;
  Epoch epoch = 0;
  auto operator<=>(const LeaseRevocationAck&) const = default;
};
/// An operator's call to propose a policy, forwarded to the leader.
struct ProposeRequest {
  std::string key;
  Epoch base_epoch = 0;
  std::string policy;
  auto operator<=>(const ProposeRequest&) const = default;
};
/// An operator's call to abort a change, forwarded to the leader.
struct AbortRequest {
  Index change = 0;
  auto operator<=>(const AbortRequest&) const = default;
};
/// Asks any member for the entries after `after_index`.
struct CatchUpRequest {
  Index after_index = 0;
  auto operator<=>(const CatchUpRequest&) const = default;
};
/// An entry of the log with its index.
struct IndexedEntry {
  Index index = 0;
  Entry entry;
  auto operator<=>(const IndexedEntry&) const = default;
};
struct CatchUpResponse {
  Index after_index = 0;
  Index up_to_index = 0;
  std::vector<IndexedEntry> entries;  ///< complete up to `up_to_index`
  auto operator<=>(const CatchUpResponse&) const = default;
};
/// The whole state at a log index, for a member that is too far behind for CatchUpResponse.
struct Snapshot {
  Index index = 0;
  Epoch epoch = 0;
  std::string key, policy;
  std::vector<Change> change;  ///< the change in progress: none or one
  std::vector<ChangeOutcome> outcomes;
  auto operator<=>(const Snapshot&) const = default;
};
using Message = std::variant<LeaseRequest, LeaseGrant, LeadershipCheck, LeadershipCheckReply, LogPosition,
                             PrepareReply, LeaseRevocation, LeaseRevocationAck, ProposeRequest, AbortRequest,
                             CatchUpRequest, CatchUpResponse, Snapshot>;
/// An effect: sends a message to a member.
struct SendMessage {
  std::string to;
  Message message;
};

}  // namespace edge_proxy::consensus
