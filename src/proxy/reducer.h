// SPDX-License-Identifier: MIT
/// @file
/// The one place where the edge proxy's state changes: (state, now, input) -> effects. It does no I/O and
/// reads no clock, so it runs in virtual time in tests. What to do with a request is asked of the decision
/// module (choice.h); this translates between its events and actions and the connections.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "config/config.h"
#include "consensus/raft_log.h"
#include "membership/reducer.h"

namespace edge_proxy::proxy {

/// Names a connection, from its Connect or Accepted on; never used again. 0 is the listening socket. Those
/// that were accepted are odd, those that the reducer opens even: guards against one number for two, where a
/// timer opens a connection in the same moment in which another one is accepted.
using ConnectionId = std::uint64_t;
constexpr ConnectionId kConnectionIdStep = 2;
constexpr ConnectionId kBeforeFirstAccepted =
    ~ConnectionId{0};  ///< one step before the first accepted one, 1
constexpr ConnectionId kListener = 0;
/// The listening socket at the second address.
constexpr ConnectionId kAdminListener = ~ConnectionId{0};

/// Why a connection ended. Each ended connection leaves one log line with one of these; docs/oncall.md says
/// what each means and what to do.
enum class CloseReason {
  peer_closed,
  peer_reset,
  connect_refused,
  connect_timeout,
  idle,
  bad_frame,
  no_message,
  malformed_response,
  bad_stream,
  discovery_moved,
  endpoint_left,
  endpoint_replaced,
  silent,
  stalled,
  backlog,
  too_many,
  stopping
};
std::string_view name_of(CloseReason reason);

// ---- Inputs ----

struct Accepted {
  ConnectionId connection = 0;
  ConnectionId listener = kListener;
};
/// The system gave no descriptor for a connection.
struct DescriptorsExhausted {};
struct BytesArrived {
  ConnectionId connection = 0;
  std::string_view bytes;
};
/// All that was asked to be written has gone to the system.
struct WriteDrained {
  ConnectionId connection = 0;
};
struct Connected {
  ConnectionId connection = 0;
};
struct ConnectFailed {
  ConnectionId connection = 0;
};
struct Closed {
  ConnectionId connection = 0;
  bool is_reset = false;
};
struct TimerExpired {};
struct ShutdownRequested {};  ///< SIGTERM
/// SIGHUP: the configuration as it was read and checked anew.
struct Reloaded {
  config::Config config;
};
struct ReloadFailed {
  std::string problem;  ///< names the faulty key
};
/// What a process of this edge proxy has kept: an earlier one, or one that runs beside it for a while.
struct OverridesLoaded {
  std::string overrides;
};
/// The peers' sockets are bound, and who this process is among them is on its disk.
struct MembershipReady {
  membership::Identity identity;
};
/// What came there.
struct MembershipInput {
  membership::Input input;
};
/// What the policy's log has come to, beside the loop.
struct ConsensusOutput {
  std::vector<std::pair<std::string, std::string>> messages;  ///< to that member, these bytes
  std::vector<consensus::Input> inputs;
  std::vector<std::string> log_lines;
  std::map<std::string, std::uint64_t> voters;  ///< names and ids, as the log has them
  std::vector<std::tuple<ConnectionId, int, std::string>> replies;
  std::uint64_t raft_id = 0;  ///< this proxy's own
};
using Input = std::variant<Accepted, DescriptorsExhausted, BytesArrived, WriteDrained, Connected,
                           ConnectFailed, Closed, TimerExpired, ShutdownRequested, Reloaded, ReloadFailed,
                           OverridesLoaded, MembershipReady, MembershipInput, ConsensusOutput>;

// ---- Effects, to be carried out in order ----

struct Write {
  ConnectionId connection = 0;
  std::string bytes;
};
struct Connect {
  ConnectionId connection = 0;
  std::string address;
  bool high_priority = false;  ///< what comes on it is to be read before all else that waits
};
/// Ends this side's half once all is written: the other side can still read it.
struct ShutdownWrite {
  ConnectionId connection = 0;
};
/// Nothing more is told of the connection after this. Closing the listener ends the program once no
/// connection is left.
struct Close {
  ConnectionId connection = 0;
};
/// Reads what has come on the connection so far, told as BytesArrived, then closes it, told as Closed.
struct DrainAndClose {
  ConnectionId connection = 0;
};
/// Wants TimerDue at this time; the newest counts.
struct ArmTimer {
  Time at{0};
};
struct LogLine {
  std::string line;
};
/// New connections go to another process that listens at the same address, where there is one.
struct StopAccepting {};
/// To be kept where an upgrade leaves it; the newest counts.
struct PersistOverrides {
  std::string overrides;
};
/// To be sent by the peers' sockets.
struct MembershipEffect {
  std::variant<membership::SendDatagram, membership::SendFullSync, membership::FullSyncReply> effect;
};
/// Who this process is, and the members it knows, for the next one; the newest counts.
struct PersistMembership {
  membership::MemberUpdate self;
  std::vector<membership::MemberUpdate> members;
};
/// The peers' sockets close.
struct StopMembership {};
struct BootstrapReceived {
  std::string from;
  consensus::BootstrapMessage message;
};
/// An operator's word on a voter: `name=id` to be added, or a name to be removed.
struct VoterChangeCall {
  ConnectionId call = 0;
  std::string name;
  bool add = false;
};
/// For the policy's log.
struct ConsensusEffect {
  std::variant<consensus::AppendEntry, consensus::CheckTerm, consensus::PersistLearned,
               consensus::RaftMessage, BootstrapReceived, VoterChangeCall>
      effect;
};
using Effect =
    std::variant<Write, Connect, ShutdownWrite, Close, DrainAndClose, ArmTimer, LogLine, StopAccepting,
                 PersistOverrides, MembershipEffect, PersistMembership, StopMembership, ConsensusEffect>;

/// The state of an edge proxy.
class State {
 public:
  /// `now`, here and below: Unix time in microseconds that never runs backwards.
  State(const config::Config& config, Time now);
  ~State();
  State(State&&) noexcept;
  State& operator=(State&&) noexcept;

 private:
  friend std::vector<Effect> reduce(State& state, Time now, const Input& input);
  class Impl;
  std::unique_ptr<Impl> impl_;
};

std::vector<Effect> reduce(State& state, Time now, const Input& input);

}  // namespace edge_proxy::proxy
