// SPDX-License-Identifier: MIT
/// @file
/// The inputs of the edge proxy's reducer: what the event loop reports to it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "config/config.h"
#include "consensus/raft_log.h"
#include "membership/reducer.h"
#include "proxy/connection_id.h"

namespace edge_proxy::proxy {

/// A connection was accepted on one of the listeners.
struct Accepted {
  ConnectionId connection = 0;
  ConnectionId listener = kListener;
};
/// The system gave no descriptor for a connection.
struct DescriptorsExhausted {};
/// Bytes came on a connection; they are valid for the one call of reduce() alone.
struct BytesArrived {
  ConnectionId connection = 0;
  std::string_view bytes;
};
/// All that was asked to be written has gone to the system.
struct WriteDrained {
  ConnectionId connection = 0;
};
/// A connection that the reducer asked for is up.
struct Connected {
  ConnectionId connection = 0;
};
/// A connection that the reducer asked for could not be opened.
struct ConnectFailed {
  ConnectionId connection = 0;
};
/// The other side has ended the connection.
struct ConnectionClosed {
  ConnectionId connection = 0;
  bool is_reset = false;
};
/// The time of the newest ArmTimer has come.
struct LoopTimerExpired {};
/// SIGTERM.
struct ShutdownRequested {};
/// SIGHUP: the configuration as it was read and checked anew.
struct Reloaded {
  config::Config config;
};
/// SIGHUP, and the configuration is faulty.
struct ReloadFailed {
  std::string problem;  ///< names the faulty key
};
/// The admin overrides that a process of this edge proxy has stored: an earlier one, or one that runs beside
/// it for a while during an upgrade.
struct OverridesLoaded {
  std::string overrides;
};
/// The membership sockets are bound, and this process's identity in the cluster is stored.
struct MembershipReady {
  membership::Identity identity;
};
/// What came on the membership sockets.
struct MembershipInput {
  membership::Input input;
};
/// What the policy's log has produced, on a thread of its own.
struct ConsensusOutput {
  std::vector<std::pair<std::string, std::string>> outgoing_messages;  ///< to that member, these bytes
  std::vector<consensus::Input> consensus_inputs;
  std::vector<std::string> log_lines;
  std::map<std::string, std::uint64_t> voters;  ///< names and Raft ids, as the log has them
  std::vector<std::tuple<ConnectionId, int, std::string>> admin_replies;  ///< admin call, HTTP status, body
  std::uint64_t own_raft_id = 0;                                          ///< this proxy's own
};
using Input = std::variant<Accepted, DescriptorsExhausted, BytesArrived, WriteDrained, Connected,
                           ConnectFailed, ConnectionClosed, LoopTimerExpired, ShutdownRequested, Reloaded,
                           ReloadFailed, OverridesLoaded, MembershipReady, MembershipInput, ConsensusOutput>;

}  // namespace edge_proxy::proxy
