// SPDX-License-Identifier: MIT
/// @file
/// The inputs of the edge proxy's reducer, which the event loop feeds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/config.h"
#include "consensus/raft_log.h"
#include "membership/reducer.h"
#include "proxy/connection_id.h"
#include "proxy/overrides/override_table.h"

namespace edge_proxy::proxy {

/// A connection was accepted on one of the listeners.
struct Accepted {
  ConnectionId connection = 0;
  ConnectionId listener = kListener;
};
/// The listener for clients is closed, after an Accepted for each connection that was established before; no
/// further one follows.
struct ListenerClosed {};
/// The system had no free descriptor for a new connection.
struct DescriptorsExhausted {};
/// Bytes arrived on a connection; they are valid only during the call to reduce().
struct BytesArrived {
  ConnectionId connection = 0;
  std::string_view bytes;
};
/// The system has taken all bytes that were to be written on the connection.
struct WriteDrained {
  ConnectionId connection = 0;
};
/// A client goes on reading: its system has acknowledged more bytes, or this one has taken some of those that
/// are to be written on the connection; others remain.
struct WriteProgressed {
  ConnectionId connection = 0;
  std::size_t bytes = 0;  ///< taken by this system since the last such input
};
/// A connection that the reducer requested is open.
struct Connected {
  ConnectionId connection = 0;
};
/// A connection that the reducer requested could not be opened.
struct ConnectFailed {
  ConnectionId connection = 0;
};
/// The peer has closed or reset the connection, or DrainAndClose has closed it.
struct ConnectionClosed {
  ConnectionId connection = 0;
  bool is_reset = false;
};
/// The time of the newest ArmTimer has passed.
struct LoopTimerExpired {};
/// The process received SIGTERM.
struct ShutdownRequested {};
/// The process received SIGHUP, and the configuration was read again and is valid.
struct Reloaded {
  config::Config config;
};
/// The process received SIGHUP, and the configuration is invalid.
struct ReloadFailed {
  std::string problem;  ///< names the invalid key
};
/// Whether the change of an operator's call has been stored.
enum class OverrideOutcome : std::uint8_t {
  stored,      ///< on the disk, for all processes of this edge proxy
  table_full,  ///< kMaxOverrides endpoints are suspended
  not_stored   ///< nothing has changed
};
/// The result of a StoreOverride.
struct OverrideReply {
  ConnectionId call = 0;
  OverrideChange change;
  OverrideOutcome outcome = OverrideOutcome::not_stored;
  std::string reason;  ///< why it was not stored
};
/// The admin overrides that are stored now. They hold the calls of all processes of this edge proxy: of
/// previous ones, and of those that run in parallel during an upgrade.
struct OverridesStored {
  OverrideTable overrides;
  std::vector<OverrideReply> replies;  ///< to calls of this process, in their order
};
/// The membership sockets are bound, and this process's identity in the cluster is stored.
struct MembershipReady {
  membership::Identity identity;
};
/// An input from the membership sockets.
struct MembershipInput {
  membership::Input input;
};
/// Output of the policy's replicated log, which runs on its own thread.
struct ConsensusOutput {
  std::vector<consensus::OutgoingMessage> outgoing_messages;
  std::vector<consensus::Input> consensus_inputs;
  std::vector<std::string> log_lines;
  std::map<std::string, std::uint64_t> voters;  ///< names and Raft ids of the voters in the log
  std::vector<consensus::AdminReply> admin_replies;
  std::uint64_t own_raft_id = 0;  ///< Raft id of this proxy
};
using Input =
    std::variant<Accepted, ListenerClosed, DescriptorsExhausted, BytesArrived, WriteDrained, WriteProgressed,
                 Connected, ConnectFailed, ConnectionClosed, LoopTimerExpired, ShutdownRequested, Reloaded,
                 ReloadFailed, OverridesStored, MembershipReady, MembershipInput, ConsensusOutput>;

}  // namespace edge_proxy::proxy
