// SPDX-License-Identifier: MIT
/// @file
/// Entries of the replicated log and messages between edge proxies (docs/consensus.md). Plain values.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace edge_proxy::consensus {

/// Monotonic time of this process; never compared with another process's.
using Time = std::chrono::microseconds;
/// Counts the policies that were ever active. 0: none yet, the configuration alone holds.
using Epoch = std::uint64_t;
/// A place in the log. A change is named by the place of its proposal.
using Index = std::uint64_t;
using Term = std::uint64_t;

// ---- The log ----

enum class Step : std::uint8_t {
  propose,
  commit,    ///< all reachable members can run it: from here on it is not to be aborted
  activate,  ///< nobody decides under the epoch before any more
  abort
};
constexpr std::size_t kStepCount = 4;

struct Entry {
  Step step = Step::propose;
  Index change = 0;      ///< of all but propose
  std::string key;       ///< of propose: the operator's own name of the change
  Epoch base_epoch = 0;  ///< of propose: the epoch that it builds on
  std::string policy;
  std::string reason;  ///< of abort: which member, what and why
  auto operator<=>(const Entry&) const = default;
};

struct Change {
  Index id = 0;
  Epoch epoch = 0;  ///< the one that it leads to
  std::string key, policy;
  bool committed = false;
  auto operator<=>(const Change&) const = default;
};

enum class ChangeResult : std::uint8_t {
  active,
  aborted,
  rejected  ///< it built on another epoch than the active one, or another change was under way
};
constexpr std::size_t kChangeResultCount = 3;
/// What became of a change, for good.
struct ChangeOutcome {
  std::string key;
  ChangeResult result = ChangeResult::active;
  Epoch epoch = 0;  ///< the active one, once that was decided
  std::string reason;
  auto operator<=>(const ChangeOutcome&) const = default;
};

// ---- Messages ----

/// Asks the leader for a lease on the active epoch. The member counts it from when this was sent.
struct LeaseRequest {
  std::uint64_t number = 0;
  auto operator<=>(const LeaseRequest&) const = default;
};
struct LeaseGrant {
  std::uint64_t request_number = 0;  ///< of the LeaseRequest
  Epoch epoch = 0;
  Time duration{0};
  Index index = 0;  ///< the log has come this far
  auto operator<=>(const LeaseGrant&) const = default;
};
/// To a voter's log: has it given its vote to a later term? Answered only where it has not.
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
/// How far the sender's log has come, and who leads it.
struct LogPosition {
  Index index = 0;
  std::string leader;  ///< empty: not known
  auto operator<=>(const LogPosition&) const = default;
};
struct PrepareReply {
  Index change = 0;
  bool ready = false;
  std::string reason;
  auto operator<=>(const PrepareReply&) const = default;
};
/// The member is to give up its lease on that epoch. `term`: of the leadership that asks.
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
/// An operator's call, on its way to the leader.
struct ProposeRequest {
  std::string key;
  Epoch base_epoch = 0;
  std::string policy;
  auto operator<=>(const ProposeRequest&) const = default;
};
struct AbortRequest {
  Index change = 0;
  auto operator<=>(const AbortRequest&) const = default;
};
/// Asks any member for the entries behind that index.
struct CatchUpRequest {
  Index after_index = 0;
  auto operator<=>(const CatchUpRequest&) const = default;
};
struct CatchUpResponse {
  Index after_index = 0;
  Index up_to_index = 0;
  std::vector<std::pair<Index, Entry>> entries;  ///< all up to there
  auto operator<=>(const CatchUpResponse&) const = default;
};
/// The whole state that the log has led to: for a member that is too far behind for CatchUpResponse.
struct Snapshot {
  Index index = 0;
  Epoch epoch = 0;
  std::string key, policy;
  std::vector<Change> change;  ///< none or one
  std::vector<ChangeOutcome> outcomes;
  auto operator<=>(const Snapshot&) const = default;
};
using Message = std::variant<LeaseRequest, LeaseGrant, LeadershipCheck, LeadershipCheckReply, LogPosition,
                             PrepareReply, LeaseRevocation, LeaseRevocationAck, ProposeRequest, AbortRequest,
                             CatchUpRequest, CatchUpResponse, Snapshot>;
/// A message to be sent to a member.
struct SendMessage {
  std::string to;
  Message message;
};

}  // namespace edge_proxy::consensus
